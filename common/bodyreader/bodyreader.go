// Package bodyreader reads bodies of requests in steps that are reserved in a
// zinniatide.ClientBudget before they are read.
package bodyreader

import (
	"errors"
	"io"

	"zinniatide.example/zinniatide"
)

// Reasons for a body that cannot be read, besides those of the connection.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrNoMemory = errors.New("no memory for the body")
)

// SmallBytes is the size of the first step. It is not reserved, as connections are counted
// with the memory of a small request.
const SmallBytes = 2 << 10

// Reader reads the bodies on one connection.
type Reader struct {
	connection zinniatide.ClientConnection
	reserved   int
}

// New returns a Reader that reserves memory for connection.
func New(connection zinniatide.ClientConnection) *Reader { return &Reader{connection: connection} }

// Read reads a body of at most limit bytes. length is the one that the head states, or
// negative. The memory stays reserved until Release.
func (r *Reader) Read(body io.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := SmallBytes
	if length >= 0 {
		size = min(size, length)
	}
	out := make([]byte, 0, size)
	for length < 0 || len(out) < length {
		if len(out) == cap(out) {
			next := max(2*cap(out), SmallBytes)
			if length >= 0 {
				next = min(next, length)
			}
			// One byte above the limit shows that the body exceeds it.
			grown, err := r.grow(out, min(next, limit+1))
			if err != nil {
				return nil, err
			}
			out = grown
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case len(out) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && (length < 0 || len(out) == length):
			return out, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return out, nil
}

// grow copies out to a buffer of size bytes.
func (r *Reader) grow(out []byte, size int) ([]byte, error) {
	if !r.Reserve(size) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(out), size)
	copy(grown, out)
	if former := cap(out); former > SmallBytes {
		r.connection.Release(former)
		r.reserved -= former
	}
	return grown, nil
}

// Reserve reserves memory for other parts of the request until Release.
func (r *Reader) Reserve(bytes int) bool {
	if !r.connection.Reserve(bytes) {
		return false
	}
	r.reserved += bytes
	return true
}

// Release ends the reservation for the request.
func (r *Reader) Release() {
	if r.reserved > 0 {
		r.connection.Release(r.reserved)
		r.reserved = 0
	}
}
