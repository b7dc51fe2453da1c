package network

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestFreezeOpenLinksAffectsOnlyOpenLinks guards against a frozen link that still
// carries data or is closed, and against dropping data on links that are dialed
// later.
func TestFreezeOpenLinksAffectsOnlyOpenLinks(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	n := New(0)
	defer n.Close()
	address := n.Route("a")("b", server.Addr().String())
	dial := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return near, <-accepted
	}
	carries := func(near, far net.Conn) bool {
		if _, err := near.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = far.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := far.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the link was closed: %v", err)
		}
		return n == 1
	}
	oldNear, oldFar := dial()
	if !carries(oldNear, oldFar) {
		t.Fatal("a new link carries no data")
	}
	if got := n.FreezeOpenLinks("c"); got != 0 {
		t.Errorf("froze %d links of a VM without links, want 0", got)
	}
	if got := n.FreezeOpenLinks("b"); got != 1 {
		t.Errorf("froze %d links, want 1", got)
	}
	if carries(oldNear, oldFar) {
		t.Error("a frozen link still carries data")
	}
	if newNear, newFar := dial(); !carries(newNear, newFar) {
		t.Error("a link dialed after FreezeOpenLinks carries no data")
	}
}
