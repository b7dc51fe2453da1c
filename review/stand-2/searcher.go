//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a searcher began to work on.
type run struct {
	id, searcher string
	arrived      time.Time // read from the connection
	began        time.Time // got a slot
	ended        time.Time
	completed    bool // worked to the end, not dropped
}

// searcher is a sound backend server: it answers for its own id only, runs as many
// requests at once as it has slots, queues the others, and drops a request when its
// connection closes or its deadline passes.
type searcher struct {
	id, service, zone string
	slots             int
	cluster           *cluster
	listener          net.Listener
	server            *http.Server
	stop              chan struct{}
	work              atomic.Int64 // nanoseconds of work for a request
	free              chan struct{}
	coldUntil         atomic.Int64 // Unix milliseconds
	waiting, running  atomic.Int64

	mu       sync.Mutex
	runs     []*run
	arrivals []arrival
}

// arrival is a request as it reached a searcher.
type arrival struct {
	id       string
	at       time.Time
	deadline string
}

func (c *cluster) addSearcher(service, zone string, slots int, work time.Duration) (*searcher, error) {
	return c.addColdSearcher(service, zone, slots, work, 0)
}

// addColdSearcher starts a searcher that is cold for a while.
func (c *cluster) addColdSearcher(service, zone string, slots int, work, cold time.Duration) (*searcher, error) {
	s := &searcher{id: fmt.Sprintf("i-%s-%d", service, len(c.searchers)+1), service: service, zone: zone, slots: slots, cluster: c,
		stop: make(chan struct{}), free: make(chan struct{}, slots)}
	s.work.Store(int64(work))
	if cold > 0 {
		s.coldUntil.Store(time.Now().Add(cold).UnixMilli())
	}
	for range slots {
		s.free <- struct{}{}
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.net, 100+len(c.searchers)))
	if err != nil {
		return nil, err
	}
	s.listener = l
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 60 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	c.searchers = append(c.searchers, s)
	go s.beat()
	return s, nil
}

func (s *searcher) close() {
	close(s.stop)
	_ = s.server.Close()
}

// beat sends heartbeats to the control address of its zone, or to the next one after a
// failure.
func (s *searcher) beat() {
	born := time.Now().UnixMilli()
	cores := s.cluster.ofClass("core")
	next := slices.IndexFunc(cores, func(m *machine) bool { return m.zone == s.zone })
	next = max(next, 0)
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{"service": s.service, "addr": s.listener.Addr().String(), "zone": s.zone, "version": "v1",
			"slots": s.slots, "state": "ready", "cold_left_ms": s.coldLeft(), "seq": seq, "born": born})
		status, _ := call("POST", fmt.Sprintf("%s:%d", cores[next%len(cores)].ip, portControl), "/v1/instances/"+s.id+"/heartbeat", body, time.Second)
		wait := 1200 * time.Millisecond
		if s.coldLeft() > 0 {
			s.cluster.rec.logf("%s says that it is cold for %d ms, answer %d", s.id, s.coldLeft(), status)
		}
		if status != 200 {
			next++
			wait = 200 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// coldLeft returns for how many milliseconds the searcher stays cold.
func (s *searcher) coldLeft() int64 { return max(s.coldUntil.Load()-time.Now().UnixMilli(), 0) }

// recordsOf returns the records of a service for a request.
func recordsOf(id, service string, n int) [][]byte {
	out := make([][]byte, n)
	for i := range out {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", id, service, i)
		out[i] = h.Sum(nil)
	}
	return out
}

// partRecords is the number of records in a part.
const partRecords = 6

// stampOf is the signature of a searcher for a request.
func stampOf(searcher, id string) string { return searcher + "." + id }

func (s *searcher) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots)
}

func (s *searcher) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Server-Load", s.load())
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Cold-Ms", fmt.Sprint(s.coldLeft()))
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(421)
		return
	}
	this := &run{id: id, searcher: s.id, arrived: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, this.arrived, r.Header.Get("X-Deadline-Ms")})
	s.mu.Unlock()
	s.cluster.rec.logf("%s reaches %s, deadline %s ms", id, s.id, r.Header.Get("X-Deadline-Ms"))
	deadline := 5 * time.Second
	if d, err := time.ParseDuration(r.Header.Get("X-Deadline-Ms") + "ms"); err == nil {
		deadline = d
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	s.waiting.Add(1)
	select {
	case <-s.free:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		s.cluster.rec.logf("%s is dropped by %s before it ran", id, s.id)
		return
	case <-timer.C:
		s.waiting.Add(-1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(503)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		s.free <- struct{}{}
	}()
	this.began = time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, this)
	s.mu.Unlock()
	s.cluster.rec.logf("%s runs on %s", id, s.id)
	end := func(how string, completed bool) {
		s.mu.Lock()
		this.ended, this.completed = time.Now(), completed
		s.mu.Unlock()
		s.cluster.rec.logf("%s %s on %s", id, how, s.id)
	}
	select {
	case <-time.After(time.Duration(s.work.Load())):
		end("ends", true)
	case <-r.Context().Done():
		end("is dropped", false)
		return
	case <-timer.C:
		end("reaches its deadline", false)
		w.Header().Set("X-Server-Stamp", stampOf(s.id, id))
		w.WriteHeader(504)
		return
	}
	w.Header().Set("X-Server-Stamp", stampOf(s.id, id))
	w.Header().Set("X-Server-Load", s.load())
	var body []byte
	for _, record := range recordsOf(id, s.service, partRecords) {
		body = append(body, record...)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// serviceOf returns the service of a searcher id.
func serviceOf(searcher string) string {
	parts := strings.Split(searcher, "-")
	return strings.Join(parts[1:len(parts)-1], "-")
}
