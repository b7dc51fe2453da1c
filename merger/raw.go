package merger

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

// nextDocument returns the document of the next hit, or nil.
func (s *rawScanner) nextDocument() []byte {
	if s.pos >= len(s.body) || s.body[s.pos] != '{' {
		return nil
	}
	at := s.member(s.pos, "document")
	s.skip()
	if at < 0 {
		return nil
	}
	return s.body[at:s.value(at)]
}

// skip moves past the next hit.
func (s *rawScanner) skip() {
	if s.pos >= len(s.body) {
		return
	}
	s.pos = s.space(s.value(s.pos))
	if s.pos < len(s.body) && s.body[s.pos] == ',' {
		s.pos = s.space(s.pos + 1)
	}
}

// member returns the offset of the value of the first member called name of
// the object at i, or -1.
func (s *rawScanner) member(i int, name string) int {
	if i >= len(s.body) || s.body[i] != '{' {
		return -1
	}
	i = s.space(i + 1)
	for i < len(s.body) && s.body[i] == '"' {
		end := s.value(i)
		key := s.body[i+1 : end-1]
		i = s.space(end)   // at ':'
		i = s.space(i + 1) // at the value
		if string(key) == name {
			return i
		}
		i = s.space(s.value(i))
		if i < len(s.body) && s.body[i] == ',' {
			i = s.space(i + 1)
		}
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
		switch s.body[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return i
}
