package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/platform"
)

// The deployment of a run with restarts: gathered routes over shards whose servers are
// in two zones, of which one shard in each zone is slow. The relay processes of each
// zone delegate the shards of the other one.
const (
	restartShards      = 8
	restartTopRecords  = 10
	restartMinCoverage = 0.7
	restartTimeout     = 5 * time.Second
	restartMaxAttempts = 2
	// slowShardWork is the work time of the slow shards, longer than the target latency.
	slowShardWork = 720 * time.Millisecond
	// requestsBefore and requestsAfter are sent to a process just before it is killed
	// or frozen and as soon as it is ready again.
	requestsBefore, requestsAfter = 4, 8
	requestGap                    = 5 * time.Millisecond
	// clientsThatLeave of clientsInCalm clients leave after clientPatience in the calm
	// time after the restarts.
	clientsInCalm, clientsThatLeave = 40, 20
	clientPatience                  = 60 * time.Millisecond
	// leftWorkTime is how long after a client has left servers may go on.
	leftWorkTime = 500 * time.Millisecond
	// calmTime is the time without faults before promises with a bound in time hold.
	calmTime = 4 * time.Second
	// coldTime and coldRate are those of a server that turns cold twice.
	coldTime = 3 * time.Second
	coldRate = 20
	// coldRateOvershoot and coldRateSlack bound what it may get in one second.
	coldRateOvershoot, coldRateSlack = 1.5, 5
)

// restartRoutes are the gathered routes and their shards.
var restartRoutes = map[string][]string{
	"/q/":    {"shard0", "shard1", "shard2", "shard3", "shard4", "shard5", "shard6", "shard7"},
	"/w/":    {"shard7", "shard3", "shard1", "shard0", "shard4"},
	coldPath: {"shard2", "shard4"},
}

// coldPath has no slow shards, and the shard of the server that turns cold.
const coldPath = "/c/"

// restarts plays relay processes that are killed or frozen with requests under way.
type restarts struct {
	h       *harness
	random  *rand.Rand
	clients sync.WaitGroup
	checked int // answers with status 200, guarded by h.mu
	kills   int
	freezes int
	// unjudged are the promises that were not judged, because the machine was stalled.
	unjudged []string
}

// RunRestarts starts the system, kills and freezes relay processes in series with
// requests under way just before and just after, lets clients leave, and turns a server
// cold again. It verifies every answer and what the servers have run.
func RunRestarts(cfg Config) (summary string, err error) {
	h, err := cfg.startSystem(nil)
	if err != nil {
		return "", err
	}
	defer func() { h.stopSystem(cfg.Dir == "" && err == nil) }()
	h.document = restartDocument
	r := &restarts{h: h, random: rand.New(rand.NewPCG(cfg.Seed, 2))} //nolint:gosec // reproducible for each seed
	if err := r.prepare(); err != nil {
		return "", err
	}
	for end := time.Now().Add(cfg.FaultDuration); time.Now().Before(end); {
		r.disturb()
	}
	r.clients.Wait()
	time.Sleep(calmTime)
	r.letClientsLeave()
	r.turnColdAgain()
	r.clients.Wait()
	h.checkPartRuns(restartMaxAttempts)
	if r.checked == 0 {
		return "", fmt.Errorf("seed %d: no request was served, logs in %s", cfg.Seed, h.dir)
	}
	summary = fmt.Sprintf("restarts seed %d: %d kills, %d freezes, requests %v, %d answers checked, violations %d, not judged: %v",
		cfg.Seed, r.kills, r.freezes, h.outcomes, r.checked, len(h.violations), r.unjudged)
	if len(h.violations) > 0 {
		return summary, fmt.Errorf("seed %d, logs in %s:\n%s", cfg.Seed, h.dir, strings.Join(h.violations, "\n"))
	}
	return summary, nil
}

// prepare starts the servers and waits until the configuration is in force.
func (r *restarts) prepare() error {
	for i := range restartShards {
		for range 3 {
			if err := r.h.addBackend(fmt.Sprintf("shard%d", i), zones[i%2]); err != nil {
				return err
			}
		}
	}
	for i, b := range r.h.backends {
		b.extraLatency.Store(int64(13 * time.Millisecond))
		if shard := i / 3; shard < 2 {
			b.extraLatency.Store(int64(slowShardWork))
		}
	}
	for first := time.Now(); r.h.putConfig(1) != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		if time.Since(first) > startTimeout {
			return fmt.Errorf("no control process accepts the configuration within %v", startTimeout)
		}
	}
	time.Sleep(3 * time.Second) // for the first heartbeats
	return nil
}

// restartDocument returns the configuration of a run with restarts.
func restartDocument(version int) []byte {
	r := &zinniatide.Routing{Limits: zinniatide.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeout: 3000, IdleTimeout: 10_000}}
	for i := range restartShards {
		r.Services = append(r.Services, zinniatide.RelayService{Service: zinniatide.ServiceID(fmt.Sprintf("shard%d", i)), HealthPath: "/healthz",
			MaxConnections: 40, ColdStart: zinniatide.Millis(coldTime.Milliseconds()), ColdRate: coldRate})
	}
	for _, prefix := range slices.Sorted(maps.Keys(restartRoutes)) {
		route := zinniatide.Route{ID: zinniatide.RouteID("gather-" + strings.Trim(prefix, "/")), Host: soakHost, PathPrefix: prefix, Idempotent: true,
			Timeout: zinniatide.Millis(restartTimeout.Milliseconds()), TargetLatency: 500, MaxAttempts: restartMaxAttempts, TopRecords: restartTopRecords,
			MinCoverage: restartMinCoverage}
		for _, shard := range restartRoutes[prefix] {
			route.Shards = append(route.Shards, zinniatide.ServiceID(shard))
		}
		r.Routes = append(r.Routes, route)
	}
	raw, err := platform.EncodeRouting(zinniatide.TicketNumber(version), r)
	if err != nil {
		panic(err) // the configuration is constant except for its version
	}
	return raw
}

// disturb kills or freezes a relay process, with requests just before and just after.
func (r *restarts) disturb() {
	relays := r.h.cluster.relays()
	p := relays[r.random.IntN(len(relays))]
	for range requestsBefore {
		r.send(p, r.anyPath(), 0)
		time.Sleep(requestGap)
	}
	time.Sleep(time.Duration(20+r.random.IntN(300)) * time.Millisecond)
	if r.random.IntN(4) == 0 {
		r.freezes++
		p.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+r.random.IntN(1500)) * time.Millisecond)
		p.signal(syscall.SIGCONT)
	} else {
		r.kills++
		p.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
	}
	p.waitUntilReady(startTimeout)
	for range requestsAfter {
		r.send(p, r.anyPath(), 0)
		time.Sleep(requestGap)
	}
	time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
}

// anyPath returns the path of a random route.
func (r *restarts) anyPath() string {
	prefixes := slices.Sorted(maps.Keys(restartRoutes))
	return prefixes[r.random.IntN(len(prefixes))]
}

// waitUntilReady waits until the process is ready for callers.
func (p *process) waitUntilReady(timeout time.Duration) {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, readyPort, platform.PathReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

// send sends a request to a relay process in the background and checks the answer. The
// client leaves after patience unless that is 0.
func (r *restarts) send(p *process, prefix string, patience time.Duration) {
	h := r.h
	h.mu.Lock()
	h.nextID++
	id := fmt.Sprintf("r%d", h.nextID)
	h.sent[id] = prefix + id
	h.mu.Unlock()
	r.clients.Add(1)
	go func() {
		defer r.clients.Done()
		ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
		defer cancel()
		if patience > 0 {
			time.AfterFunc(patience, cancel)
		}
		status := r.ask(ctx, p, prefix, id)
		if status == 0 && patience > 0 {
			h.mu.Lock()
			h.leftAt[id] = time.Now()
			h.mu.Unlock()
		}
	}()
}

// ask sends a request and checks the answer. It returns the status, or 0 without an
// answer.
func (r *restarts) ask(ctx context.Context, p *process, prefix, id string) int {
	h := r.h
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s%s", p.ip, callerPort, prefix, id), nil)
	if err != nil {
		return 0
	}
	req.Host = soakHost
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(restartTimeout.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		h.countOutcome("no answer")
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.countOutcome("cut")
		return 0
	}
	h.countOutcome(fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == http.StatusOK {
		h.checkParts(id, resp, body, gatheredRoute{restartRoutes[prefix], restartTopRecords, restartMinCoverage})
		h.mu.Lock()
		r.checked++
		h.mu.Unlock()
	}
	return resp.StatusCode
}

// letClientsLeave sends requests without faults. Some of the clients leave, and no more
// than a few servers may be at work for them leftWorkTime later.
func (r *restarts) letClientsLeave() {
	meter := startStallMeter()
	for i := range clientsInCalm {
		patience := time.Duration(0)
		if i < clientsThatLeave {
			patience = clientPatience
		}
		r.send(r.h.cluster.relays()[i%len(r.h.cluster.relays())], r.anyPath(), patience)
		time.Sleep(50 * time.Millisecond)
	}
	r.clients.Wait()
	time.Sleep(leftWorkTime + slowShardWork)
	if delay, stalled := meter.stalled(); stalled {
		r.unjudged = append(r.unjudged, fmt.Sprintf("GONE (stalled for %v)", delay.Round(time.Millisecond)))
		return
	}
	r.h.checkLeftWork()
}

// turnColdAgain starts a server that is cold and lets it become cold again before it
// is warm.
func (r *restarts) turnColdAgain() {
	if err := r.h.addBackend("shard2", zones[0]); err != nil {
		r.h.violate("COLD: failed to start a server: %v", err)
		return
	}
	r.h.mu.Lock()
	b := r.h.backends[len(r.h.backends)-1]
	r.h.mu.Unlock()
	meter := startStallMeter()
	start := time.Now()
	b.setColdUntil(start.Add(coldTime))
	again := start.Add(coldTime * 6 / 10)
	for time.Since(start) < 2*coldTime {
		if time.Now().After(again) {
			b.setColdUntil(again.Add(coldTime))
			again = start.Add(time.Hour)
		}
		r.send(r.h.cluster.relays()[0], coldPath, 0)
		r.send(r.h.cluster.relays()[3%len(r.h.cluster.relays())], coldPath, 0)
		time.Sleep(20 * time.Millisecond)
	}
	if delay, stalled := meter.stalled(); stalled {
		r.unjudged = append(r.unjudged, fmt.Sprintf("FAILBACK (stalled for %v)", delay.Round(time.Millisecond)))
		return
	}
	b.checkColdArrivals()
}
