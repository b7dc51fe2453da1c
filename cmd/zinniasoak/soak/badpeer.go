package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"zinniatide.example/zinniatide/platform"
)

// badPeerPause is the time between the connections of a bad peer.
const badPeerPause = 5 * time.Millisecond

// openings are what bad peers send before they reset the connection, stay silent
// or send bytes without end.
var openings = []string{
	"", "\x00\xff\x16\x03\x01 no request\r\n\r\n", "GET /q/x HTTP/1.1\r\nHost: ",
	"POST " + platform.HeartbeatPath("i-1") + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n{\"service\":",
	"GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n",
	"GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\x85\x00\x00\x00\x00\xff\x00\x01\x02\x03",
}

// injectBadPeers injects faults of peers and of connections to backend servers
// beside those of injectFaults, and returns how many of each kind were chosen.
func (h *harness) injectBadPeers(duration time.Duration, random *rand.Rand) map[string]int {
	counts := map[string]int{}
	var active sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond) {
		h.mu.Lock()
		b := h.backends[random.IntN(len(h.backends))]
		h.mu.Unlock()
		p, opening, ending := h.cluster.all()[random.IntN(len(h.cluster.all()))], openings[random.IntN(len(openings))], random.IntN(3)
		faultDuration := time.Duration(200+random.IntN(1500)) * time.Millisecond
		var kind string
		var inject func()
		switch random.IntN(5) {
		case 0, 1:
			kind, inject = "bad peer", func() { badPeer(p, opening, ending, faultDuration) }
		case 2:
			kind, inject = "refused connections", func() {
				h.applyFor(faultDuration, func() { b.proxy.refuseNew.Store(true); b.proxy.resetConnections() }, func() { b.proxy.refuseNew.Store(false) })
			}
		case 3:
			kind, inject = "endless answers", func() {
				h.applyFor(faultDuration, func() { b.proxy.endless.Store(true) }, func() { b.proxy.endless.Store(false) })
			}
		default:
			kind, inject = "second copies", func() {
				h.applyFor(faultDuration, func() { b.proxy.secondCopies.Store(true) }, func() { b.proxy.secondCopies.Store(false) })
			}
		}
		counts[kind]++
		active.Go(inject)
	}
	active.Wait()
	return counts
}

// badPeer opens connections to all ports of a process, sends opening on each and
// ends it with a reset, silence or bytes without end.
func badPeer(p *process, opening string, ending int, duration time.Duration) {
	ports := []int{peerPort, callerPort, readyPort, directoryPort}
	if p.control {
		ports = []int{peerPort, controlPort}
	}
	var silent []net.Conn
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		time.Sleep(badPeerPause)
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, ports[n%len(ports)]), time.Second)
		if err != nil {
			continue // the process is down
		}
		_, _ = c.Write([]byte(opening)) // the process may have closed the connection
		switch ending {
		case 0:
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		case 1:
			silent = append(silent, c)
		default:
			_ = c.SetWriteDeadline(end)
			for range 16 {
				if _, err := c.Write(make([]byte, 16<<10)); err != nil {
					break
				}
			}
			_ = c.Close()
		}
	}
	for _, c := range silent {
		_ = c.Close()
	}
}
