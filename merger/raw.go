package merger

import "bytes"

// rawScanner finds the documents of hits in a body that fastjson has accepted.
// fastjson keeps no positions and writes strings anew, but documents must reach
// the caller byte for byte. Offsets are into body. The scanner relies on the
// body being valid JSON.
type rawScanner struct {
	body []byte
	pos  int // before the next hit; len(body) when there is none
}

// rawHits returns a scanner in front of the first element of "hits".
func rawHits(body []byte) rawScanner {
	s := rawScanner{body: body, pos: len(body)}
	if at := s.member(s.space(0), "hits"); at >= 0 && body[at] == '[' {
		s.pos = s.space(at + 1)
	}
	return s
}

// next moves past the next hit and returns its document, or nil.
func (s *rawScanner) next() (document []byte) {
	if s.pos >= len(s.body) || s.body[s.pos] != '{' {
		return nil
	}
	i := s.space(s.pos + 1)
	for i < len(s.body) && s.body[i] == '"' {
		keyEnd := s.text(i)
		key := s.body[i+1 : keyEnd-1]
		i = s.space(s.space(keyEnd) + 1) // behind ':'
		end := s.value(i)
		if document == nil && string(key) == "document" {
			document = s.body[i:end]
		}
		i = s.comma(end)
	}
	s.pos = s.comma(i + 1) // behind '}'
	return document
}

// comma returns the offset of what follows i and a comma, if there is one.
func (s *rawScanner) comma(i int) int {
	i = s.space(i)
	if i < len(s.body) && s.body[i] == ',' {
		i = s.space(i + 1)
	}
	return i
}

// member returns the offset of the value of the first member called name of
// the object at i, or -1.
func (s *rawScanner) member(i int, name string) int {
	if i >= len(s.body) || s.body[i] != '{' {
		return -1
	}
	i = s.space(i + 1)
	for i < len(s.body) && s.body[i] == '"' {
		end := s.text(i)
		key := s.body[i+1 : end-1]
		i = s.space(s.space(end) + 1) // behind ':'
		if string(key) == name {
			return i
		}
		i = s.comma(s.value(i))
	}
	return -1
}

// space returns the offset of the first byte from i on that is not white space.
func (s *rawScanner) space(i int) int {
	for i < len(s.body) {
		switch s.body[i] {
		case ' ', '\t', '\r', '\n':
			i++
		default:
			return i
		}
	}
	return i
}

// value returns the offset behind the value at i.
func (s *rawScanner) value(i int) int {
	depth := 0
	for i < len(s.body) {
		switch s.body[i] {
		case '"':
			i = s.text(i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
			if depth == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// text returns the offset behind the string at i.
func (s *rawScanner) text(i int) int {
	for i++; i < len(s.body); i++ {
		n := bytes.IndexByte(s.body[i:], '"')
		if n < 0 {
			return len(s.body)
		}
		i += n
		slashes := 0
		for s.body[i-1-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			return i + 1
		}
	}
	return i
}
