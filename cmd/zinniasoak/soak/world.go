package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// The index of the soak: shards with two servers each, and a plain service.
const (
	shardCount  = 6
	plainCount  = 3
	topRecords  = 8
	leastShare  = 0.6
	gatherPath  = "/q/"
	plainPath   = "/p/"
	oncePath    = "/once/"
	soakHost    = "soak.example"
	callTimeout = 3 * time.Second
)

// world is what the checks know.
type world struct {
	fleet *fleet

	mu         sync.Mutex
	random     *rand.Rand
	backends   []*backend
	next       int
	asked      map[string]string // path by request id
	runs       map[string]int
	notRun     map[string]bool // ids that were answered as not run
	violations []string
	outcomes   map[string]int
	// acked and sent are the highest numbers of the operator, ackedAt when.
	acked, sent int
	ackedAt     time.Time
	wipedAt     time.Time // last loss of a disk
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// noteArrival checks that a draining server gets no new work.
func (w *world) noteArrival(b *backend, id string) {
	drained := b.drainedAt()
	if drained.IsZero() || time.Since(drained) < drainBound {
		return
	}
	if since := time.Since(w.fleet.lastDisturbed()); since > inTouch {
		w.violate("DRAIN: request %s reached %s %v after its draining was acknowledged", id, b.id, time.Since(drained))
	}
}

// noteRun counts a run and checks that the request was asked for as it came.
func (w *world) noteRun(id, path, body string) {
	w.mu.Lock()
	want, known := w.asked[id]
	w.runs[id]++
	n := w.runs[id]
	refused := w.notRun[id]
	w.mu.Unlock()
	once := strings.HasPrefix(path, oncePath)
	switch {
	case !known || want != path+body:
		w.violate("UNASKED: a server ran %s %s with body %q, asked was %q", id, path, body, want)
	case once && n > 1:
		w.violate("TWICE: request %s ran %d times", id, n)
	case once && refused:
		w.violate("REFUSED: request %s ran after it was answered as not run", id)
	}
}

// call asks for one request over a caller's connection and checks the answer.
func (w *world) call(client *http.Client, address string) bool {
	w.mu.Lock()
	w.next++
	id := fmt.Sprintf("r%d", w.next)
	kind := w.random.IntN(4)
	w.mu.Unlock()
	method, path, body := http.MethodGet, gatherPath+id, ""
	switch kind {
	case 2:
		path = plainPath + id
	case 3:
		method, path, body = http.MethodPost, oncePath+id, "order "+id
	}
	w.mu.Lock()
	w.asked[id] = path + body
	w.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = soakHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		w.count("no answer")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		w.count("cut")
		return false
	}
	w.count(fmt.Sprint(resp.StatusCode))
	w.check(id, path, kind, resp, got)
	return resp.StatusCode == http.StatusOK
}

func (w *world) count(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
}

func (w *world) check(id, path string, kind int, resp *http.Response, body []byte) {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		w.mu.Lock()
		w.notRun[id] = true
		ran := w.runs[id]
		w.mu.Unlock()
		if kind == 3 && ran > 0 {
			w.violate("REFUSED: request %s was answered %d and has run", id, resp.StatusCode)
		}
	case resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest:
		w.violate("DENIED: request %s %s was answered %d", id, path, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case kind <= 1:
		w.checkGathered(id, resp, body)
	default:
		if stamp, want := partOf("plain", id); resp.Header.Get(platform.HeaderStamp) != stamp || !bytes.Equal(body, want) {
			w.violate("MIXED: request %s got stamp %q with %d bytes", id, resp.Header.Get(platform.HeaderStamp), len(body))
		}
	}
}

func (w *world) checkGathered(id string, resp *http.Response, body []byte) {
	var records [][]byte
	seen := map[string]bool{}
	stamps := strings.Split(resp.Header.Get(platform.HeaderParts), ",")
	for _, stamp := range stamps {
		service, of, ok := strings.Cut(strings.TrimSpace(stamp), ".")
		if !ok || of != id || seen[service] || !strings.HasPrefix(service, "shard") {
			w.violate("MIXED: request %s got the part %q", id, stamp)
			return
		}
		seen[service] = true
		_, part := partOf(service, id)
		for ; len(part) > 0; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(records[:min(topRecords, len(records))], nil)
	if !bytes.Equal(body, want) {
		w.violate("MIXED: request %s got %d bytes that are not the greatest records of its %d parts", id, len(body), len(stamps))
	}
	if missing := fmt.Sprint(shardCount - len(stamps)); resp.Header.Get(platform.HeaderMissing) != missing {
		w.violate("MIXED: request %s states %s missing parts, want %s", id, resp.Header.Get(platform.HeaderMissing), missing)
	}
	if float64(len(stamps)) < leastShare*shardCount {
		w.violate("MIXED: request %s got %d parts of %d", id, len(stamps), shardCount)
	}
}

// caller uses one address until it fails, as the platform's clients do.
func (w *world) caller(zone string, stop <-chan struct{}) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var addresses []string
	var asked time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+w.intN(20)) * time.Millisecond):
		}
		if time.Since(asked) > time.Second || len(addresses) == 0 {
			if fresh := w.resolve(zone); len(fresh) > 0 {
				addresses, asked = fresh, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		i := w.intN(len(addresses))
		if !w.call(client, addresses[i]) {
			client.CloseIdleConnections()
		}
	}
}

func (w *world) resolve(zone string) []string {
	client := &http.Client{Timeout: time.Second}
	relays := w.fleet.relays()
	for range 3 {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", relays[w.intN(len(relays))].ip, directoryPort, platform.ResolvePath(soakHost, zinniatide.ZoneID(zone))))
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		if addresses, err := platform.DecodeResolved(raw); err == nil && len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// document is the operator's configuration.
func document(version int) []byte {
	r := &zinniatide.Routing{
		Services: []zinniatide.RelayService{{Service: "plain", HealthPath: "/healthz", MaxConnections: 40}},
		Limits:   zinniatide.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeout: 3000, IdleTimeout: 10_000},
	}
	var shards []zinniatide.ServiceID
	for i := range shardCount {
		name := zinniatide.ServiceID(fmt.Sprintf("shard%d", i))
		shards = append(shards, name)
		r.Services = append(r.Services, zinniatide.RelayService{Service: name, HealthPath: "/healthz", MaxConnections: 40})
	}
	add := func(id zinniatide.RouteID, prefix string, idempotent bool) *zinniatide.Route {
		r.Routes = append(r.Routes, zinniatide.Route{ID: id, Host: soakHost, PathPrefix: prefix, Idempotent: idempotent, Timeout: 1500,
			TargetLatency: 200, MaxAttempts: 2, Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}})
		return &r.Routes[len(r.Routes)-1]
	}
	gather := add("gather", gatherPath, true)
	gather.Targets, gather.Shards, gather.TopRecords, gather.MinCoverage = nil, shards, topRecords, leastShare
	add("plain", plainPath, true)
	add("once", oncePath, false)
	add(zinniatide.RouteID(fmt.Sprint("idle-", version)), fmt.Sprintf("/idle%d/", version), true)
	raw, err := platform.EncodeRouting(zinniatide.TicketNumber(version), r)
	if err != nil {
		panic(err) // a fixed table
	}
	return raw
}

// put files a configuration with any control process, once.
func (w *world) put(version int) int {
	client := &http.Client{Timeout: 1200 * time.Millisecond}
	controls := w.fleet.controls()
	resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[w.intN(len(controls))].ip, controlPort, platform.PathConfigPut),
		"application/json", bytes.NewReader(document(version)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// operate files higher and higher configurations, and resends each without a
// clear answer.
func (w *world) operate(stop <-chan struct{}) {
	for version := 1; ; version += 1 + w.intN(3) {
		w.mu.Lock()
		w.sent = version
		w.mu.Unlock()
		for {
			status := w.put(version)
			if status == http.StatusOK {
				w.mu.Lock()
				w.acked, w.ackedAt = version, time.Now()
				w.mu.Unlock()
				break
			}
			if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
				w.violate("CONFIG: valid version %d was answered %d", version, status)
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		w.checkConfig()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+w.intN(800)) * time.Millisecond):
		}
	}
}

// checkConfig reads the configuration back. A read never shows less than what
// was acknowledged before it was sent.
func (w *world) checkConfig() bool {
	w.mu.Lock()
	acked, sent := w.acked, w.sent
	w.mu.Unlock()
	client := &http.Client{Timeout: 1200 * time.Millisecond}
	controls := w.fleet.controls()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", controls[w.intN(len(controls))].ip, controlPort, platform.PathConfigGet))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	number, err := platform.DecodeNumber(raw)
	if err != nil || int(number) < acked || int(number) > sent {
		w.violate("CONFIG: read version %d, error %v, acknowledged is %d, sent is %d", number, err, acked, sent)
	}
	return true
}

// waitListening waits until all processes accept connections.
func (f *fleet) waitListening(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, p := range f.all {
		port := readyPort
		if p.control {
			port = controlPort
		}
		for {
			c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, port), 200*time.Millisecond)
			if err == nil {
				_ = c.Close()
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not listen: %w", p.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
