package relayer

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/transporter"
)

// simulation runs a Relayer against simulated backend servers in virtual time.
type simulation struct {
	t            testing.TB
	lock         sync.Mutex
	clock        *clock.Clock
	random       *rand.Rand
	events       eventHeap
	eventCount   int
	relayer      *Relayer
	servers      map[zinniatide.BackendServerID]*simServer
	enrollments  []zinniatide.Enrollment
	config       *zinniatide.Configuration
	requestCount int
}

type event struct {
	at        zinniatide.Millis
	order     int
	run       func()
	cancelled bool
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// After implements timer.Timer.
func (sim *simulation) After(d zinniatide.Millis, f func()) func() {
	sim.eventCount++
	e := &event{at: sim.clock.Now() + max(d, 0), order: sim.eventCount, run: f}
	heap.Push(&sim.events, e)
	return func() { e.cancelled = true }
}

// run advances the time to until.
func (sim *simulation) run(until zinniatide.Millis) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(*event)
		sim.clock.Advance(e.at - sim.clock.Now())
		if !e.cancelled {
			e.run()
		}
	}
	sim.clock.Advance(until - sim.clock.Now())
}

// simServer is a simulated backend server with a number of slots, a bounded
// queue, random work times and injectable faults.
type simServer struct {
	sim   *simulation
	id    zinniatide.BackendServerID
	slots int
	queue int
	// drawWorkTime returns the service time of one request.
	drawWorkTime func() zinniatide.Millis
	// pausedUntil delays all work.
	pausedUntil zinniatide.Millis
	// fault returns the result and the status of a request; nil means success.
	fault       func() (transporter.Result, int)
	unreachable bool // connections fail
	// leaving is said in all answers. With a pause, all requests are turned away.
	leaving bool
	pause   zinniatide.Millis
	// change alters all answers, if it is set.
	change func(*transporter.Answer)
	// arrivedAt are the times of all arrivals.
	arrivedAt []zinniatide.Millis

	opened    int // calls of EnsureOpen
	recalls   int // calls of Recall
	running   int
	waiting   []*transporter.Exchange
	arrived   int
	runCounts map[string]int
}

func (s *simServer) Send(x *transporter.Exchange) {
	if s.unreachable {
		s.sim.After(1, func() { s.finish(x, transporter.Answer{Result: transporter.NotSent, QueueLength: -1}) })
		return
	}
	s.arrived++
	s.arrivedAt = append(s.arrivedAt, s.sim.clock.Now())
	x.MarkSent()
	if s.pause > 0 {
		s.sim.After(1, func() {
			s.finish(x, transporter.Answer{Result: transporter.NotRun, Status: 503, QueueLength: -1, Pause: s.pause, Leaving: s.leaving})
		})
		return
	}
	if s.running >= s.slots && len(s.waiting) >= s.queue {
		s.sim.After(1, func() {
			s.finish(x, transporter.Answer{Result: transporter.NotRun, Status: 503, QueueLength: len(s.waiting)})
		})
		return
	}
	if s.running >= s.slots {
		s.waiting = append(s.waiting, x)
		return
	}
	s.start(x)
}

func (s *simServer) start(x *transporter.Exchange) {
	now := s.sim.clock.Now()
	s.running++
	result, status := transporter.Answered, 200
	if s.fault != nil {
		result, status = s.fault()
	}
	if result.MayHaveRun() {
		s.runCounts[x.RequestID]++
	}
	done := max(now, s.pausedUntil) + s.drawWorkTime()
	if result == transporter.DeadlineExceeded {
		done = x.Deadline
	}
	s.sim.After(done-now, func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
		answer := transporter.Answer{Result: result, Status: status, QueueLength: len(s.waiting), Header: &fasthttp.ResponseHeader{},
			Dropped: result == transporter.ConnectionLost, Leaving: s.leaving}
		if result == transporter.Answered {
			answer.Stamp = fmt.Sprintf("%s.%s", s.id, x.RequestID)
			// The second half of a record is the shard, which makes records unique.
			var shard, slot int
			_, _ = fmt.Sscanf(string(s.id), "shard-%d", &shard) // plain servers have shard 0
			for slot = range 3 {
				answer.Body = binary.BigEndian.AppendUint64(answer.Body, uint64(s.hash(x.RequestID))+uint64(slot))
				answer.Body = binary.BigEndian.AppendUint64(answer.Body, uint64(shard))
			}
		}
		s.finish(x, answer)
	})
}

// hash derives the values of the records from the request id.
func (s *simServer) hash(id string) uint32 {
	h := uint32(2166136261)
	for _, c := range id {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

// hasDuplicateRecord reports whether a gathered answer contains a record twice.
func hasDuplicateRecord(body []byte) bool {
	seen := map[string]bool{}
	for ; len(body) >= 16; body = body[16:] {
		if seen[string(body[:16])] {
			return true
		}
		seen[string(body[:16])] = true
	}
	return false
}

func (s *simServer) finish(x *transporter.Exchange, a transporter.Answer) {
	s.sim.lock.Lock()
	defer s.sim.lock.Unlock()
	if s.change != nil {
		s.change(&a)
	}
	x.Finish(a)
}

func (s *simServer) SetLimit(int, zinniatide.Millis) {}
func (s *simServer) EnsureOpen(int)                  { s.opened++ }
func (s *simServer) Close()                          {}
func (s *simServer) Recall()                         { s.recalls++ }
func (s *simServer) OpenConnections() int {
	if s.unreachable {
		return 0
	}
	return 1
}

// newSimulation returns shards with one server in each of the zones a and b,
// and a plain service with four servers.
func newSimulation(t testing.TB, shards int) *simulation {
	t.Helper()
	sim := &simulation{t: t, clock: clock.NewManual(1000, 1_700_000_000_000), random: rand.New(rand.NewPCG(1, 2)), //nolint:gosec // fixed seed
		servers: map[zinniatide.BackendServerID]*simServer{}}
	routing := &zinniatide.Routing{}
	gather := zinniatide.Route{ID: "gather", Host: "h", PathPrefix: "/q/", Idempotent: true, Timeout: 1200, TargetLatency: 120,
		Priority: 1, MaxAttempts: 2, TopRecords: 5, MinCoverage: 0.75}
	for i := range shards {
		name := zinniatide.ServiceID(fmt.Sprintf("shard-%02d", i))
		gather.Shards = append(gather.Shards, name)
		routing.Services = append(routing.Services, zinniatide.RelayService{Service: name, MaxConnections: 25})
		for _, zone := range []zinniatide.ZoneID{"a", "b"} {
			sim.addServer(string(name)+string(zone), name, zone, 2)
		}
	}
	for i := range 4 {
		sim.addServer(fmt.Sprintf("plain-%d", i), "plain", "a", 3)
	}
	routing.Services = append(routing.Services, zinniatide.RelayService{Service: "plain", MaxConnections: 96})
	plain := zinniatide.Route{ID: "plain", Host: "h", PathPrefix: "/p/", Idempotent: true, Timeout: 5000, TargetLatency: 500,
		MaxAttempts: 2, Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}}
	nonIdempotent := plain
	nonIdempotent.ID, nonIdempotent.PathPrefix, nonIdempotent.Idempotent = "once", "/once/", false
	routing.Routes = []zinniatide.Route{gather, plain, nonIdempotent}
	sim.config = &zinniatide.Configuration{Routing: routing, RoutingNumber: 1, Members: map[zinniatide.VMID]zinniatide.Member{
		"self": {VM: "self", Zone: "a", Relay: true, State: zinniatide.StateIn},
	}}
	sim.relayer = New(Config{VM: "self", Process: 1, Zone: "a", Budget: retrybudget.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11},
		Dependencies{
			Lock: &sim.lock, Clock: sim.clock, Timer: sim, Random: sim.random,
			Names: HeaderNames{RequestID: "X-Request-Id", PartStamps: "X-Parts", MissingParts: "X-Missing"},
			NewPool: func(id zinniatide.BackendServerID, _ string, _ int) Pool {
				return sim.servers[id]
			},
		})
	sim.updateRelayer()
	return sim
}

func (sim *simulation) addServer(id string, service zinniatide.ServiceID, zone zinniatide.ZoneID, slots int) {
	s := &simServer{sim: sim, id: zinniatide.BackendServerID(id), slots: slots, queue: 12, runCounts: map[string]int{}}
	s.drawWorkTime = func() zinniatide.Millis { return 8 + zinniatide.Millis(sim.random.IntN(14)) }
	sim.servers[s.id] = s
	sim.enrollments = append(sim.enrollments, zinniatide.Enrollment{Server: s.id, StartedAt: 1, Sequence: 1, Service: service,
		Address: "10.0.0.1:" + id, Zone: zone, Slots: slots, State: zinniatide.StateIn})
}

func (sim *simulation) updateRelayer() { sim.relayer.Update(sim.config, sim.enrollments) }

// outcomeCounts counts how requests ended.
type outcomeCounts struct {
	sent, inTarget, complete, late, refused, failed int
	// duplicated counts answers that contain a record twice. The records of the
	// simulation are unique.
	duplicated int
	// quality is the mean over all requests of the squared coverage, counting only
	// answers within the target latency.
	quality float64
	// slowestRefusal is the longest time until a 503 status.
	slowestRefusal zinniatide.Millis
}

// runLoad sends requests for path at a given rate and returns how they ended.
func (sim *simulation) runLoad(path string, perSecond float64, duration, target zinniatide.Millis, shards int) *outcomeCounts {
	out := &outcomeCounts{}
	end := sim.clock.Now() + duration
	interval := 1000 / perSecond
	for at := float64(sim.clock.Now()); at < float64(end); at += interval * (0.5 + sim.random.Float64()) {
		sim.After(zinniatide.Millis(at)-sim.clock.Now(), func() { sim.sendRequest(path, target, shards, out) })
	}
	sim.run(end + 6000)
	if out.sent > 0 {
		out.quality /= float64(out.sent)
	}
	return out
}

func (sim *simulation) sendRequest(path string, target zinniatide.Millis, shards int, out *outcomeCounts) {
	sim.requestCount++
	out.sent++
	startedAt := sim.clock.Now()
	req := &Request{ID: fmt.Sprintf("r%d", sim.requestCount), Host: "h", Path: path, Head: []byte("GET " + path + " HTTP/1.1\r\n"), ArrivedAt: startedAt}
	sim.relayer.Serve(req, func(reply Reply) {
		took := sim.clock.Now() - startedAt
		if hasDuplicateRecord(reply.Body) {
			out.duplicated++
		}
		switch {
		case reply.Status == 503:
			out.refused++
			out.slowestRefusal = max(out.slowestRefusal, took)
		case reply.Status != 200:
			out.failed++
		case took > target:
			out.late++
		default:
			out.inTarget++
			missing := missingParts(sim.t, reply)
			if missing == 0 {
				out.complete++
			}
			share := 1 - float64(missing)/float64(max(shards, 1))
			out.quality += share * share
		}
	})
}

func missingParts(t testing.TB, reply Reply) int {
	t.Helper()
	var n int
	for _, line := range splitLines(string(reply.Header)) {
		if _, err := fmt.Sscanf(line, "X-Missing: %d", &n); err == nil {
			return n
		}
	}
	return 0
}

func splitLines(s string) []string {
	var out []string
	for len(s) > 0 {
		i := 0
		for i < len(s) && s[i] != '\r' {
			i++
		}
		out = append(out, s[:i])
		s = s[min(i+2, len(s)):]
	}
	return out
}

// arrivals returns the number of requests that reached the servers of a
// service.
func (sim *simulation) arrivals(service zinniatide.ServiceID) int {
	n := 0
	for _, e := range sim.enrollments {
		if e.Service == service {
			n += sim.servers[e.Server].arrived
		}
	}
	return n
}
