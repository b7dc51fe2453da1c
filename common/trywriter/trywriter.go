// Package trywriter writes what a socket takes without waiting.
package trywriter

import (
	"errors"
	"net"
	"syscall"
)

// Writer writes to one connection. It is used by one goroutine at a time.
type Writer struct {
	raw syscall.RawConn
	// try is the method value of write, made once because each costs an
	// allocation; attempt carries its argument and results.
	try     func(fd uintptr) bool
	attempt struct {
		out []byte
		n   int
		err error
	}
}

// New returns a Writer of conn. For a connection that is no socket, TryWrite
// writes nothing.
func New(conn net.Conn) *Writer {
	w := &Writer{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
			w.try = w.write
		}
	}
	return w
}

// TryWrite writes as much of out as the socket takes at once. It returns no
// error when the socket is full.
func (w *Writer) TryWrite(out []byte) (n int, err error) {
	if w.raw == nil {
		return 0, nil
	}
	w.attempt.out = out
	rawErr := w.raw.Write(w.try)
	n, err = w.attempt.n, w.attempt.err
	w.attempt.out = nil
	if rawErr != nil {
		return 0, rawErr
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return max(n, 0), err
}

// write makes one write to the socket, which does not block.
func (w *Writer) write(fd uintptr) bool {
	w.attempt.n, w.attempt.err = syscall.Write(int(fd), w.attempt.out)
	return true
}
