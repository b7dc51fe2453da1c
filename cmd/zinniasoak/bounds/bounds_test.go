// Package bounds tests that clients outside the limits cannot take a process of the
// system beyond the memory and the file descriptors in its settings.
package bounds

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowd. They and the limits in system_test.go were fixed on commit 404e3aa,
// before the product had a budget for clients.
const (
	crowd = 640
	// readingCrowd is the crowd of rows whose clients do not read answers. It is smaller,
	// because unchanged processes answered each connection with megabytes.
	readingCrowd = 200
	// pipelined is the number of requests that are sent ahead on a connection.
	pipelined = 1500
	// shortFields is the number of header fields of a request with many of them.
	shortFields = 3000
	// hold is how long the crowd stays after its last connection was opened.
	hold = 3 * time.Second
	// sendLimit ends a write that the process does not read.
	sendLimit = 2 * time.Second
)

// Parts of requests.
const (
	headOf   = " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: crowd\r\n"
	routed   = "POST /p/crowd"
	unrouted = "POST /none"
	ready    = "POST /v1/ready"
	resolve  = "POST /v1/resolve"
	config   = "POST /v1/config/put"
)

// client sends what one client of a crowd sends and returns while its connection is open.
type client func(c net.Conn, stop <-chan struct{})

func write(c net.Conn, text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendLimit)) // fails only on a closed connection
	_, err := c.Write([]byte(text))
	return err == nil
}

// repeat sends text n times, or until stop if n is 0, with a pause after each.
func repeat(c net.Conn, stop <-chan struct{}, text string, n int, pause time.Duration) {
	for i := 0; n == 0 || i < n; i++ {
		if !write(c, text) {
			return
		}
		if pause > 0 {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	}
}

func oneShort(start string) client {
	return func(c net.Conn, _ <-chan struct{}) {
		write(c, fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", start, headOf, maxBodyBytes, strings.Repeat("b", maxBodyBytes-1)))
	}
}

func oneShortInPieces(start string) client {
	return func(c net.Conn, stop <-chan struct{}) {
		const piece = 4096
		write(c, fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", start, headOf, maxBodyBytes))
		repeat(c, stop, strings.Repeat("b", piece), maxBodyBytes/piece-1, time.Millisecond)
		write(c, strings.Repeat("b", piece-1))
	}
}

func oneShortInChunks(start string) client {
	return func(c net.Conn, stop <-chan struct{}) {
		const piece = 4096
		write(c, start+headOf+"Transfer-Encoding: chunked\r\n\r\n")
		repeat(c, stop, fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("b", piece)), maxBodyBytes/piece, 0)
		write(c, "0\r\n")
	}
}

func farOver(start string) client {
	return func(c net.Conn, stop <-chan struct{}) {
		write(c, start+headOf+"Content-Length: 1073741824\r\n\r\n")
		repeat(c, stop, strings.Repeat("b", 64<<10), 32, 0)
	}
}

func farOverInChunks(start string) client {
	return func(c net.Conn, stop <-chan struct{}) {
		write(c, start+headOf+"Transfer-Encoding: chunked\r\n\r\n")
		repeat(c, stop, fmt.Sprintf("10000\r\n%s\r\n", strings.Repeat("b", 64<<10)), 32, 0)
	}
}

func manyFields(start string) client {
	return func(c net.Conn, _ <-chan struct{}) {
		write(c, start+headOf+strings.Repeat("a:1\r\n", shortFields)+"Content-Length: 10\r\n\r\nb")
	}
}

func sentAhead(request string) client {
	return func(c net.Conn, stop <-chan struct{}) {
		repeat(c, stop, strings.Repeat(request+headOf+"\r\n", 10), pipelined/10, 0)
	}
}

func slowHead(c net.Conn, stop <-chan struct{}) {
	write(c, routed+headOf)
	repeat(c, stop, "A", 0, 100*time.Millisecond)
}

func slowBody(c net.Conn, stop <-chan struct{}) {
	write(c, fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", routed, headOf, maxBodyBytes, strings.Repeat("b", maxBodyBytes/2)))
	repeat(c, stop, "b", 0, 100*time.Millisecond)
}

func slowReader(c net.Conn, stop <-chan struct{}) {
	write(c, "GET /p/large"+headOf+"\r\n")
	for b := make([]byte, 1); ; {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		_ = c.SetReadDeadline(time.Now().Add(sendLimit)) // fails only on a closed connection
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

func halfway(c net.Conn, _ <-chan struct{}) {
	write(c, fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", routed, headOf, maxBodyBytes, strings.Repeat("b", maxBodyBytes/2)))
	_ = c.(*net.TCPConn).CloseWrite() // fails only on a closed connection
}

func silent(net.Conn, <-chan struct{}) {}

func garbage(c net.Conn, _ <-chan struct{}) {
	write(c, strings.Repeat("\x16\x03\x01\x00\xff", 1<<10))
}

func stalledUpgrade(c net.Conn, stop <-chan struct{}) {
	write(c, "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n")
	repeat(c, stop, "X-A: 1\r\n", 0, 100*time.Millisecond)
}

// stalledHello upgrades the connection and stops within a hello of 4,000 bytes.
func stalledHello(c net.Conn, _ <-chan struct{}) {
	write(c, "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\xfe\x0f\xa0\x00\x00\x00\x00"+strings.Repeat("h", 3900))
}

// rows are the patterns of clients outside the limits. The control VM gets those rows
// whose port is the control port.
var rows = []struct {
	name    string
	port    int
	clients int
	client  client
}{
	{"body one byte short, in one piece", callerPort, crowd, oneShort(routed)},
	{"body one byte short, in small pieces", callerPort, crowd, oneShortInPieces(routed)},
	{"body one byte short, in chunks", callerPort, crowd, oneShortInChunks(routed)},
	{"no route, in one piece", callerPort, crowd, oneShort(unrouted)},
	{"no route, in chunks", callerPort, crowd, oneShortInChunks(unrouted)},
	{"readiness, in one piece", readyPort, crowd, oneShort(ready)},
	{"readiness, in small pieces", readyPort, crowd, oneShortInPieces(ready)},
	{"readiness, in chunks", readyPort, crowd, oneShortInChunks(ready)},
	{"directory, in one piece", directoryPort, crowd, oneShort(resolve)},
	{"directory, in chunks", directoryPort, crowd, oneShortInChunks(resolve)},
	{"control, in one piece", controlPort, crowd, oneShort(config)},
	{"control, in small pieces", controlPort, crowd, oneShortInPieces(config)},
	{"control, in chunks", controlPort, crowd, oneShortInChunks(config)},
	{"far over the limit", callerPort, crowd, farOver(routed)},
	{"far over the limit, in chunks", callerPort, crowd, farOverInChunks(routed)},
	{"far over the limit, at control", controlPort, crowd, farOver(config)},
	{"many header fields", callerPort, crowd, manyFields(routed)},
	{"many header fields, at readiness", readyPort, crowd, manyFields(ready)},
	{"sent ahead, answers unread", callerPort, readingCrowd, sentAhead("GET /p/large")},
	{"sent ahead, at readiness", readyPort, readingCrowd, sentAhead("GET /v1/ready")},
	{"sent ahead, at control", controlPort, readingCrowd, sentAhead("GET /v1/config/get")},
	{"slow heads", callerPort, crowd, slowHead},
	{"slow bodies", callerPort, crowd, slowBody},
	{"slow readers", callerPort, readingCrowd, slowReader},
	{"half-way stops", callerPort, crowd, halfway},
	{"idle", callerPort, crowd, silent},
	{"idle, at readiness", readyPort, crowd, silent},
	{"idle, at control", controlPort, crowd, silent},
	{"garbage at the link port", peerPort, crowd, garbage},
	{"stalled upgrades at the link port", peerPort, crowd, stalledUpgrade},
	{"stalled hellos at the link port", peerPort, crowd, stalledHello},
}

// Guards against clients that make a process exceed the memory or the descriptors of its
// machine, or that leave it unable to serve, whichever listener they use. The bounds
// are memory_mb and max_fds of its settings.
func TestClientsOutsideLimits(t *testing.T) {
	binary := buildProgram(t)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := startSystem(t, binary)
			target := s.relay
			if row.port == controlPort {
				target = s.control
			}
			peak := s.besiege(target, row.port, row.clients, row.client)
			t.Logf("peak: %d MB resident, %d MB in the kernel, %d MB together, %d descriptors", peak.residentBytes>>20, peak.kernelBytes>>20,
				(peak.sum)>>20, peak.descriptors)
			if got, want := peak.sum, int64(memoryMB)<<20; got > want {
				t.Errorf("got %d MB of memory, unread bytes in the kernel included, want at most %d MB", got>>20, want>>20)
			}
			if got, want := peak.descriptors, maxFDs; got > want {
				t.Errorf("got %d open descriptors, want at most %d", got, want)
			}
			if err := s.ask(target, row.port); err != nil {
				t.Errorf("after the crowd: %v", err)
			}
			if !target.alive() {
				t.Error("the process has exited, want it alive")
			}
		})
	}
}

// peakUsage holds the largest values seen, each on its own. sum is resident and kernel
// memory at one time.
type peakUsage struct {
	usage
	sum int64
}

// besiege runs a crowd and returns the peak of what the process held meanwhile.
func (s *system) besiege(p *vm, port, clients int, run client) peakUsage {
	s.t.Helper()
	stop, sampled := make(chan struct{}), make(chan struct{})
	var peak peakUsage
	go func() {
		defer close(sampled)
		for {
			if u, err := p.measure(); err == nil { // fails once the process has exited
				peak.residentBytes = max(peak.residentBytes, u.residentBytes)
				peak.kernelBytes = max(peak.kernelBytes, u.kernelBytes)
				peak.sum = max(peak.sum, u.residentBytes+u.kernelBytes)
				peak.descriptors = max(peak.descriptors, u.descriptors)
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	address := net.JoinHostPort(p.ip, strconv.Itoa(port))
	var running sync.WaitGroup
	var conns []net.Conn
	for range clients {
		c, err := net.DialTimeout("tcp", address, sendLimit)
		if err != nil {
			continue // refused
		}
		conns = append(conns, c)
		_ = c.(*net.TCPConn).SetReadBuffer(4096) // what the client does not read stays with the process
		running.Go(func() { run(c, stop) })
	}
	time.Sleep(hold)
	close(stop)
	<-sampled
	for _, c := range conns {
		_ = c.Close() // fails if the client has closed it
	}
	running.Wait()
	return peak
}
