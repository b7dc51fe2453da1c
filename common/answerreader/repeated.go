package answerreader

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// singleFields finds fields that a header must not have with different values. The parser
// keeps the last line of some fields, and VMs read the first one of others.
type singleFields struct {
	names  [][]byte
	values [][]byte // by name, of the current header; nil if it has none
}

func newSingleFields(names []string) singleFields {
	s := singleFields{names: [][]byte{[]byte(fasthttp.HeaderContentType)}}
	for _, name := range names {
		if name != "" {
			s.names = append(s.names, []byte(name))
		}
	}
	s.values = make([][]byte, len(s.names))
	return s
}

// check returns ErrRepeated if a field has different values in header.
func (s *singleFields) check(header []byte) error {
	clear(s.values)
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		for i, single := range s.names {
			if len(name) != len(single) || !bytes.EqualFold(name, single) {
				continue
			}
			value = bytes.Trim(value, " \t\r\n")
			if s.values[i] != nil && !bytes.Equal(s.values[i], value) {
				return ErrRepeated
			}
			if s.values[i] = value; value == nil {
				s.values[i] = []byte{} // an empty value, not a missing field
			}
		}
	}
	return nil
}

// joinCodings returns the list of the content codings of header if they are in several
// lines, of which the parser keeps the last (RFC 9110, 5.3).
func joinCodings(header []byte) []byte {
	var codings []byte
	lines := 0
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte(fasthttp.HeaderContentEncoding)) {
			continue
		}
		lines++
		if value = bytes.Trim(value, " \t\r\n"); len(value) > 0 {
			if len(codings) > 0 {
				codings = append(codings, ", "...)
			}
			codings = append(codings, value...)
		}
	}
	if lines < 2 {
		return nil
	}
	return codings
}
