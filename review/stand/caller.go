//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const host = "desk.example"

// lineTime returns the time of a log line, or the zero time.
func lineTime(line string) time.Time {
	for _, field := range strings.Fields(line) {
		field = strings.Trim(field, "\"{},")
		if _, value, ok := strings.Cut(field, "="); ok {
			field = value
		}
		if t, err := time.Parse(time.RFC3339Nano, field); err == nil {
			return t
		}
	}
	return time.Time{}
}

// put has the operator send a configuration until a node acknowledges it.
func (c *cluster) put(config map[string]any) time.Time {
	body, _ := json.Marshal(config)
	return c.order(fmt.Sprintf("configuration %v", config["version"]), "/v1/config/put", body, c.cores)
}

// order sends an order of the operator to the given nodes in turn, one second for
// each, until one acknowledges it.
func (c *cluster) order(name, path string, body []byte, nodes []*machine) time.Time {
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		m := nodes[i%len(nodes)]
		c.rec.log("operator sends %s to %s", name, m.name)
		r, err := httpClient.Post("http://"+m.addr(c.control)+path, "application/json", bytes.NewReader(body))
		if err != nil {
			c.rec.log("operator has no response of %s to %s: %v", m.name, name, err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			c.rec.say("%s acknowledges %s", m.name, name)
			return time.Now()
		}
		c.rec.log("%s answers %d to %s: %s", m.name, r.StatusCode, name, text)
		time.Sleep(200 * time.Millisecond)
	}
	failSetup("%s isn't acknowledged after 20 s", name)
	return time.Time{}
}

// plainRoute returns a route to one service.
func plainRoute(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 500, "priority": 2,
		"service": service, "max_attempts": 2,
	}
}

func service(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": maxConns, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0}
}

func limits(maxBody int) map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// resolve asks the directory of a front for addresses.
func (c *cluster) resolve(m *machine, zone string) ([]string, time.Duration, error) {
	r, err := httpClient.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=%s&zone=%s", m.addr(c.directory), host, region, zone))
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if r.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", r.StatusCode)
	}
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	if len(answer.Addrs) == 0 {
		return nil, 0, fmt.Errorf("no addresses")
	}
	return answer.Addrs, time.Duration(min(answer.TTL, 5) * float64(time.Second)), nil
}

// caller is a client. It keeps an answer of the directory for its ttl, or three
// times as long if it is patient.
type caller struct {
	cluster *cluster
	zone    string
	patient bool
	addrs   []string
	until   time.Time
	conn    net.Conn
	reader  *bufio.Reader
	to      string
	uses    int
	// headers are further header lines of each request.
	headers func() string
	// ethernet is set if the connections shall have the segments and the window of a
	// network link instead of those of the loopback device.
	ethernet bool
}

func likeEthernet(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
	})
}

// address returns the address for a new connection.
func (u *caller) address() string {
	if time.Now().After(u.until) {
		first := rand.IntN(len(u.cluster.fronts))
		for i := range u.cluster.fronts {
			addrs, ttl, err := u.cluster.resolve(u.cluster.fronts[(first+i)%len(u.cluster.fronts)], u.zone)
			if err != nil {
				continue
			}
			if u.patient {
				ttl *= 3
			}
			u.addrs, u.until = addrs, time.Now().Add(ttl)
			break
		}
	}
	if len(u.addrs) == 0 {
		return ""
	}
	return u.addrs[rand.IntN(len(u.addrs))]
}

// exchange is one attempt of a client.
type exchange struct {
	id       string
	to       string
	kept     bool // sent over a connection that had served a request
	sentAt   time.Time
	sent     bool // the whole request was written
	endedAt  time.Time
	status   int
	header   http.Header
	bodySize int
	complete bool // a whole answer arrived
	err      error
}

func (u *caller) closeConn() {
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

// connect opens a connection to an address unless one is open.
func (u *caller) connect(addr string) error {
	if u.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: time.Second}
	if u.ethernet {
		dialer.Control = likeEthernet
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return err
	}
	u.conn, u.reader, u.to, u.uses = conn, bufio.NewReaderSize(conn, 16<<10), addr, 0
	return nil
}

// do sends a request over the open connection and reads the answer. read reads the
// body; a nil read reads it at once.
func (u *caller) do(method, path string, deadlineMS int, body []byte, read func(io.Reader) (int64, error)) *exchange {
	x := &exchange{id: fmt.Sprintf("%016x", rand.Uint64()), to: u.to, kept: u.uses > 0, sentAt: time.Now()}
	defer func() { x.endedAt = time.Now() }()
	u.uses++
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, x.id, deadlineMS)
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if u.headers != nil {
		b.WriteString(u.headers())
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = u.conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + 10*time.Second))
	if _, x.err = u.conn.Write(b.Bytes()); x.err != nil {
		u.closeConn()
		return x
	}
	x.sent = true
	request := &http.Request{Method: method}
	r, err := http.ReadResponse(u.reader, request)
	if err != nil {
		x.err = err
		u.closeConn()
		return x
	}
	x.status, x.header = r.StatusCode, r.Header
	if read == nil {
		read = func(from io.Reader) (int64, error) { return io.Copy(io.Discard, from) }
	}
	n, err := read(r.Body)
	x.bodySize = int(n)
	if err != nil {
		x.err = err
		u.closeConn()
		return x
	}
	x.complete = true
	if r.Close {
		u.closeConn()
	}
	return x
}
