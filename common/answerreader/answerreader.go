// Package answerreader reads HTTP answers of backend servers with bounded memory
// and work. A server in trouble may send bytes without end, in a header or in a
// body, until its caller closes the connection.
package answerreader

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/chunkreader"
	"zinniatide.example/zinniatide/common/fieldscanner"
)

const (
	// maxOverheadBytes is the number of bytes that an answer may have in addition
	// to the largest body: headers, interim answers, chunk sizes and trailers.
	maxOverheadBytes = 256 << 10
	// smallAnswerBytes is the size up to which an answer needs no part of the
	// Budget, so that large answers of some servers do not fail ordinary answers of
	// others. A body announced as larger is stored in a buffer that grows with the
	// bytes that arrive.
	smallAnswerBytes = 64 << 10
)

// Errors of invalid answers, besides those of package fieldscanner. None contains bytes of
// an answer.
var (
	ErrTooLong       = errors.New("answer exceeds the limit of bytes")
	ErrNoBudget      = errors.New("answers in progress exceed the memory for large answers")
	ErrStatusLine    = errors.New("status line is not one of an HTTP/1 answer")
	ErrHeaderTooLong = errors.New("header or trailer exceeds the limit of bytes")
	ErrFraming       = errors.New("header has no valid length or coding of the body")
	ErrRepeated      = errors.New("header has different values of a field that has one")
	ErrTrailer       = errors.New("trailer has a field that must not be there")
)

// Reader reads the answers of one connection. It must not be used concurrently.
type Reader struct {
	source   io.Reader
	buffered *bufio.Reader
	budget   *Budget
	single   singleFields
	trailer  fasthttp.ResponseHeader // of the last chunked answer
	received int                     // bytes of the current answer
	reserved int                     // bytes of the current answer that count towards the budget
}

// New returns a Reader of the connection source whose buffer has bufferSize bytes,
// which is also the maximum size of a header. The Budget is shared by the
// connections of a VM. An answer with different values of one of the single fields is
// invalid.
func New(source io.Reader, bufferSize int, budget *Budget, single ...string) *Reader {
	r := &Reader{source: source, budget: budget, single: newSingleFields(single)}
	r.buffered = bufio.NewReaderSize(limitedSource{r}, bufferSize)
	return r
}

// limitedSource reads from the connection and enforces the limits.
type limitedSource struct{ r *Reader }

// Read implements io.Reader.
func (s limitedSource) Read(p []byte) (int, error) {
	r := s.r
	if r.received >= zinniatide.MaxBackendAnswer+maxOverheadBytes {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p)
	r.received += n
	if excess := r.received - smallAnswerBytes; excess > r.reserved {
		if !r.budget.reserve(excess - r.reserved) {
			return 0, ErrNoBudget
		}
		r.reserved = excess
	}
	return n, err
}

// Await waits for the first byte of the next answer and starts to count its bytes.
func (r *Reader) Await() error {
	r.Release()
	_, err := r.buffered.Peek(1)
	return err
}

// Release gives back the memory of the current answer. Call it when the answer has
// been processed or the connection has ended.
func (r *Reader) Release() {
	r.budget.release(r.reserved)
	r.received, r.reserved = r.buffered.Buffered(), 0
}

// Unread returns the number of bytes that were received but not read.
func (r *Reader) Unread() int { return r.buffered.Buffered() }

// ReadHeader reads the header of the final answer and skips interim answers. The parser
// gets a header only when all of its lines have been checked.
func (r *Reader) ReadHeader(h *fasthttp.ResponseHeader) error {
	h.SetNoDefaultContentType(true) // fields that the server has not sent are not passed on
	for {
		if err := r.checkStatusLine(); err != nil {
			return err
		}
		header, err := r.checkLines(statusLength, fieldscanner.NewAfterStatus())
		if err != nil {
			return err
		}
		if !bytes.HasPrefix(header, []byte("HTTP/1.1")) && hasCoding(header) {
			return ErrFraming
		}
		if err := r.single.check(header); err != nil {
			return err
		}
		codings := joinCodings(header)
		if err := h.Read(r.buffered); err != nil {
			return ErrFraming
		}
		if codings != nil {
			h.SetContentEncodingBytes(codings)
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// hasCoding reports whether the body of an answer has a transfer coding. Only HTTP/1.1
// defines them: in other versions the parser would take the coding for part of the body
// (RFC 9112, 6.1).
func hasCoding(header []byte) bool {
	for line := range bytes.Lines(header) {
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			return true
		}
	}
	return false
}

// checkLines checks the lines of a header or trailer and returns them without reading
// them. It leaves out the first skip bytes, which have arrived.
func (r *Reader) checkLines(skip int, scanner fieldscanner.Scanner) ([]byte, error) {
	length := skip
	for !scanner.Ended() {
		if _, err := r.buffered.Peek(length + 1); errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeaderTooLong
		} else if err != nil {
			return nil, err
		}
		arrived, err := r.buffered.Peek(r.buffered.Buffered())
		if err != nil {
			return nil, err
		}
		n, err := scanner.Scan(arrived[length:])
		if err != nil {
			return nil, err
		}
		length += n
	}
	return r.buffered.Peek(length)
}

// checkStatusLine checks the status line of the next answer before it is parsed: the
// parser accepts any number as a status and reports 000 as 200. Each byte is checked
// once it has arrived, so that an invalid answer ends without waiting for more.
func (r *Reader) checkStatusLine() error {
	if err := r.skipLineEnds(); err != nil {
		return err
	}
	for i := range len(statusLinePrefix) {
		line, err := r.buffered.Peek(i + 1)
		if err != nil {
			return err
		}
		if !statusLinePrefix[i](line[i]) {
			return ErrStatusLine
		}
		// No request asks for another protocol, so what follows a 101 is not HTTP.
		if bytes.HasSuffix(line, []byte(" 101")) {
			return ErrStatusLine
		}
	}
	return nil
}

// skipLineEnds skips empty lines before an answer, which the parser accepts, but not a CR
// without its LF.
func (r *Reader) skipLineEnds() error {
	for {
		c, err := r.buffered.ReadByte()
		if err == nil && c == '\r' {
			if c, err = r.buffered.ReadByte(); err == nil && c != '\n' {
				return ErrStatusLine
			}
		}
		if err != nil {
			return err
		}
		if c != '\n' {
			return r.buffered.UnreadByte()
		}
	}
}

// statusLength is the length of a status line up to the end of the status.
const statusLength = len("HTTP/1.1 200")

// statusLinePrefix are the checks of the bytes of a status line up to the end of the
// status, for example "HTTP/1.1 200 ". HTTP defines statuses from 100 to 599.
var statusLinePrefix = []func(byte) bool{
	is('H'), is('T'), is('T'), is('P'), is('/'), is('1'), is('.'), between('0', '9'),
	is(' '), between('1', '5'), between('0', '9'), between('0', '9'),
	func(c byte) bool { return c == ' ' || c == '\r' || c == '\n' },
}

func is(want byte) func(byte) bool { return func(c byte) bool { return c == want } }

func between(low, high byte) func(byte) bool {
	return func(c byte) bool { return low <= c && c <= high }
}

// ReadBody reads the body that belongs to the header of answer, and the trailer
// of a chunked one.
func (r *Reader) ReadBody(answer *fasthttp.Response) error {
	length := answer.Header.ContentLength()
	switch {
	case length == chunkedLength:
		answer.ResetBody()
		if err := chunkreader.Read(r.buffered, zinniatide.MaxBackendAnswer, answer.AppendBody); err != nil {
			return err
		}
		return r.skipTrailer()
	case length > zinniatide.MaxBackendAnswer:
		return fasthttp.ErrBodyTooLarge
	case length > smallAnswerBytes:
		var body bytes.Buffer
		if _, err := io.CopyN(&body, r.buffered, int64(length)); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		answer.SetBodyRaw(body.Bytes())
		return nil
	}
	return answer.ReadBody(r.buffered, zinniatide.MaxBackendAnswer)
}

// skipTrailer reads a trailer and drops its fields, which must not be taken for fields of
// the header (RFC 9112, 7.1.2).
func (r *Reader) skipTrailer() error {
	if _, err := r.checkLines(0, fieldscanner.New()); err != nil {
		return err
	}
	r.trailer.Reset()
	if err := r.trailer.ReadTrailer(r.buffered); err != nil {
		return ErrTrailer
	}
	return nil
}

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1
