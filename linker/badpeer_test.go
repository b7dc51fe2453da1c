package linker_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws"

	"zinniatide.example/zinniatide"
)

const (
	// badConnections is the number of connections of each kind of bad peer.
	badConnections = 6000
	badPeers       = 32
	upgradeRequest = "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)

// helloMessage returns the masked hello of VM id.
func helloMessage(t *testing.T, id string) []byte {
	t.Helper()
	payload := rawFrame(t, []any{1, 0, false, ""}, map[string]any{
		"vm": id, "incarnation": 1, "version-min": 1, "version-max": 3, "address": "127.0.0.1:1"})
	message, err := ws.CompileFrame(ws.MaskFrame(ws.NewBinaryFrame(payload)))
	if err != nil {
		t.Fatal(err)
	}
	return message
}

// Guards against a peer, a port scan or a reset that ends the process or keeps
// other VMs from connecting, at each step from the connect to the first frame.
func TestBadPeersDoNotEndProcess(t *testing.T) {
	hello := helloMessage(t, "zz")
	refused := helloMessage(t, "b") // the VM's own id
	noHello, err := ws.CompileFrame(ws.MaskFrame(ws.NewBinaryFrame([]byte{0xff, 0x00, 0x01})))
	if err != nil {
		t.Fatal(err)
	}
	steps := map[string]string{
		"connect":          "",
		"half a request":   upgradeRequest[:40],
		"garbage":          "\x00\xff\x16\x03\x01 no request\r\n\r\n",
		"wrong request":    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"upgrade":          upgradeRequest,
		"half a hello":     upgradeRequest + string(hello[:len(hello)/2]),
		"no hello":         upgradeRequest + string(noHello),
		"refused hello":    upgradeRequest + string(refused),
		"hello":            upgradeRequest + string(hello),
		"hello, no frames": upgradeRequest + string(hello) + "\x82\x03\x01\x02\x03",
		"hello, too long":  upgradeRequest + "\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00",
	}
	endings := map[string]func(*net.TCPConn){
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0) // close with a reset
			_ = c.Close()
		},
		"half-close": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
	n := start(t, "b", nil)
	for step, bytes := range steps {
		for ending, end := range endings {
			t.Run(step+"/"+ending, func(t *testing.T) {
				runBadPeers(t, n, func(c *net.TCPConn) {
					if _, err := c.Write([]byte(bytes)); err == nil {
						end(c)
					}
					_ = c.Close()
				})
			})
		}
	}
	if got := n.metric(t, "handshake_panics_total"); got != 0 {
		t.Errorf("got %v panics, want 0", got)
	}
}

// runBadPeers opens badConnections connections and checks that a VM can still
// connect afterwards.
func runBadPeers(t *testing.T, n *node, serve func(*net.TCPConn)) {
	t.Helper()
	var wg sync.WaitGroup
	for range badPeers {
		wg.Go(func() {
			for range badConnections / badPeers {
				c, err := net.DialTimeout("tcp", n.Address(), 5*time.Second)
				if err != nil {
					t.Errorf("dial: %v", err)
					return
				}
				serve(c.(*net.TCPConn))
			}
		})
	}
	wg.Wait()
	checkConnects(t, n)
}

func checkConnects(t *testing.T, n *node) {
	t.Helper()
	good := start(t, "a", nil) // the VM with the smaller id dials
	good.SetPeers(map[zinniatide.VMID]zinniatide.Peer{"b": {Address: n.Address()}})
	// A dial may fail while connections of bad peers still wait for the event
	// loops, so the clock runs for the time that a redial takes.
	eventually(t, "link", func() bool {
		good.clock.Advance(1)
		return good.Connected("b") && n.Connected("a")
	})
	if got := <-good.call("b", kindEcho, "x", 10_000); got.err != nil || got.body != "x" {
		t.Errorf("call got %q, %v, want x", got.body, got.err)
	}
	good.Close()
	eventually(t, "end of the link", func() bool { return !n.Connected("a") })
}

// Guards against connections that send no hello and keep VMs from connecting.
func TestSilentConnectionsDoNotKeepVMsOut(t *testing.T) {
	n := start(t, "b", nil)
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for i := range badConnections {
		c, err := net.DialTimeout("tcp", n.Address(), 5*time.Second)
		if err != nil {
			t.Fatal(fmt.Errorf("dial %d: %w", i, err))
		}
		conns = append(conns, c)
	}
	checkConnects(t, n)
	const maxSilent = 1024 // connections that may wait for a hello
	eventually(t, "end of the oldest connections", func() bool {
		return n.metric(t, "refused_connections_total") >= badConnections-maxSilent
	})
}
