// Package queuemeter limits and measures what the kernel holds of answers that a client
// has not read.
package queuemeter

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Meter measures the send queue of one connection. It is safe for concurrent use.
type Meter struct{ raw syscall.RawConn }

// New returns a Meter for conn. If conn is not a socket, its queue counts as empty.
func New(conn net.Conn) *Meter {
	m := &Meter{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			m.raw = raw
		}
	}
	return m
}

// Limit makes the kernel take no more than bytes, and one segment, before the peer has
// room for them. Accepted connections do not inherit this option from their listener.
func (m *Meter) Limit(bytes int) error {
	if m.raw == nil {
		return nil
	}
	var optErr error
	err := m.raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
	if err != nil {
		return err
	}
	return optErr
}

// Queued returns the bytes that the peer has not acknowledged, 0 on a closed connection.
func (m *Meter) Queued() int {
	queued := 0
	if m.raw == nil {
		return 0
	}
	_ = m.raw.Control(func(fd uintptr) { // fails only on a closed connection
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return queued
}
