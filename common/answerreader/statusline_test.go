package answerreader

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// undefinedStatusLines are status lines that HTTP does not define for a final answer.
var undefinedStatusLines = []string{
	"HTTP/1.1 000 Odd", "HTTP/1.1 0 Odd", "HTTP/1.1 00 Odd", "HTTP/1.1 020 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 99 Odd", "HTTP/1.1 20 Odd",
	"HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 1000 Odd", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK",
	"HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 200OK", "HTTP/1.1 200.0 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
	"HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "HTTP/1.1200 OK",
	"\rHTTP/1.1 200 OK", "\r\rHTTP/1.1 200 OK", "\r\r\nHTTP/1.1 200 OK", "\r\n\rHTTP/1.1 200 OK", "\n\rHTTP/1.1 200 OK", " \r\nHTTP/1.1 200 OK",
	"HTTP/1.1 18446744073709551816 OK", "HTTP/1.1 4294967496 OK",
}

// Guards against a status line that HTTP does not define and that is taken for an answer:
// the header parser reports 000 as 200.
func TestUndefinedStatusLinesAreErrors(t *testing.T) {
	const fields = "\r\nContent-Length: 2\r\n\r\n{}"
	for _, line := range undefinedStatusLines {
		for name, answer := range map[string]string{"first": line + fields, "after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + line + fields} {
			var h fasthttp.ResponseHeader
			r := New(strings.NewReader(answer), bufferSize, NewBudget(1<<20))
			if err := r.ReadHeader(&h); err == nil {
				t.Errorf("%q, %s: got status %d, want an error", line, name, h.StatusCode())
			}
		}
	}
}

// Guards against refused answers that HTTP defines.
func TestDefinedStatusLinesAreAnswers(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 404 Not Found": 404, "HTTP/1.1 599 Odd": 599, "HTTP/1.1 503 a b c": 503,
		"\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		for _, end := range []string{"\r\n", "\n"} {
			var h fasthttp.ResponseHeader
			r := New(strings.NewReader(line+end+"Content-Length: 0\r\n\r\n"), bufferSize, NewBudget(1<<20))
			if err := r.ReadHeader(&h); err != nil || h.StatusCode() != want {
				t.Errorf("%q: got status %d, %v, want %d", line, h.StatusCode(), err, want)
			}
		}
	}
}

// Guards against a status line without an end that is read without a bound.
func TestEndlessStatusLineIsAnError(t *testing.T) {
	for name, line := range map[string]string{"reason": "HTTP/1.1 200 " + strings.Repeat("x", 2*bufferSize), "blank lines": strings.Repeat("\r\n", 1<<20)} {
		var h fasthttp.ResponseHeader
		r := New(strings.NewReader(line), bufferSize, NewBudget(1<<20))
		if err := r.ReadHeader(&h); err == nil {
			t.Errorf("%s: got status %d, want an error", name, h.StatusCode())
		}
	}
}
