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

// Behavior of the simulated backend servers.
const (
	heartbeatInterval = 400 * time.Millisecond
	slotCount         = 2
	queueCapacity     = 12
	recordSize        = 16 // bytes
	recordsPerPart    = 6
	// drainDeadline is the time after which a draining server must get no new
	// work.
	drainDeadline = 3 * time.Second
	// faultSettleTime is the time after a fault during which drainDeadline is
	// not enforced.
	faultSettleTime = 4 * time.Second
)

// backend is a simulated backend server behind a proxy.
type backend struct {
	h           *harness
	id          string
	service     string
	zone        string
	address     string // of the proxy
	startedAtMS int64
	proxy       *proxy
	server      *http.Server
	sequence    atomic.Int64
	running     chan struct{} // one element per executing request
	admitted    atomic.Int64  // executing and queued requests
	// lostResponses is the number of responses out of 256 that are dropped after
	// the request was executed.
	lostResponses atomic.Int64
	extraLatency  atomic.Int64 // per request, ns
	leaving       atomic.Bool  // answers say so
	pausing       atomic.Bool  // turns all requests away and asks for pauses
	mu            sync.Mutex
	drainAckedAt  time.Time
	hints         map[string]*hints // by the IP address of the VM
	// coldUntil is when the server is warm, coldSince when it became cold for the first
	// time, and arrivals are the times of the requests since then.
	coldUntil, coldSince time.Time
	arrivals             []time.Time
	stop                 chan struct{}
	heartbeatsStopped    atomic.Bool // no periodic heartbeats are sent
	closeOnce            sync.Once
}

func (h *harness) startBackend(service, zone string, n int) (*backend, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.9.%d:0", h.cluster.network, n%250+1))
	if err != nil {
		return nil, err
	}
	p, err := newProxy(fmt.Sprintf("%s.8.%d:0", h.cluster.network, n%250+1), l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{h: h, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: p.listener.Addr().String(),
		startedAtMS: time.Now().UnixMilli(), proxy: p, running: make(chan struct{}, slotCount), stop: make(chan struct{}), hints: map[string]*hints{}}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }() // returns when the server is closed
	go b.heartbeatLoop()
	return b, nil
}

// ServeHTTP responds like a searcher.
func (b *backend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	if want := r.Header.Get(platform.HeaderExpectInstance); want != "" && want != b.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		return
	}
	b.recordArrival()
	b.h.checkArrival(b, id)
	b.checkHints(id, r.URL.Path)
	b.sayLeaving(rw, id, r.URL.Path)
	if b.pausing.Load() {
		b.askForPause(rw, id, r.URL.Path)
		return
	}
	if b.admitted.Add(1) > queueCapacity+slotCount {
		b.admitted.Add(-1)
		b.shed(rw)
		return
	}
	defer b.admitted.Add(-1)
	select {
	case b.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	b.h.recordExecution(id, r.URL.Path, string(body))
	work := b.h.beginWork(b, id)
	select {
	case <-time.After(2*time.Millisecond + time.Duration(b.extraLatency.Load())):
	case <-r.Context().Done(): // the VM has closed the connection
	}
	b.h.endWork(work)
	<-b.running
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(b.id + id))
	if int64(hash.Sum32()%256) < b.lostResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	stamp, records := expectedPart(b.service, id)
	rw.Header().Set(platform.HeaderRequestID, id)
	rw.Header().Set(platform.HeaderServerStamp, stamp)
	rw.Header().Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", len(b.running), max(b.admitted.Load()-slotCount, 0), slotCount))
	_, _ = rw.Write(records) // fails if the caller has disconnected
}

func (b *backend) shed(rw http.ResponseWriter) {
	rw.Header().Set(platform.HeaderNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// expectedPart returns the stamp and the records with which a service answers a
// request. The checks compute the same values.
func expectedPart(service, id string) (string, []byte) {
	var records []byte
	for i := range recordsPerPart {
		hash := fnv.New128a()
		_, _ = fmt.Fprintf(hash, "%s/%s/%d", service, id, i)
		records = hash.Sum(records)
	}
	return service + "." + id, records
}

func (b *backend) heartbeatLoop() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
		if !b.heartbeatsStopped.Load() {
			b.sendHeartbeat(client, zinniatide.StateIn, n)
		}
	}
}

// sendHeartbeat sends one heartbeat to a control process, chosen round-robin by
// n, and reports whether it was acknowledged.
func (b *backend) sendHeartbeat(client *http.Client, state zinniatide.ServingState, n int) bool {
	e := zinniatide.Enrollment{
		Server: zinniatide.BackendServerID(b.id), StartedAt: zinniatide.Millis(b.startedAtMS), Sequence: uint64(b.sequence.Add(1)),
		Service: zinniatide.ServiceID(b.service), Address: b.address, Zone: zinniatide.ZoneID(b.zone), Slots: slotCount, State: state,
		ColdRemaining: zinniatide.Millis(b.coldLeft().Milliseconds()),
	}
	raw, err := platform.EncodeHeartbeat(e)
	if err != nil {
		return false
	}
	controls := b.h.cluster.controls()
	resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[n%len(controls)].ip, controlPort, platform.HeartbeatPath(e.Server)),
		"application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// drain announces a planned shutdown. It closes the server only faultSettleTime
// and 1 s after drainDeadline, so that checkArrival sees late requests.
func (b *backend) drain() {
	b.heartbeatsStopped.Store(true)
	client := &http.Client{Timeout: time.Second}
	for n := 0; n < 20; n++ {
		if b.sendHeartbeat(client, zinniatide.StateLeaving, n) {
			b.mu.Lock()
			b.drainAckedAt = time.Now()
			b.mu.Unlock()
			break
		}
	}
	time.AfterFunc(drainDeadline+faultSettleTime+time.Second, b.crash)
}

// crash closes the server without draining it.
func (b *backend) crash() {
	b.closeOnce.Do(func() {
		b.heartbeatsStopped.Store(true)
		close(b.stop)
		b.proxy.close()
		_ = b.server.Close()
	})
}

// drainAcknowledgedAt returns the zero time if no drain was acknowledged.
func (b *backend) drainAcknowledgedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drainAckedAt
}
