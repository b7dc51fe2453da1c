//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a searcher.
type arrival struct {
	id       string
	searcher string
	zone     string
	at       time.Time
	began    time.Time // zero if the searcher did not begin to work on it
	ended    time.Time
	outcome  string // answered, full, other, expired, dropped
	draining bool   // the searcher had been acknowledged as draining
}

// searcher is a stand-in of a back end that follows PROTOCOL.md: it runs slots
// requests at a time, queues a few, says X-Not-Run where it did not run one, stops
// at X-Deadline-Ms and drops a request whose connection closes.
type searcher struct {
	cluster *cluster
	id      string
	service string
	zone    string
	addr    string
	slots   int
	queue   int
	work    func(r *http.Request) time.Duration
	body    func(r *http.Request) []byte
	born    int64

	server  *http.Server
	stop    chan struct{}
	stopped bool
	// crashes reports whether a request crashes the searcher. It may be nil.
	crashes func(r *http.Request) bool
	// crashedAt are the times of its crashes.
	crashedAt []time.Time

	mu       sync.Mutex
	seq      uint64
	state    string
	ackedAt  time.Time // first acknowledgement of draining
	running  int
	waiting  int
	free     chan struct{}
	arrivals []*arrival
}

func (c *cluster) newSearcher(service, zone string, slots, queue int, work time.Duration) *searcher {
	s := &searcher{
		cluster: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots, queue: queue,
		work: func(*http.Request) time.Duration { return work }, body: func(*http.Request) []byte { return []byte("answer of the searcher\n") },
		born: time.Now().UnixMilli(), state: "ready", free: make(chan struct{}, slots),
	}
	for range slots {
		s.free <- struct{}{}
	}
	s.addr = c.newIP() + ":0"
	if err := s.serve(); err != nil {
		failSetup("listen: %v", err)
	}
	c.searchers = append(c.searchers, s)
	return s
}

// serve starts one incarnation of the searcher.
func (s *searcher) serve() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	s.stop = make(chan struct{})
	s.stopped = false
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	go s.beats(s.stop)
	s.cluster.rec.log("searcher %s of %s in %s starts at %s", s.id, s.service, s.zone, s.addr)
	return nil
}

func (s *searcher) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
		_ = s.server.Close()
	}
}

// crash ends all connections at once. The searcher is back after downFor, with
// another id at the same address.
func (s *searcher) crash(downFor time.Duration) {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.crashedAt = append(s.crashedAt, time.Now())
	running, waiting := s.running, s.waiting
	s.mu.Unlock()
	s.cluster.rec.say("searcher %s of %s in %s crashes with %d requests running and %d waiting", s.id, s.service, s.zone, running, waiting)
	s.close()
	go func() {
		time.Sleep(downFor)
		s.mu.Lock()
		s.id = fmt.Sprintf("i-%08x", rand.Uint32())
		s.born, s.seq = time.Now().UnixMilli(), 0
		s.mu.Unlock()
		if err := s.serve(); err != nil {
			s.cluster.rec.say("searcher cannot start again: %v", err)
		}
	}()
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	a := &arrival{id: id, zone: s.zone, at: time.Now()}
	s.mu.Lock()
	a.searcher = s.id
	s.arrivals = append(s.arrivals, a)
	a.draining = !s.ackedAt.IsZero()
	s.mu.Unlock()
	notRun := func(status int, outcome string) {
		s.finish(a, outcome)
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Server-Load", s.load())
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != a.searcher {
		notRun(http.StatusMisdirectedRequest, "other")
		return
	}
	if id == "" {
		notRun(http.StatusBadRequest, "no id")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	s.mu.Lock()
	full := len(s.free) == 0 && s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		notRun(http.StatusServiceUnavailable, "full")
		return
	}
	select {
	case <-s.free:
	case <-ctx.Done():
		s.add(0, -1)
		if r.Context().Err() != nil {
			s.finish(a, "dropped in the queue")
			return
		}
		notRun(http.StatusServiceUnavailable, "expired in the queue")
		return
	}
	s.add(1, -1)
	s.mu.Lock()
	a.began = time.Now()
	s.mu.Unlock()
	s.cluster.rec.log("run    %s by %s in %s", id, s.id, s.zone)
	if s.crashes != nil && s.crashes(r) {
		time.Sleep(20 * time.Millisecond)
		s.finish(a, "crashed the searcher")
		s.add(-1, 0)
		s.free <- struct{}{}
		s.crash(3 * time.Second)
		return
	}
	select {
	case <-time.After(s.work(r)):
		s.finish(a, "answered")
		s.add(-1, 0)
		s.free <- struct{}{}
		body := s.body(r)
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", stamp())
		w.Header().Set("X-Server-Load", s.load())
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	case <-ctx.Done():
		s.add(-1, 0)
		s.free <- struct{}{}
		if r.Context().Err() != nil {
			s.finish(a, "dropped")
			s.cluster.rec.log("drop   %s by %s, its connection was closed", id, s.id)
			return
		}
		s.finish(a, "expired")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", stamp())
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func stamp() string {
	return fmt.Sprintf("%04x.%02x.%03x.600.0.%08x", rand.Uint32()&0xffff, rand.Uint32()&0xff, rand.Uint32()&0xfff, rand.Uint32())
}

func (s *searcher) finish(a *arrival, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.outcome, a.ended = outcome, time.Now()
}

func (s *searcher) add(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

func (s *searcher) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

// seen returns copies of the arrivals so far.
func (s *searcher) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = *a
	}
	return out
}

const beatInterval = 1200 * time.Millisecond

// beats sends heartbeats until the searcher is closed.
func (s *searcher) beats(stop chan struct{}) {
	for {
		s.beat()
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// beat sends one heartbeat: to a control machine and, without an acknowledgement,
// to the next ones.
func (s *searcher) beat() bool {
	first := rand.IntN(len(s.cluster.cores))
	for i := range s.cluster.cores {
		m := s.cluster.cores[(first+i)%len(s.cluster.cores)]
		s.mu.Lock()
		s.seq++
		state := s.state
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
			"cold_left_ms": 0, "seq": s.seq, "born": s.born,
		})
		s.mu.Unlock()
		r, err := httpClient.Post("http://"+m.addr(s.cluster.control)+"/v1/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode/100 != 2 {
			continue
		}
		s.mu.Lock()
		if state == "draining" && s.ackedAt.IsZero() {
			s.ackedAt = time.Now()
			s.cluster.rec.say("%s acknowledges that %s is draining", m.name, s.id)
		}
		s.mu.Unlock()
		return true
	}
	return false
}

// drain reports that the searcher is draining, until that is acknowledged.
func (s *searcher) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for !s.beat() {
		time.Sleep(100 * time.Millisecond)
	}
}
