package linker_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gobwas/ws"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/linker"
)

// rawPeer connects to n as VM "a" without a Linker, so that a test controls each
// byte sent.
func rawPeer(t *testing.T, n *node, process int) net.Conn {
	t.Helper()
	conn, _, _, err := ws.Dial(context.Background(), "ws://"+n.Address()+"/link")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	// End a test that would otherwise hang.
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	writeFrame(t, conn, rawFrame(t, []any{1, 0, false, ""}, map[string]any{
		"vm": "a", "incarnation": process, "version-min": 1, "version-max": 3, "address": "127.0.0.1:1", "later-field": 1}))
	if _, answer := readFrame(t, conn); strings.Contains(string(answer), "refusal") {
		t.Fatalf("hello got %q", answer)
	}
	eventually(t, "link", func() bool { return n.Connected("a") })
	return conn
}

func rawFrame(t *testing.T, header []any, body any) []byte {
	t.Helper()
	h, err := encoder.Marshal(header)
	if err != nil {
		t.Fatal(err)
	}
	b, err := encoder.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return append(h, b...)
}

func readFrame(t *testing.T, conn net.Conn) (ws.Header, []byte) {
	t.Helper()
	h, err := ws.ReadHeader(conn)
	if err != nil {
		t.Fatal(err)
	}
	payload := make([]byte, h.Length)
	if _, err := io.ReadFull(conn, payload); err != nil {
		t.Fatal(err)
	}
	return h, payload
}

func writeFrame(t *testing.T, conn net.Conn, payload []byte) {
	t.Helper()
	if err := ws.WriteFrame(conn, ws.MaskFrame(ws.NewBinaryFrame(payload))); err != nil {
		t.Fatal(err)
	}
}

// Guards against a link that stays open although its peer stopped sending in the
// middle of a message, and against a link that is closed although it receives
// data. It also checks the pings.
func TestSilentLinkCloses(t *testing.T) {
	n := start(t, "b", nil)
	conn := rawPeer(t, n, 1)
	for range 4 {
		n.clock.Advance(zinniatide.LinkPingInterval)
		if h, _ := readFrame(t, conn); h.OpCode != ws.OpPing {
			t.Fatalf("got opcode %v, want a ping", h.OpCode)
		}
		before := n.metric(t, "received_messages_total")
		writeFrame(t, conn, rawFrame(t, []any{kindNote, 0, false, ""}, []byte("x")))
		eventually(t, "message", func() bool { return n.metric(t, "received_messages_total") > before })
	}
	call := n.call("a", kindHold, "", 60000)
	eventually(t, "write", func() bool { return n.metric(t, "writes_total") >= 5 })
	// Send a complete message and half a header in one write. Once the message is
	// handled, the partial header has been received too and is the last data from
	// the peer.
	before := n.metric(t, "received_messages_total")
	last, err := ws.CompileFrame(ws.MaskFrame(ws.NewBinaryFrame(rawFrame(t, []any{kindNote, 0, false, ""}, []byte("x")))))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(append(last, 0x82, 0xfe)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "message", func() bool { return n.metric(t, "received_messages_total") > before })
	for range 4 {
		writes := n.metric(t, "writes_total")
		n.clock.Advance(zinniatide.LinkPingInterval)
		eventually(t, "ping or loss", func() bool { return !n.Connected("a") || n.metric(t, "writes_total") > writes })
	}
	eventually(t, "end of the call", func() bool { return len(call) == 1 })
	if got := <-call; !errors.Is(got.err, zinniatide.ErrLinkLost) {
		t.Errorf("call got %v, want ErrLinkLost", got.err)
	}
	if n.Connected("a") {
		t.Error("silent link is still open")
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("connection ended with %v, want EOF", err)
	}
}

// Guards against a sender whose memory use grows without limit when its peer
// stops reading, or that stays blocked after the peer reads again.
func TestBackPressure(t *testing.T) {
	n := start(t, "b", func(c *linker.Config) { c.QueueBytes = linker.MaxMessageBytes })
	conn := rawPeer(t, n, 1)
	// Random data cannot be compressed.
	message := make([]byte, 64<<10)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(message)
	send := func() error { return n.Send("a", kindNote, message) }
	// The event loop moves data from the queue to the socket buffers until those
	// are full, so send until the queue stays full for 200 attempts.
	sent := 0
	for refused := 0; refused < 200 && sent < 4096; {
		err := send()
		switch {
		case err == nil:
			sent, refused = sent+1, 0
		case errors.Is(err, zinniatide.ErrNotSent):
			refused++
			time.Sleep(time.Millisecond)
		default:
			t.Fatalf("send %d got %v, want ErrNotSent", sent, err)
		}
	}
	if limit := 1024; sent > limit { // 8 MiB of queue, the rest is for the socket buffers
		t.Fatalf("%d messages of 64 KiB accepted for a stalled peer, want at most %d", sent, limit)
	}
	for range sent {
		if h, _ := readFrame(t, conn); h.Length < 64<<10 {
			t.Fatalf("got %d bytes", h.Length)
		}
	}
	eventually(t, "room in the queue", func() bool { return send() == nil })
}

// Guards against invalid input that is skipped, which would hide the error and
// might lose messages. The link must be closed instead.
func TestInvalidInputClosesTheLink(t *testing.T) {
	n := start(t, "b", nil)
	masked := func(f ws.Frame) []byte { return ws.MustCompileFrame(ws.MaskFrame(f)) }
	binary := func(payload string) []byte { return masked(ws.NewBinaryFrame([]byte(payload))) }
	cases := map[string][]byte{
		"damaged header":   binary("\xff\x00"),
		"short header":     binary("\x82\x01\x02\x00"),
		"no body":          binary("\x84\x01\x02\xf4\x60"),
		"second hello":     binary("\x84\x01\x00\xf4\x60\xf6"),
		"reply without id": binary("\x84\x01\x00\xf5\x60\xf6"),
		"code in a call":   binary("\x84\x01\x02\xf4\x61x\xf6"),
		"text":             masked(ws.NewTextFrame([]byte("hi"))),
		"fragment":         masked(ws.NewFrame(ws.OpBinary, false, []byte("x"))),
		"not masked":       ws.MustCompileFrame(ws.NewBinaryFrame([]byte("x"))),
		"too long":         {0x82, 0xff, 0, 0, 0, 0, 0, 0x80, 0, 1, 1, 2, 3, 4},
		"reserved bits":    {0xf2, 0x80, 1, 2, 3, 4},
		"close frame":      masked(ws.NewCloseFrame(nil)),
	}
	process := 1
	for name, bytes := range cases {
		process++
		conn := rawPeer(t, n, process)
		if _, err := conn.Write(bytes); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, conn) // returns when the link is closed
		if n.Connected("a") {
			t.Errorf("%s: link is still open", name)
		}
	}
}

// Guards against connections without a hello message that are never closed, and
// against requests of other protocols that are accepted as links.
func TestIncompleteHandshakesAreRefused(t *testing.T) {
	n := start(t, "b", nil)
	for name, send := range map[string]string{
		"silent":       "",
		"half request": "GET /link HTTP/1.1\r\nHost: b\r\n",
		"no upgrade":   "GET /link HTTP/1.1\r\nHost: b\r\n\r\n",
		"long request": "GET /link HTTP/1.1\r\nX: " + strings.Repeat("x", 5000),
	} {
		conn, err := net.Dial("tcp", n.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, send); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, conn); close(ended) }()
		eventually(t, name+" refused", func() bool {
			n.clock.Advance(zinniatide.LinkSilenceTimeout)
			select {
			case <-ended:
				return true
			default:
				return false
			}
		})
		_ = conn.Close()
	}
}
