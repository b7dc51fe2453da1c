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

// Services, routes and limits of the soak test: an index of shards with two
// backend servers each, and an unsharded service.
const (
	shardCount        = 6
	plainServerCount  = 3
	topRecords        = 8
	minCoverage       = 0.6 // of the shards
	gatherPath        = "/q/"
	plainPath         = "/p/"
	nonIdempotentPath = "/once/"
	soakHost          = "soak.example"
	callTimeout       = 3 * time.Second
	maxAttempts       = 2 // of each part
)

// harness generates the load and holds what the checks compare.
type harness struct {
	cluster *cluster
	dir     string       // of settings, data and logs
	claim   net.Listener // of the loopback addresses

	mu          sync.Mutex
	random      *rand.Rand
	backends    []*backend
	nextID      int
	sent        map[string]string // path and body by request id
	origins     map[string]origin // by request id
	executions  map[string]int    // by request id
	notExecuted map[string]bool   // request ids that were answered as not executed
	violations  []string
	outcomes    map[string]int
	// ackedVersion and sentVersion are the highest configuration versions that
	// were acknowledged and sent.
	ackedVersion, sentVersion int
	ackedAt                   time.Time // of ackedVersion
	lastDiskLoss              time.Time
	// works is what servers did, and leftAt when clients left without an answer.
	works  []*work
	leftAt map[string]time.Time
	// leavingAnswers are the servers that said in an answer to a request that they are
	// leaving.
	leavingAnswers map[string][]*backend
	// document returns the configuration of a version.
	document func(version int) []byte
}

func newHarness(c *cluster, random *rand.Rand) *harness {
	return &harness{
		cluster: c, random: random, sent: map[string]string{}, origins: map[string]origin{}, executions: map[string]int{},
		notExecuted: map[string]bool{}, outcomes: map[string]int{}, leftAt: map[string]time.Time{}, leavingAnswers: map[string][]*backend{}, document: configDocument,
	}
}

// violate records a violated guarantee. The text starts with its name:
//   - DRAIN: a draining server, or one that says that it is leaving, gets no new
//     work.
//   - BUDGET: a server that asks for a pause gets one, and no part runs on more servers
//     than its route allows.
//   - GONE: servers do not go on for clients that have left.
//   - FAILBACK: a cold server gets no more than it bears.
//   - UNASKED: only sent requests run.
//   - TWICE: a non-idempotent request runs at most once.
//   - REFUSED: a request that was answered as not executed does not run.
//   - DENIED: valid requests are not rejected.
//   - MIXED: a response has exactly the parts it claims, and enough of them.
//   - CONFIG: valid configurations are accepted, and acknowledged ones are kept.
//   - REPAIR: the successor of a lost control process becomes a voter in time.
//   - RECOVER: requests succeed again after the faults.
//   - EXIT: no process ends by itself.
//
// Only the first 20 are kept.
func (h *harness) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) < 20 {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

func (h *harness) randomIntN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// checkArrival verifies that a draining server gets no new work.
func (h *harness) checkArrival(b *backend, id string) {
	drainAckedAt := b.drainAcknowledgedAt()
	if drainAckedAt.IsZero() || time.Since(drainAckedAt) < drainDeadline {
		return
	}
	if since := time.Since(h.cluster.lastFault()); since > faultSettleTime {
		h.violate("DRAIN: request %s reached %s %v after its drain was acknowledged", id, b.id, time.Since(drainAckedAt))
	}
}

// recordExecution counts an execution and verifies that the request arrived as
// it was sent and may be executed.
func (h *harness) recordExecution(id, path, body string) {
	h.mu.Lock()
	want, known := h.sent[id]
	h.executions[id]++
	n := h.executions[id]
	notExecuted := h.notExecuted[id]
	h.mu.Unlock()
	nonIdempotent := strings.HasPrefix(path, nonIdempotentPath)
	switch {
	case !known || want != path+body:
		h.violate("UNASKED: a backend server executed %s %s with body %q, but the request sent was %q", id, path, body, want)
	case nonIdempotent && n > 1:
		h.violate("TWICE: non-idempotent request %s was executed %d times", id, n)
	case nonIdempotent && notExecuted:
		h.violate("REFUSED: request %s was executed after it was answered as not executed", id)
	}
}

// requestKind is the kind of a request. Two of the four values are gather
// requests, so that these are half of the load.
type requestKind int

const (
	firstGatherRequest requestKind = iota
	lastGatherRequest
	plainRequest
	nonIdempotentRequest
	requestKindCount
)

// call sends one request to a relay, verifies the response, and reports whether
// its status is 200.
func (h *harness) call(client *http.Client, address string) bool {
	h.mu.Lock()
	h.nextID++
	id := fmt.Sprintf("r%d", h.nextID)
	kind := requestKind(h.random.IntN(int(requestKindCount)))
	h.mu.Unlock()
	method, path, body := http.MethodGet, gatherPath+id, ""
	switch kind {
	case plainRequest:
		path = plainPath + id
	case nonIdempotentRequest:
		method, path, body = http.MethodPost, nonIdempotentPath+id, "order "+id
	}
	h.mu.Lock()
	h.sent[id] = path + body
	h.origins[id] = origin{ip: ipOf(address), sentAt: time.Now()}
	h.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = soakHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		h.countOutcome("no answer")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		h.countOutcome("cut")
		return false
	}
	h.countOutcome(fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == http.StatusOK {
		h.recordPassedOn(id)
	}
	h.checkResponse(id, path, kind, resp, got)
	return resp.StatusCode == http.StatusOK
}

func (h *harness) countOutcome(outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[outcome]++
}

func (h *harness) checkResponse(id, path string, kind requestKind, resp *http.Response, body []byte) {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		h.mu.Lock()
		h.notExecuted[id] = true
		executions := h.executions[id]
		h.mu.Unlock()
		if kind == nonIdempotentRequest && executions > 0 {
			h.violate("REFUSED: request %s was answered with status %d although it was executed", id, resp.StatusCode)
		}
	case resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest:
		h.violate("DENIED: valid request %s for %s was answered with status %d", id, path, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case kind <= lastGatherRequest:
		h.checkParts(id, resp, body, gatheredRoute{soakShards(), topRecords, minCoverage})
	default:
		if stamp, want := expectedPart("plain", id); resp.Header.Get(platform.HeaderServerStamp) != stamp || !bytes.Equal(body, want) {
			h.violate("MIXED: response to request %s has the wrong stamp or body: stamp %q, %d bytes", id, resp.Header.Get(platform.HeaderServerStamp), len(body))
		}
	}
}

// gatheredRoute is what the check of a gathered response must know of its route.
type gatheredRoute struct {
	shards      []string
	topRecords  int
	minCoverage float64 // of the shards
}

func soakShards() []string {
	var shards []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("shard%d", i))
	}
	return shards
}

// checkParts verifies a response that is merged from the parts of several shards.
func (h *harness) checkParts(id string, resp *http.Response, body []byte, route gatheredRoute) {
	var records [][]byte
	seen := map[string]bool{}
	stamps := strings.Split(resp.Header.Get(platform.HeaderPartStamps), ",")
	for _, stamp := range stamps {
		service, requestID, ok := strings.Cut(strings.TrimSpace(stamp), ".")
		if !ok || requestID != id || seen[service] || !slices.Contains(route.shards, service) {
			h.violate("MIXED: response to request %s has an invalid part stamp %q", id, stamp)
			return
		}
		seen[service] = true
		_, part := expectedPart(service, id)
		for ; len(part) > 0; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(records[:min(route.topRecords, len(records))], nil)
	if !bytes.Equal(body, want) {
		h.violate("MIXED: response to request %s has %d bytes that are not the top records of its %d parts", id, len(body), len(stamps))
	}
	if missing := fmt.Sprint(len(route.shards) - len(stamps)); resp.Header.Get(platform.HeaderMissingParts) != missing {
		h.violate("MIXED: response to request %s reports %s missing parts, want %s", id, resp.Header.Get(platform.HeaderMissingParts), missing)
	}
	if float64(len(stamps)) < route.minCoverage*float64(len(route.shards)) {
		h.violate("MIXED: response to request %s has only %d of %d parts", id, len(stamps), len(route.shards))
	}
}

// runCaller sends requests to the relays of its zone. Like the platform's
// clients, it reuses connections and closes them after a failed request.
func (h *harness) runCaller(zone string, stop <-chan struct{}) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var addresses []string
	var resolvedAt time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+h.randomIntN(20)) * time.Millisecond):
		}
		if time.Since(resolvedAt) > time.Second || len(addresses) == 0 {
			if fresh := h.resolve(zone); len(fresh) > 0 {
				addresses, resolvedAt = fresh, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		i := h.randomIntN(len(addresses))
		if !h.call(client, addresses[i]) {
			client.CloseIdleConnections()
		}
	}
}

// resolve returns the relay addresses for callers in a zone, or nil after three
// failed attempts.
func (h *harness) resolve(zone string) []string {
	client := &http.Client{Timeout: time.Second}
	relays := h.cluster.relays()
	for range 3 {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", relays[h.randomIntN(len(relays))].ip, directoryPort, platform.ResolvePath(soakHost, zinniatide.ZoneID(zone))))
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		if addresses, err := platform.DecodeResolveReply(raw); err == nil && len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// configDocument returns an encoded configuration. Versions differ only in the
// name and path of one unused route.
func configDocument(version int) []byte {
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
	addRoute := func(id zinniatide.RouteID, prefix string, idempotent bool) *zinniatide.Route {
		r.Routes = append(r.Routes, zinniatide.Route{ID: id, Host: soakHost, PathPrefix: prefix, Idempotent: idempotent, Timeout: 1500,
			TargetLatency: 200, MaxAttempts: maxAttempts, Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}})
		return &r.Routes[len(r.Routes)-1]
	}
	gather := addRoute("gather", gatherPath, true)
	gather.Targets, gather.Shards, gather.TopRecords, gather.MinCoverage = nil, shards, topRecords, minCoverage
	addRoute("plain", plainPath, true)
	addRoute("once", nonIdempotentPath, false)
	addRoute(zinniatide.RouteID(fmt.Sprint("idle-", version)), fmt.Sprintf("/idle%d/", version), true)
	raw, err := platform.EncodeRouting(zinniatide.TicketNumber(version), r)
	if err != nil {
		panic(err) // the configuration is constant except for its version
	}
	return raw
}

// putConfig sends a configuration once to a random control process. It returns
// the status code, or 0 without a response.
func (h *harness) putConfig(version int) int {
	client := &http.Client{Timeout: 1200 * time.Millisecond}
	controls := h.cluster.controls()
	resp, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[h.randomIntN(len(controls))].ip, controlPort, platform.PathConfigPut),
		"application/json", bytes.NewReader(h.document(version)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runOperator sends configurations with increasing versions and retries each
// until it is acknowledged.
func (h *harness) runOperator(stop <-chan struct{}) {
	for version := 1; ; version += 1 + h.randomIntN(3) {
		h.mu.Lock()
		h.sentVersion = version
		h.mu.Unlock()
		for {
			status := h.putConfig(version)
			if status == http.StatusOK {
				h.mu.Lock()
				h.ackedVersion, h.ackedAt = version, time.Now()
				h.mu.Unlock()
				break
			}
			if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
				h.violate("CONFIG: valid configuration version %d was answered with status %d", version, status)
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		h.checkConfig()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+h.randomIntN(800)) * time.Millisecond):
		}
	}
}

// checkConfig reads the configuration from a random control process and reports
// whether it got one. A read must not return a version older than the last one
// acknowledged before the read was sent, or newer than the last one sent.
func (h *harness) checkConfig() bool {
	controls := h.cluster.controls()
	return h.readConfig(controls[h.randomIntN(len(controls))])
}

// readConfig is like checkConfig for a given control process.
func (h *harness) readConfig(p *process) bool {
	h.mu.Lock()
	acked := h.ackedVersion
	h.mu.Unlock()
	client := &http.Client{Timeout: 1200 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, controlPort, platform.PathConfigGet))
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
	version, err := platform.DecodeTicketNumber(raw)
	h.mu.Lock()
	sent := h.sentVersion
	h.mu.Unlock()
	if err != nil || int(version) < acked || int(version) > sent {
		h.violate("CONFIG: read version %d (error: %v), last acknowledged version is %d, last sent version is %d", version, err, acked, sent)
	}
	return true
}

// waitUntilListening waits until all processes accept connections.
func (c *cluster) waitUntilListening(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range c.all() {
		port := readyPort
		if p.control {
			port = controlPort
		}
		for {
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, port), 200*time.Millisecond)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not accept connections: %w", p.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
