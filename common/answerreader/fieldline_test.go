package answerreader

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// malformedLines are lines that no header and no trailer may contain.
var malformedLines = []string{
	"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "X-Odd \t : 1", "X\tOdd: 1", " X-Odd: 1", "\tX-Odd: 1", " : 1", ": 1", ":", " ", "X-Odd", "X", "X-Odd 1",
	"X-\x00Odd: 1", "X-\x01Odd: 1", "X-\x0bOdd: 1", "X-\x1fOdd: 1", "\x7fX-Odd: 1", "X-\x7fOdd: 1", "X-\rOdd: 1", "\rX-Odd: 1", "X-Odd\r: 1", "X-\x80Odd: 1", "X-\xe9Odd: 1",
	`X"Odd: 1`, "X(Odd: 1", "X)Odd: 1", "X,Odd: 1", "X/Odd: 1", "X;Odd: 1", "X<Odd: 1", "X=Odd: 1", "X>Odd: 1", "X?Odd: 1", "X@Odd: 1", "X[Odd: 1", `X\Odd: 1`, "X]Odd: 1", "X{Odd: 1", "X}Odd: 1",
	"X-Odd: \x00", "X-Odd: 1\x01", "X-Odd: a\rb", "X-Odd: 1\r", "X-Odd: \x1b[2J", "X-Odd: \x7f", "X-Odd: a\r\n b", "X-Odd: a\r\n\tb",
	"Content-Length : 2", "Content Length: 2", "Content-Length\t: 2", "Content-Length: 2\x00", "Content-Length:\r\n 2", "Transfer-Encoding : chunked", "Connection : close",
	"X-Request-Id : r", "X-Not-Run : 1",
}

// Guards against malformed lines that are passed on, repaired or dropped. The parser takes
// names with blanks, and reads the length of a body from them.
func TestMalformedLinesAreErrors(t *testing.T) {
	const rest = "X-A: b\r\nContent-Length: 2\r\n\r\n{}"
	for _, line := range malformedLines {
		for name, answer := range map[string]string{
			"first":                   answerHead + line + "\r\n" + rest,
			"last":                    answerHead + "X-A: b\r\nContent-Length: 2\r\n" + line + "\r\n\r\n{}",
			"only":                    answerHead + line + "\r\n\r\n{}",
			"in an interim answer":    "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + answerHead + rest,
			"after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + answerHead + line + "\r\n" + rest,
			"in a trailer":            answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + line + "\r\n\r\n",
			"last in a trailer":       answerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-A: b\r\n" + line + "\r\n\r\n",
			"without its end":         answerHead + line,
		} {
			if name == "without its end" && (line == "X" || line == "X-Odd") {
				continue // may still become a valid line
			}
			for _, source := range []io.Reader{strings.NewReader(answer), singleBytes{strings.NewReader(answer)}} {
				if a, err := readAnswer(New(source, bufferSize, NewBudget(1<<20))); err == nil || strings.Contains(err.Error(), "Odd") {
					t.Errorf("%q, %s: got body %q, error %v, want an error without the line", line, name, a.Body(), err)
				}
			}
		}
	}
}

// Guards against an answer with a malformed line that ends only at the deadline of its
// request, because the server sends no more.
func TestMalformedLinesAreErrorsAtOnce(t *testing.T) {
	for _, start := range []string{"X ", "X-\x01", " ", ":", "X: \x00", "X: a\r ", "X: a\r\n "} {
		silent, w := io.Pipe()
		go func() { _, _ = io.WriteString(w, answerHead+start) }()
		deadline := time.AfterFunc(5*time.Second, func() { _ = w.CloseWithError(os.ErrDeadlineExceeded) })
		if _, err := readAnswer(New(silent, bufferSize, NewBudget(1<<20))); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: got %v, want an error before the deadline", start, err)
		}
		deadline.Stop()
		_ = silent.Close()
	}
}

// Guards against a body that contains the coding of a version that does not define it.
func TestCodingsOfOtherVersionsAreErrors(t *testing.T) {
	for _, version := range []string{"0", "2", "9"} {
		for _, fields := range []string{"Transfer-Encoding: chunked", "transfer-ENCODING:chunked", "Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: x"} {
			answer := "HTTP/1." + version + " 200 OK\r\n" + fields + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
			if a, err := readAnswer(New(strings.NewReader(answer), bufferSize, NewBudget(1<<20))); err == nil {
				t.Errorf("HTTP/1.%s, %q: got body %q, want an error", version, fields, a.Body())
			}
		}
	}
}

// Guards against an answer of which one line is used and another one, which contradicts
// it, is passed on or dropped.
func TestContradictingLinesAreErrors(t *testing.T) {
	for _, lines := range []string{
		"Content-Type: a/b\r\nContent-Type: c/d", "Content-Type: a/b\r\nX-A: b\r\ncontent-type: a/B", "Content-Type: a/b\r\nContent-Type:", "Content-Type: \t\r\nContent-Type: a/b",
		"X-Id: b\r\nX-Id: c", "x-id:b\r\nX-A: b\r\nX-ID: b c", "X-Id: b\r\nX-Id: b\r\nX-Id: c", "X-Id:\nX-Id: b",
	} {
		r := New(strings.NewReader(answerHead+lines+"\r\nContent-Length: 2\r\n\r\n{}"), bufferSize, NewBudget(1<<20), "X-Other", "", "X-Id")
		if a, err := readAnswer(r); !errors.Is(err, ErrRepeated) {
			t.Errorf("%q: got fields %q, error %v, want %v", lines, passedFields(&a.Header), err, ErrRepeated)
		}
	}
}

// Guards against refused answers that HTTP defines, and against fields that the parser
// reads differently from what was checked.
func TestValidLinesAreAnswers(t *testing.T) {
	for line, want := range map[string]string{
		"X-A: b": "X-A: b", "X-A:b": "X-A: b", "X-A: \t b c\t ": "X-A: b c", "X-A:": "X-A: ", "X-A: \t": "X-A: ", "x-a: B": "X-A: B", "X-A: a:b : c": "X-A: a:b : c",
		"!#$%&'*+-.^_`|~09az: b": "!#$%&'*+-.^_`|~09az: b", "_: b": "_: b", "9: b": "9: b", "X-A: caf\xc3\xa9 \xff\x80": "X-A: caf\xc3\xa9 \xff\x80", "X-A: \"a\\\" (b)\t;,=\"": "X-A: \"a\\\" (b)\t;,=\"",
		"Content-Type: a/b\r\nContent-type:a/b ": "Content-Type: a/b", "Content-Type:\r\nContent-Type:": "", "X-Id: b\r\nX-A: c\r\nx-id: b": "X-Id: b, X-A: c, X-Id: b",
		"Content-Encoding: a, b\r\ncontent-ENCODING:c ": "Content-Encoding: a, b, c", "Content-Encoding: a\r\nX-A: b\r\nContent-Encoding:": "Content-Encoding: a, X-A: b",
		"Content-Encoding:\r\nContent-Encoding: a": "Content-Encoding: a", "Content-Encoding: a": "Content-Encoding: a", "Content-Encoding:\r\nContent-Encoding:": "",
		"X-A: b\r\nX-A: c": "X-A: b, X-A: c", "Content-Type: a/b; c=d": "Content-Type: a/b; c=d", "Set-Cookie: a=b; c\r\nSet-Cookie: a=d": "Set-Cookie: a=b; c, Set-Cookie: a=d", "X-A: b\nX-B: c": "X-A: b, X-B: c",
	} {
		for name, answer := range map[string]string{
			"length":                  answerHead + line + "\r\nContent-Length: 2\r\n\r\n{}",
			"chunked":                 answerHead + line + "\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\n\r\n",
			"chunked with trailer":    answerHead + line + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n01\r\n}\r\n000\r\nX-T: \xe9\r\nX-U:\r\n\r\n",
			"after an interim answer": "HTTP/1.1 100 Continue\r\nX-I: i\r\n\r\nHTTP/1.1 103\r\n\r\n" + answerHead + line + "\r\nContent-Length: 2\r\n\r\n{}",
			"length in HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}",
			"no length in HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + line + "\r\n\r\n{}",
			"no length":               answerHead + line + "\r\n\r\n{}",
		} {
			for _, source := range []io.Reader{strings.NewReader(answer), singleBytes{strings.NewReader(answer)}} {
				r := New(source, bufferSize, NewBudget(1<<20), "X-Id")
				a, err := readAnswer(r)
				if err != nil || string(a.Body()) != "{}" || r.Unread() != 0 {
					t.Errorf("%q, %s: got body %q, %d bytes unread, error %v, want the answer", line, name, a.Body(), r.Unread(), err)
				}
				if got := passedFields(&a.Header); got != want || len(a.Header.Peek("X-T")) > 0 {
					t.Errorf("%q, %s: got fields %q and %q of the trailer, want %q and none", line, name, got, a.Header.Peek("X-T"), want)
				}
			}
		}
	}
}

// passedFields returns the fields that concern more than one connection.
func passedFields(h *fasthttp.ResponseHeader) string {
	var fields []string
	for name, value := range h.All() {
		if !slices.Contains([]string{"Content-Length", "Transfer-Encoding", "Connection", "Trailer"}, string(name)) {
			fields = append(fields, fmt.Sprintf("%s: %s", name, value))
		}
	}
	return strings.Join(fields, ", ")
}

// BenchmarkReadAnswer measures the cost of reading an answer of ordinary size.
func BenchmarkReadAnswer(b *testing.B) {
	body := strings.Repeat("x", 512)
	for name, answer := range map[string]string{
		"length":  answerHead + "X-Request-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8\r\nContent-Type: application/json\r\nContent-Length: 512\r\n\r\n" + body,
		"chunked": answerHead + "X-Request-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n200\r\n" + body + "\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			r := New(&endless{rest: answer}, bufferSize, NewBudget(1<<20), "X-Request-Id", "X-Server-Stamp", "X-Not-Run")
			a := &fasthttp.Response{}
			for b.Loop() {
				a.ResetBody()
				if err := r.Await(); err != nil {
					b.Fatal(err)
				}
				if err := r.ReadHeader(&a.Header); err != nil {
					b.Fatal(err)
				}
				if err := r.ReadBody(a); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
