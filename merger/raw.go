package merger

import "bytes"

// documentScanner extracts the documents of hits from a body that fastjson has
// accepted. fastjson keeps no offsets and re-encodes strings, but documents must
// reach the caller byte for byte. The scanner requires the body to be valid JSON.
// All offsets refer to body.
type documentScanner struct {
	body      []byte
	hitOffset int // of the next hit, or len(body) after the last one
}

// newDocumentScanner returns a scanner at the first element of "hits".
func newDocumentScanner(body []byte) documentScanner {
	s := documentScanner{body: body, hitOffset: len(body)}
	if start := s.memberValue(s.skipSpace(0), "hits"); start >= 0 && body[start] == '[' {
		s.hitOffset = s.skipSpace(start + 1)
	}
	return s
}

// nextDocument skips the next hit and returns its document, or nil.
func (s *documentScanner) nextDocument() (document []byte) {
	if s.hitOffset >= len(s.body) || s.body[s.hitOffset] != '{' {
		return nil
	}
	i := s.skipSpace(s.hitOffset + 1)
	for i < len(s.body) && s.body[i] == '"' {
		keyEnd := s.skipString(i)
		key := s.body[i+1 : keyEnd-1]
		i = s.skipSpace(s.skipSpace(keyEnd) + 1) // after ':'
		end := s.skipValue(i)
		if document == nil && string(key) == "document" {
			document = s.body[i:end]
		}
		i = s.skipComma(end)
	}
	s.hitOffset = s.skipComma(i + 1) // after '}'
	return document
}

// skipComma skips white space and at most one comma, and returns the offset of the
// next token.
func (s *documentScanner) skipComma(i int) int {
	i = s.skipSpace(i)
	if i < len(s.body) && s.body[i] == ',' {
		i = s.skipSpace(i + 1)
	}
	return i
}

// memberValue returns the offset of the value of the first member called name of
// the object at i, or -1.
func (s *documentScanner) memberValue(i int, name string) int {
	if i >= len(s.body) || s.body[i] != '{' {
		return -1
	}
	i = s.skipSpace(i + 1)
	for i < len(s.body) && s.body[i] == '"' {
		end := s.skipString(i)
		key := s.body[i+1 : end-1]
		i = s.skipSpace(s.skipSpace(end) + 1) // after ':'
		if string(key) == name {
			return i
		}
		i = s.skipComma(s.skipValue(i))
	}
	return -1
}

// skipSpace returns the offset of the first byte at or after i that is not white
// space.
func (s *documentScanner) skipSpace(i int) int {
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

// skipValue returns the offset after the value at i.
func (s *documentScanner) skipValue(i int) int {
	depth := 0
	for i < len(s.body) {
		switch s.body[i] {
		case '"':
			i = s.skipString(i)
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

// skipString returns the offset after the string at i.
func (s *documentScanner) skipString(i int) int {
	for i++; i < len(s.body); i++ {
		quote := bytes.IndexByte(s.body[i:], '"')
		if quote < 0 {
			return len(s.body)
		}
		i += quote
		backslashes := 0
		for s.body[i-1-backslashes] == '\\' {
			backslashes++
		}
		if backslashes%2 == 0 {
			return i + 1
		}
	}
	return i
}
