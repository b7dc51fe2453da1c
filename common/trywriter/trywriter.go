// Package trywriter implements non-blocking writes to sockets.
package trywriter

import (
	"errors"
	"net"
	"syscall"
)

// Writer writes to one connection without blocking. It must not be used
// concurrently.
type Writer struct {
	raw syscall.RawConn
	// writeFunc is the method value of write. It is stored because creating a
	// method value allocates. It takes its argument from call and stores its
	// results there.
	writeFunc func(fd uintptr) bool
	call      struct {
		out []byte
		n   int
		err error
	}
}

// New returns a Writer for conn. If conn is not a socket, TryWrite writes
// nothing.
func New(conn net.Conn) *Writer {
	w := &Writer{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
			w.writeFunc = w.write
		}
	}
	return w
}

// TryWrite writes as much of out as the socket accepts without blocking. A full
// socket buffer is not an error.
func (w *Writer) TryWrite(out []byte) (n int, err error) {
	if w.raw == nil {
		return 0, nil
	}
	w.call.out = out
	rawErr := w.raw.Write(w.writeFunc)
	n, err = w.call.n, w.call.err
	w.call.out = nil
	if rawErr != nil {
		return 0, rawErr
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return 0, nil
	}
	return max(n, 0), err
}

// write calls write(2) once. It always returns true, so that RawConn.Write does
// not wait for the socket to become writable.
func (w *Writer) write(fd uintptr) bool {
	w.call.n, w.call.err = syscall.Write(int(fd), w.call.out)
	return true
}
