//go:build review3

package main

import (
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

// server is a backend server (a searcher).
type server struct {
	s                     *stand
	id, service, zone, ip string
	work                  time.Duration
	slots                 chan struct{}
	mu                    sync.Mutex
	born                  int64
	clockAhead            time.Duration // of the clock of its machine
	seq                   int
	state                 string
	coldUntil, countsFrom time.Time
	beatAddress           string
	home                  string // the address that it tries first, if any
	listener              net.Listener
	http                  *http.Server
	stopBeats             chan struct{}
	arrivals              []arrival
	onRequest             func(w http.ResponseWriter, r *http.Request) bool // true if it has answered
	count                 int
}

// arrival is a request that the server has run.
type arrival struct {
	at   time.Duration
	id   string
	path string
	cold bool
}

func (s *stand) newServer(n int, id, service, zone string, work time.Duration) *server {
	return &server{s: s, id: id, service: service, zone: zone, ip: fmt.Sprintf("%s.9.%d", s.prefix, n), work: work,
		slots: make(chan struct{}, 2), state: "ready"}
}

func (v *server) address() string { return fmt.Sprintf("%s:%d", v.ip, portServer) }

// begin registers the server and then serves. cold is how long it is cold.
func (v *server) begin(cold time.Duration) {
	v.mu.Lock()
	v.born, v.seq, v.state = time.Now().Add(v.clockAhead).UnixMilli(), 0, "ready"
	v.coldUntil = time.Now().Add(cold)
	v.stopBeats = make(chan struct{})
	v.mu.Unlock()
	l, err := net.Listen("tcp", v.address())
	if err != nil {
		v.s.fail("%v", err)
	}
	v.listener = l
	v.http = &http.Server{Handler: v, IdleTimeout: 20 * time.Second}
	go func() { _ = v.http.Serve(l) }()
	go v.beats(v.stopBeats)
}

func (v *server) beats(stop chan struct{}) {
	for {
		v.beat()
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// beat sends a heartbeat until it is acknowledged, and reports whether it was.
func (v *server) beat() bool { return v.say("heartbeat", 6) }

func (v *server) leave() bool { return v.say("leave", 6) }

func (v *server) say(action string, attempts int) bool {
	v.mu.Lock()
	v.seq++
	cold := max(time.Until(v.coldUntil).Milliseconds(), 0)
	body, _ := json.Marshal(map[string]any{"service": v.service, "addr": v.address(), "zone": v.zone, "version": "v1",
		"slots": cap(v.slots), "state": v.state, "cold_left_ms": cold, "seq": v.seq, "born": v.born})
	state, address := v.state, v.beatAddress
	v.mu.Unlock()
	addresses := v.s.control()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if v.home != "" {
		address = v.home
	}
	if address != "" {
		addresses = append([]string{address}, addresses...)
	}
	for i := range attempts {
		a := addresses[i%len(addresses)]
		status, answer := post(a, "/v1/instances/"+v.id+"/"+action, body)
		if status >= 200 && status < 300 && len(answer) <= 4096 {
			var reply struct {
				BeatAddr string `json:"beat_addr"`
			}
			_ = json.Unmarshal(answer, &reply)
			v.mu.Lock()
			if reply.BeatAddr != "" {
				v.beatAddress = reply.BeatAddr
			}
			v.mu.Unlock()
			if state != "ready" || action != "heartbeat" || cold > 0 {
				v.s.log("server %s: %s (%s, cold for %d ms) acknowledged by %s", v.id, action, state, cold, a)
			}
			return true
		}
		v.mu.Lock()
		v.beatAddress = ""
		v.mu.Unlock()
	}
	return false
}

// knownAfter is how long after the acknowledgement of a heartbeat what it says counts as
// known.
const knownAfter = 100 * time.Millisecond

// turnCold makes the server cold, and says so at once. What arrives until knownAfter after
// the acknowledgement is not counted.
func (v *server) turnCold(d time.Duration) {
	v.mu.Lock()
	v.coldUntil = time.Now().Add(d)
	v.countsFrom = v.coldUntil
	v.mu.Unlock()
	v.s.log("server %s turns cold for %v", v.id, d)
	go func() {
		if v.beat() {
			v.mu.Lock()
			v.countsFrom = time.Now().Add(knownAfter)
			v.mu.Unlock()
		}
	}()
}

// crash ends the server without a word.
func (v *server) crash() {
	v.s.log("server %s crashes", v.id)
	close(v.stopBeats)
	_ = v.http.Close()
}

// end ends the server after its connections are idle.
func (v *server) end() {
	close(v.stopBeats)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = v.http.Shutdown(ctx)
}

func (v *server) note(a arrival) {
	v.mu.Lock()
	now := time.Now()
	a.cold = now.Before(v.coldUntil) && now.After(v.countsFrom)
	v.arrivals = append(v.arrivals, a)
	v.mu.Unlock()
	v.s.log("server %s runs %s %s, cold %v", v.id, a.id, a.path, a.cold)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h["Date"] = nil
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", v.id)
		v.mu.Lock()
		h.Set("X-Cold-Ms", strconv.FormatInt(max(time.Until(v.coldUntil).Milliseconds(), 0), 10))
		v.mu.Unlock()
		w.WriteHeader(200)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != v.id {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(421)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if v.onRequest != nil && v.onRequest(w, r) {
		return
	}
	v.mu.Lock()
	v.count++
	stamp := fmt.Sprintf("%s.%d.%s", v.id, v.count, id)
	v.mu.Unlock()
	v.note(arrival{at: v.s.now(), id: id, path: r.URL.RequestURI()})
	select {
	case v.slots <- struct{}{}:
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		h.Set("X-Not-Run", "1")
		w.WriteHeader(503)
		return
	}
	time.Sleep(v.work)
	<-v.slots
	h.Set("X-Server-Stamp", stamp)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(v.slots), cap(v.slots)))
	h.Set("Content-Type", "text/plain")
	answer := fmt.Sprintf("%s ran %s %s %d bytes", v.id, r.Method, r.URL.RequestURI(), len(body))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(200)
	_, _ = io.WriteString(w, answer)
}
