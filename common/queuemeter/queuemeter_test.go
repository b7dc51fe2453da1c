package queuemeter

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a kernel that takes megabytes for a client that does not read, and
// against a queue that is not seen to empty once it reads.
func TestLimitAndQueued(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if err := client.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	m := New(server)
	if err := m.Limit(16 << 10); err != nil {
		t.Fatal(err)
	}
	if err := server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = server.Write(make([]byte, 8<<20)) // ends at the deadline
	// A segment over loopback has up to 64 KB.
	if got, low, high := m.Queued(), 1, (16+64)<<10; got < low || got > high {
		t.Errorf("got %d bytes queued, want %d to %d", got, low, high)
	}
	go func() { _, _ = io.Copy(io.Discard, client) }() // ends with the connection
	for end := time.Now().Add(10 * time.Second); m.Queued() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := m.Queued(); got != 0 {
		t.Errorf("got %d bytes queued after all was read, want 0", got)
	}
	_ = server.Close()
	if got := m.Queued(); got != 0 {
		t.Errorf("got %d bytes queued on a closed connection, want 0", got)
	}
}
