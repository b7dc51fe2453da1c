//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client is a client with one kept connection to one front.
type client struct {
	s       *stand
	front   string
	conn    net.Conn
	reader  *bufio.Reader
	lastUse time.Time
}

// result is how an attempt ended. Status 0 is a connection that was closed.
type result struct {
	id     string
	status int
	stamp  string
	body   string
	header http.Header
	took   time.Duration
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt and waits for its end.
func (c *client) send(method, path, body string, wait time.Duration) result {
	return c.sendID(newID(), method, path, body, wait, wait)
}

// sendFor sends a GET with a deadline, but leaves after wait.
func (c *client) sendFor(id, path string, deadline, wait time.Duration) result {
	return c.sendID(id, "GET", path, "", deadline, wait)
}

func (c *client) sendID(id, method, path, body string, deadline, wait time.Duration) result {
	started := time.Now()
	r := result{id: id}
	finish := func(err error) result {
		r.err, r.took = err, time.Since(started)
		if err != nil {
			c.close()
		}
		return r
	}
	if c.conn != nil && time.Since(c.lastUse) > 11*time.Second {
		c.close()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return finish(err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(started.Add(wait))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	if body != "" || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return finish(err)
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return finish(err)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return finish(err)
	}
	r.status, r.header, r.stamp, r.body = answer.StatusCode, answer.Header, answer.Header.Get("X-Server-Stamp"), string(text)
	if answer.Close {
		c.close()
	}
	c.lastUse = time.Now()
	return finish(nil)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// traffic is a number of clients that send requests all the time.
type traffic struct {
	s    *stand
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	ends map[string]int
}

// startTraffic starts n clients on each front. Each sends a request every interval. A star in
// path stands for the id of the request.
func (s *stand) startTraffic(fronts []*node, n int, interval, wait time.Duration, method, path, body string) *traffic {
	t := &traffic{s: s, stop: make(chan struct{}), ends: map[string]int{}}
	for _, f := range fronts {
		for i := range n {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				c := &client{s: s, front: f.front()}
				defer c.close()
				next := time.Now().Add(interval * time.Duration(i) / time.Duration(n))
				for {
					select {
					case <-t.stop:
						return
					case <-time.After(time.Until(next)):
					}
					id := newID()
					r := c.sendID(id, method, strings.ReplaceAll(path, "*", id), body, wait, wait)
					t.mu.Lock()
					t.ends[fmt.Sprintf("%s %d", f.name, r.status)]++
					t.mu.Unlock()
					s.log("client of %s: %s %s %s answered %d after %d ms", f.name, r.id, method, path, r.status, r.took.Milliseconds())
					next = next.Add(interval)
					if now := time.Now(); next.Before(now) {
						next = now
					}
				}
			}()
		}
	}
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.wg.Wait()
	t.s.log("traffic ended: %v", t.ends)
}
