package soak

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// Behaviour of backend servers.
const (
	beatInterval = 400 * time.Millisecond
	slots        = 2
	queue        = 12
	recordSize   = 16
	partRecords  = 6
	// drainBound is the 3 s within which a draining server gets no new work,
	// and inTouch the time after a fault for which no bound on time holds.
	drainBound = 3 * time.Second
	inTouch    = 4 * time.Second
)

// backend is one process of a backend server behind a proxy.
type backend struct {
	w       *world
	id      string
	service string
	zone    string
	address string // of the proxy
	born    int64
	proxy   *proxy
	server  *http.Server
	seq     atomic.Int64
	busy    chan struct{}
	waiting atomic.Int64
	// loseAnswers is the share of answers in 256 that are lost after the run.
	loseAnswers atomic.Int64
	slow        atomic.Int64 // added work, ns
	mu          sync.Mutex
	drained     time.Time // when draining was acknowledged
	stop        chan struct{}
	gone        atomic.Bool // sends no more heartbeats of its own
	ended       sync.Once
}

func (w *world) startBackend(service, zone string, n int) (*backend, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.9.%d:0", w.fleet.network, n%250+1))
	if err != nil {
		return nil, err
	}
	p, err := newProxy(fmt.Sprintf("%s.8.%d:0", w.fleet.network, n%250+1), l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{w: w, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: p.listener.Addr().String(),
		born: time.Now().UnixMilli(), proxy: p, busy: make(chan struct{}, slots), stop: make(chan struct{})}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }() // ends with the server
	go b.beat()
	return b, nil
}

// ServeHTTP answers as a searcher does.
func (b *backend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	if want := r.Header.Get(platform.HeaderExpect); want != "" && want != b.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		return
	}
	b.w.noteArrival(b, id)
	if b.waiting.Add(1) > queue+slots {
		b.waiting.Add(-1)
		b.shed(rw)
		return
	}
	defer b.waiting.Add(-1)
	select {
	case b.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	b.w.noteRun(id, r.URL.Path, string(body))
	time.Sleep(2*time.Millisecond + time.Duration(b.slow.Load()))
	<-b.busy
	h := fnv.New32a()
	_, _ = h.Write([]byte(b.id + id))
	if int64(h.Sum32()%256) < b.loseAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	stamp, records := partOf(b.service, id)
	rw.Header().Set(platform.HeaderRequestID, id)
	rw.Header().Set(platform.HeaderStamp, stamp)
	rw.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", len(b.busy), max(b.waiting.Load()-slots, 0), slots))
	_, _ = rw.Write(records) // the caller may have left
}

func (b *backend) shed(rw http.ResponseWriter) {
	rw.Header().Set(platform.HeaderNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// partOf returns the stamp and the records of a service's answer to a request,
// which the checks know as well.
func partOf(service, id string) (string, []byte) {
	var records []byte
	for i := range partRecords {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", service, id, i)
		records = h.Sum(records)
	}
	return service + "." + id, records
}

func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(beatInterval):
		}
		if !b.gone.Load() {
			b.say(client, zinniatide.StateIn, n)
		}
	}
}

// say sends one heartbeat and reports whether it was acknowledged.
func (b *backend) say(client *http.Client, state zinniatide.ServingState, n int) bool {
	e := zinniatide.Enrollment{
		Server: zinniatide.BackendServerID(b.id), Born: zinniatide.Millis(b.born), Sequence: uint64(b.seq.Add(1)),
		Service: zinniatide.ServiceID(b.service), Address: b.address, Zone: zinniatide.ZoneID(b.zone), Slots: slots, State: state,
	}
	raw, err := platform.EncodeHeartbeat(e)
	if err != nil {
		return false
	}
	controls := b.w.fleet.controls()
	resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[n%len(controls)].ip, controlPort, platform.HeartbeatPath(e.Server)),
		"application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// drain has the server leave by plan.
func (b *backend) drain() {
	b.gone.Store(true)
	client := &http.Client{Timeout: time.Second}
	for n := 0; n < 20; n++ {
		if b.say(client, zinniatide.StateLeaving, n) {
			b.mu.Lock()
			b.drained = time.Now()
			b.mu.Unlock()
			break
		}
	}
	time.AfterFunc(drainBound+inTouch+time.Second, b.crash)
}

// crash ends the server at once.
func (b *backend) crash() {
	b.ended.Do(func() {
		b.gone.Store(true)
		close(b.stop)
		b.proxy.close()
		_ = b.server.Close()
	})
}

func (b *backend) drainedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drained
}
