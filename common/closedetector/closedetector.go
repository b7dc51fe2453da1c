// Package closedetector detects that the peer of a connection has closed it, without
// reading from the connection.
package closedetector

import (
	"errors"
	"net"
	"syscall"
)

// PeerClosed reports whether the peer of a TCP connection has closed or reset it.
// It takes no data from the connection.
func PeerClosed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}
