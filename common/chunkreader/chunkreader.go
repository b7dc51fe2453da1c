// Package chunkreader reads bodies in the chunked transfer coding. The readers at hand
// take the size of a chunk from lines that HTTP does not define.
package chunkreader

import (
	"bufio"
	"errors"
	"io"
	"regexp"
)

// Errors of Read, besides those of the connection.
var (
	ErrSize    = errors.New("line with the size of a chunk is invalid")
	ErrEnd     = errors.New("chunk is longer than its size")
	ErrTooLong = errors.New("chunks exceed the limit of bytes")
)

// extensions are the extensions of a chunk (RFC 9112, 7.1.1), up to the end of the line.
// They have no meaning here, but a line with others is malformed.
var extensions = regexp.MustCompile(`^(?:` + blanks + `;` + blanks + token + `(?:` + blanks + `=` + blanks + `(?:` + token + `|` + quoted + `))?)*\r\n$`)

const (
	blanks = `[ \t]*`
	token  = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	quoted = `"(?:[^\x00-\x08\x0a-\x1f\x7f"\\]|\\[^\x00-\x08\x0a-\x1f\x7f])*"`
)

// Read reads chunks up to the last one, and passes their bytes to add. The trailer is left
// to the caller. The chunks may have limit bytes together.
func Read(source *bufio.Reader, limit int, add func([]byte)) error {
	for total := 0; ; {
		size, err := readSize(source)
		if err != nil || size == 0 {
			return err
		}
		if size > limit-total {
			return ErrTooLong
		}
		total += size
		if err := readChunk(source, size, add); err != nil {
			return err
		}
	}
}

// maxSize is above every limit and far below the largest int, so that no size overflows.
const maxSize = 1 << 40

func readSize(source *bufio.Reader) (int, error) {
	line, err := source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, ErrSize
	} else if err != nil {
		return 0, unexpected(err)
	}
	size, digits := 0, 0
	for ; digits < len(line); digits++ {
		digit := hexDigit(line[digits])
		if digit < 0 {
			break
		}
		size = min(size<<4|digit, maxSize)
	}
	rest := line[digits:]
	if digits == 0 || string(rest) != "\r\n" && !extensions.Match(rest) {
		return 0, ErrSize
	}
	return size, nil
}

// hexDigit returns the value of a digit, or -1.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func readChunk(source *bufio.Reader, size int, add func([]byte)) error {
	for size > 0 {
		if _, err := source.Peek(1); err != nil {
			return unexpected(err)
		}
		arrived, err := source.Peek(min(size, source.Buffered()))
		if err != nil {
			return err
		}
		add(arrived)
		size -= len(arrived)
		if _, err := source.Discard(len(arrived)); err != nil {
			return err
		}
	}
	for _, want := range []byte("\r\n") {
		got, err := source.ReadByte()
		if err != nil {
			return unexpected(err)
		}
		if got != want {
			return ErrEnd
		}
	}
	return nil
}

// unexpected returns the error of a read before the end of a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
