package answerreader

import (
	"io"
	"strings"
	"testing"
)

const chunkedHead = answerHead + "Transfer-Encoding: chunked\r\n\r\n"

// Guards against a body whose length comes from a malformed line, and against one that is
// passed on although bytes are missing or left over.
func TestMalformedChunksAreErrors(t *testing.T) {
	for _, body := range []string{
		"2 \r\n{}\r\n0\r\n\r\n", "2\t\r\n{}\r\n0\r\n\r\n", " 2\r\n{}\r\n0\r\n\r\n", "2;\x00\r\n{}\r\n0\r\n\r\n", "2;a=\x01\r\n{}\r\n0\r\n\r\n", "2;a\rb\r\n{}\r\n0\r\n\r\n", "2;\r\n{}\r\n0\r\n\r\n",
		"2;a b\r\n{}\r\n0\r\n\r\n", "2;a=\r\n{}\r\n0\r\n\r\n", "2;a=\"\r\n{}\r\n0\r\n\r\n", "2;a=\"b\" c\r\n{}\r\n0\r\n\r\n", "2,\r\n{}\r\n0\r\n\r\n", "+2\r\n{}\r\n0\r\n\r\n", "-2\r\n{}\r\n0\r\n\r\n", "0x2\r\n{}\r\n0\r\n\r\n",
		"2x\r\n{}\r\n0\r\n\r\n", "g\r\n{}\r\n0\r\n\r\n", "\r\n{}\r\n0\r\n\r\n", ";a\r\n{}\r\n0\r\n\r\n", "2\n{}\r\n0\r\n\r\n", "2\r{}\r\n0\r\n\r\n", "2\r\r\n{}\r\n0\r\n\r\n", "2\r\n{}\n0\r\n\r\n", "2\r\n{}0\r\n\r\n", "2\r\n{}x\r\n0\r\n\r\n",
		"1\r\n{}\r\n0\r\n\r\n", "3\r\n{}\r\n0\r\n\r\n", "2\r\n{}\r\n0 \r\n\r\n", "2\r\n{}\r\n0\n\r\n", "2\r\n{}\r\n0;\x7f\r\n\r\n", "2\r\n{}\r\n", "2\r\n{}\r\n0\r\n", "2\r\n{}\r\n0\r\n\r",
		"10000000000000002\r\n{}\r\n0\r\n\r\n", "ffffffffffffffff\r\n{}\r\n0\r\n\r\n", "7fffffffffffffff\r\n{}\r\n0\r\n\r\n", "2;" + strings.Repeat("a", 2*bufferSize) + "\r\n{}\r\n0\r\n\r\n",
	} {
		for _, source := range []io.Reader{strings.NewReader(chunkedHead + body), singleBytes{strings.NewReader(chunkedHead + body)}} {
			if a, err := readAnswer(New(source, bufferSize, NewBudget(1<<20))); err == nil {
				t.Errorf("%.40q: got body %q, want an error", body, a.Body())
			}
		}
	}
}

// Guards against refused chunks that HTTP defines.
func TestValidChunksAreAnswers(t *testing.T) {
	for _, body := range []string{
		"2\r\n{}\r\n0\r\n\r\n", "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", "00000000000000000000002\r\n{}\r\n000\r\n\r\n", "2;a\r\n{}\r\n0\r\n\r\n", "2;a=b;c=\"d \\\" \xe9\t;\"\r\n{}\r\n0;e\r\n\r\n", "2 ;\ta = b\r\n{}\r\n0\r\n\r\n", "2\r\n{}\r\n0\r\nX-T: 1\r\n\r\n",
	} {
		for _, source := range []io.Reader{strings.NewReader(chunkedHead + body), singleBytes{strings.NewReader(chunkedHead + body)}} {
			r := New(source, bufferSize, NewBudget(1<<20))
			if a, err := readAnswer(r); err != nil || string(a.Body()) != "{}" || r.Unread() != 0 {
				t.Errorf("%q: got body %q, %d bytes unread, error %v, want the answer", body, a.Body(), r.Unread(), err)
			}
		}
	}
	long := strings.Repeat("0123456789abcdef", 4000)
	a, err := readAnswer(New(strings.NewReader(chunkedHead+"Fa00\r\n"+long+"\r\n0\r\n\r\n"), bufferSize, NewBudget(1<<20)))
	if err != nil || string(a.Body()) != long {
		t.Errorf("got %d bytes, error %v, want %d", len(a.Body()), err, len(long))
	}
}
