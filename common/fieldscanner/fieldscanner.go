// Package fieldscanner checks the field lines of an HTTP message before a parser reads
// them. The parsers at hand accept blanks in field names, trim them or take a line with
// them for another field.
package fieldscanner

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

// Errors of Scan.
var (
	ErrName    = errors.New("field name is not a token, or has no colon after it")
	ErrValue   = errors.New("line has a control byte")
	ErrLineEnd = errors.New("line does not end with CR LF")
)

// Scanner checks a header or trailer section, up to and including the empty line at its
// end. Each byte is checked once it has arrived, so that an invalid section is rejected
// without waiting for more. Lines that continue another one are invalid: RFC 9112, 5.2
// lets a gateway reject them, and a line whose name begins with a blank looks the same.
type Scanner struct {
	state state
}

type state uint8

const (
	lineStart state = iota
	// lineStartAfterLF is the start of a line after one that ended without a CR. The
	// section may not end there: the parser expects CR LF twice.
	lineStartAfterLF
	inName
	inValue
	lineEnd    // after the CR of a line
	sectionEnd // after the CR of the empty line
	ended
)

// New returns a Scanner of a section that begins with a field line.
func New() Scanner { return Scanner{state: lineStart} }

// NewAfterStatus returns a Scanner of a header whose status line has been read up to the
// end of the status.
func NewAfterStatus() Scanner { return Scanner{state: inValue} }

// Ended reports whether the section is complete.
func (s *Scanner) Ended() bool { return s.state == ended }

// nameBytes and valueBytes are the bytes that a field name and a line after the name may
// contain (RFC 9110, 5.6.2 and 5.5).
var nameBytes, valueBytes = byteSets()

func byteSets() (names, values [256]bool) {
	for c := range 256 {
		names[c] = httpguts.IsTokenRune(rune(c))
		values[c] = httpguts.ValidHeaderFieldValue(string([]byte{byte(c)}))
	}
	return names, values
}

// Scan checks the next bytes of the section and returns how many of them belong to it.
func (s *Scanner) Scan(p []byte) (int, error) {
	for i := 0; i < len(p); i++ {
		switch s.state {
		case inValue:
			for i < len(p) && valueBytes[p[i]] {
				i++
			}
		case inName:
			for i < len(p) && nameBytes[p[i]] {
				i++
			}
		case ended:
			return i, nil
		}
		if i == len(p) {
			break
		}
		if err := s.scanByte(p[i]); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// scanByte checks a byte that may change the state.
func (s *Scanner) scanByte(c byte) error {
	switch s.state {
	case inValue:
		return s.endValue(c)
	case inName:
		if c != ':' {
			return ErrName
		}
		s.state = inValue
	case lineStart, lineStartAfterLF:
		return s.startLine(c)
	case lineEnd:
		return s.expectLF(c, lineStart)
	case sectionEnd:
		return s.expectLF(c, ended)
	}
	return nil
}

func (s *Scanner) expectLF(c byte, next state) error {
	if c != '\n' {
		return ErrLineEnd
	}
	s.state = next
	return nil
}

func (s *Scanner) endValue(c byte) error {
	switch c {
	case '\r':
		s.state = lineEnd
	case '\n':
		s.state = lineStartAfterLF
	default:
		return ErrValue
	}
	return nil
}

func (s *Scanner) startLine(c byte) error {
	switch {
	case nameBytes[c]:
		s.state = inName
	case c == '\r' && s.state == lineStart:
		s.state = sectionEnd
	case c == '\r' || c == '\n':
		return ErrLineEnd
	default:
		return ErrName
	}
	return nil
}
