package linker

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/encoder"
)

func encode(t testing.TB, h frameHeader, body any) []byte {
	t.Helper()
	b, message, err := encodeFrame(&h, body, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.release()
	return bytes.Clone(message)
}

// Guards against corrupted or malicious streams that crash the receiver, make it
// read beyond the received bytes, or are decoded to other frames than were sent.
func FuzzFrame(f *testing.F) {
	f.Add(encode(f, frameHeader{Kind: 30, Call: 7}, "body"), true)
	f.Add(encode(f, frameHeader{Kind: 30, Call: 7, Reply: true, Code: "shed"}, errorBody{Outcome: "not-run", Message: "m"}), false)
	f.Add(encode(f, frameHeader{Kind: kindHello}, hello{VM: "a"}), false)
	f.Add(append(encode(f, frameHeader{Kind: 1}, nil), controlMessage(ws.OpPing, []byte("p"), true)...), true)
	f.Add([]byte{0x82, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, false) // length of 2^64-1 bytes
	f.Add([]byte{0x82, 0x05, 0x84, 0x01, 0x01, 0xf5, 0x60}, false)                   // reply without a body
	f.Fuzz(func(t *testing.T, stream []byte, server bool) {
		headers := new(headerReader)
		r, state := &sliceReader{bytes.Clone(stream)}, ws.StateClientSide
		if server {
			state = ws.StateServerSide
		}
		for {
			h, size, ok, err := headers.peekHeader(r, state, MaxMessageBytes)
			if err != nil || !ok {
				return
			}
			if size > r.InboundBuffered() {
				t.Fatalf("message of %d bytes in a stream of %d", size, r.InboundBuffered())
			}
			message, _ := r.Peek(size)
			payload := unmask(&h, message)
			var header, again frameHeader
			if body, err := parseFrame(payload, &header); err == nil {
				rest, err := parseFrame(append(mustEncode(t, &header), body...), &again)
				if err != nil || again != header || !bytes.Equal(rest, body) {
					t.Fatalf("header %+v became %+v, %v", header, again, err)
				}
				_ = header.decodeError(body)
			}
			_, _ = r.Discard(size)
		}
	})
}

func mustEncode(t testing.TB, v any) []byte {
	t.Helper()
	data, err := encoder.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a hello message that crashes the receiver, or that is accepted
// without a valid id or a common version.
func FuzzHello(f *testing.F) {
	l, err := New(Config{Self: "b", ListenAddress: "127.0.0.1:0"}, clock.NewManual(0, 0), prometheus.NewRegistry())
	if err != nil {
		f.Fatal(err)
	}
	for _, h := range []hello{{VM: "a", VersionMin: 1, VersionMax: 1, Process: 1}, {VM: "a", VersionMin: 2, VersionMax: 1}, {VM: "b", VersionMax: 9}, {}} {
		f.Add(encode(f, frameHeader{Kind: kindHello}, h)[2:]) // without the WebSocket header of 2 bytes
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		h, err := decodeHello(frame)
		if err == nil && l.checkHello(&h) == nil && (h.VM == "" || h.VM == "b" || h.VersionMin > protocolVersion || h.VersionMax < oldestVersion || h.VersionMin > h.VersionMax) {
			t.Errorf("accepted %+v", h)
		}
	})
}

// memoryTransport counts the written bytes. It can fail writes and report a
// backlog.
type memoryTransport struct {
	written      int
	backlogBytes int
	fail         bool
}

func (m *memoryTransport) wake()  {}
func (m *memoryTransport) close() {}
func (m *memoryTransport) write(b []byte) error {
	if m.fail {
		return net.ErrClosed
	}
	m.written += len(b)
	return nil
}
func (m *memoryTransport) backlog() int { return m.backlogBytes }

// Guards against ErrNotSent for a message that may have been sent, which would
// run a non-idempotent request twice, against calls that end twice or never, and
// against queues that exceed their limits.
func TestCallsCompleteOnceWithTheRightError(t *testing.T) {
	// Use a fixed seed unless one is given on the command line.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(Config{Self: "a", ListenAddress: "127.0.0.1:0", QueueMessages: 8, QueueBytes: MaxMessageBytes}, clock.NewManual(0, 0), prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		m := &memoryTransport{}
		lk := newLink(l, "b", 1)
		lk.transport = m
		if err := l.installLink(lk); err != nil {
			t.Fatal(err)
		}
		type call struct {
			ends    int
			err     error
			written bool // a flush after the call may have written it
		}
		var calls []*call
		now := zinniatide.Millis(0)
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				c := &call{}
				calls = append(calls, c)
				l.Call("b", 9, "x", zinniatide.Millis(rapid.IntRange(1, 20).Draw(t, "timeout")), func(_ []byte, err error) { c.ends++; c.err = err })
			},
			"pump": func(t *rapid.T) {
				m.backlogBytes = rapid.SampledFrom([]int{0, 0, 5, MaxMessageBytes}).Draw(t, "held")
				for _, c := range calls {
					c.written = c.written || c.ends == 0
				}
				lk.flush()
			},
			"reply": func(t *rapid.T) {
				h := frameHeader{Kind: 9, Reply: true, Call: uint64(rapid.IntRange(1, len(calls)+2).Draw(t, "call"))}
				lk.completeCall(&h, []byte{0})
			},
			"expire":     func(*rapid.T) { now += 5; lk.expireCalls(now) },
			"fail write": func(*rapid.T) { m.fail = true },
			"lose":       func(*rapid.T) { l.dropLink(lk, "test", nil) },
			"": func(t *rapid.T) {
				if lk.queuedMessages > 8 {
					t.Fatalf("%d messages queued, limit 8", lk.queuedMessages)
				}
				for i, c := range calls {
					if c.ends > 1 || c.written && errors.Is(c.err, zinniatide.ErrNotSent) {
						t.Fatalf("call %d ended %d times, written %v, err %v", i, c.ends, c.written, c.err)
					}
				}
			},
		})
		l.dropLink(lk, "test", nil)
		for i, c := range calls {
			if c.ends != 1 {
				t.Fatalf("call %d ended %d times", i, c.ends)
			}
			if !c.written && errors.Is(c.err, zinniatide.ErrLinkLost) {
				t.Fatalf("call %d got ErrLinkLost although it was not written", i)
			}
		}
	})
}

// Guards against a VM that stays without links after its event loops ended, for
// example because the process had no file descriptors left.
func TestEventLoopsRestart(t *testing.T) {
	var ends [2]*Linker
	for i, id := range []zinniatide.VMID{"a", "b"} {
		l, err := New(Config{Self: id, ListenAddress: "127.0.0.1:0"}, clock.New(), prometheus.NewRegistry())
		if err == nil {
			err = l.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ends[i] = l
	}
	a, b := ends[0], ends[1]
	a.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"b": {Address: b.Address()}})
	connected := func(want bool) {
		t.Helper()
		for range 10000 {
			if a.Connected("b") == want && b.Connected("a") == want {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("connected is not %v on both sides", want)
	}
	connected(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, l := range ends {
		_ = l.server.engine.Load().Stop(ctx)
		connected(false)
		connected(true)
	}
}

// Guards against configurations that are sent uncompressed, against bodies that
// are changed by compression, and against compressed messages to a peer of an
// older version, which would close the link.
func TestLargeMessagesAreCompressed(t *testing.T) {
	l, err := New(Config{Self: "a", ListenAddress: "127.0.0.1:0"}, clock.NewManual(0, 0), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Repeat("booking-desk", 1000)
	for _, row := range []struct {
		version uint16
		smaller bool
	}{{oldestVersion, false}, {compressionVersion, true}, {protocolVersion + 1, true}} {
		lk := newLink(l, "b", 1)
		lk.compresses = l.compresses(&hello{VM: "b", VersionMin: oldestVersion, VersionMax: row.version})
		b, message, err := encodeFrame(&frameHeader{Kind: 9}, want, true, lk.compressor())
		if err != nil {
			t.Fatal(err)
		}
		if got := len(message) < len(want)/5; got != row.smaller {
			t.Errorf("version %d: got %d bytes, want smaller than a fifth of %d: %v", row.version, len(message), len(want), row.smaller)
		}
		received := ""
		l.handlers[9] = func(_ zinniatide.VMID, body []byte, _ func(any, error)) {
			if err := encoder.Unmarshal(body, &received); err != nil {
				t.Error(err)
			}
		}
		if err := l.readMessages(&sliceReader{bytes.Clone(message)}, lk); err != nil || received != want {
			t.Errorf("version %d: got %d bytes, %v, want the body of %d", row.version, len(received), err, len(want))
		}
		b.release()
	}
}

// upgradeConn is an accepted connection that has received some bytes.
type upgradeConn struct {
	gnet.Conn
	sliceReader
	written int
}

func (c *upgradeConn) Peek(n int) ([]byte, error)  { return c.sliceReader.Peek(n) }
func (c *upgradeConn) Discard(n int) (int, error)  { return c.sliceReader.Discard(n) }
func (c *upgradeConn) InboundBuffered() int        { return c.sliceReader.InboundBuffered() }
func (c *upgradeConn) Write(b []byte) (int, error) { c.written += len(b); return len(b), nil }

// Guards against upgrade requests that crash the receiver, or that it accepts
// without answering them or before they are complete.
func FuzzUpgrade(f *testing.F) {
	const request = "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	f.Add([]byte(request))
	f.Add([]byte(request + "\x82\x85\x00\x00\x00\x00\x84\x01\x00\xf4\x60"))
	f.Add([]byte(request[:60]))
	f.Add([]byte("\x00\xff\r\n\r\n"))
	f.Add(bytes.Repeat([]byte("x"), maxUpgradeRequest+1))
	f.Fuzz(func(t *testing.T, received []byte) {
		c := &upgradeConn{sliceReader: sliceReader{bytes.Clone(received)}}
		ok, err := upgrade(c)
		if ok && (err != nil || c.written == 0 || !bytes.Contains(received, []byte("\r\n\r\n"))) {
			t.Errorf("got an upgrade with %d bytes written, error %v", c.written, err)
		}
		if !ok && err == nil && c.written > 0 {
			t.Errorf("got %d bytes written while the request is incomplete", c.written)
		}
	})
}

// DropLink closes the link to a peer, as if its connection had been reset.
func (l *Linker) DropLink(peer zinniatide.VMID) {
	if lk := l.linkTo(peer); lk != nil {
		l.dropLink(lk, "reset", nil)
	}
}
