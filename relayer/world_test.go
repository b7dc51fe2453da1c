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
	"zinniatide.example/zinniatide/rationer"
	"zinniatide.example/zinniatide/transporter"
)

// world runs a Relayer against simulated backend servers in virtual time.
type world struct {
	t       *testing.T
	lock    sync.Mutex
	clock   *clock.Clock
	random  *rand.Rand
	events  eventHeap
	count   int
	relayer *Relayer
	servers map[zinniatide.BackendServerID]*simServer
	list    []zinniatide.Enrollment
	config  *zinniatide.Configuration
	ids     int
}

type event struct {
	at    zinniatide.Millis
	order int
	run   func()
	off   bool
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
func (w *world) After(d zinniatide.Millis, f func()) func() {
	w.count++
	e := &event{at: w.clock.Now() + max(d, 0), order: w.count, run: f}
	heap.Push(&w.events, e)
	return func() { e.off = true }
}

// run moves the time to until.
func (w *world) run(until zinniatide.Millis) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*event)
		w.clock.Advance(e.at - w.clock.Now())
		if !e.off {
			e.run()
		}
	}
	w.clock.Advance(until - w.clock.Now())
}

// simServer has slots and a queue, works for a drawn time, and fails in the
// ways that tests set.
type simServer struct {
	w     *world
	id    zinniatide.BackendServerID
	slots int
	queue int
	// work draws the time of one request.
	work func() zinniatide.Millis
	// pausedUntil holds all work.
	pausedUntil zinniatide.Millis
	// fault changes how a request ends; nil for none.
	fault func() (transporter.Result, int)
	dark  bool // sends get no connection

	running int
	waiting []*transporter.Exchange
	arrived int
	ran     map[string]int
}

func (s *simServer) Send(x *transporter.Exchange) {
	if s.dark {
		s.w.After(1, func() { s.finish(x, transporter.Answer{Result: transporter.NotSent, Waiting: -1}) })
		return
	}
	s.arrived++
	x.MarkSent()
	if s.running >= s.slots && len(s.waiting) >= s.queue {
		s.w.After(1, func() {
			s.finish(x, transporter.Answer{Result: transporter.NotRun, Status: 503, Waiting: len(s.waiting)})
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
	now := s.w.clock.Now()
	s.running++
	result, status := transporter.Answered, 200
	if s.fault != nil {
		result, status = s.fault()
	}
	if result.MayHaveRun() {
		s.ran[x.RequestID]++
	}
	done := max(now, s.pausedUntil) + s.work()
	if result == transporter.Expired {
		done = x.Deadline
	}
	s.w.After(done-now, func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
		answer := transporter.Answer{Result: result, Status: status, Waiting: len(s.waiting), Header: &fasthttp.ResponseHeader{}}
		if result == transporter.Answered {
			answer.Stamp = fmt.Sprintf("%s.%s", s.id, x.RequestID)
			// The first half names the shard, so that records are unique.
			var shard, slot int
			_, _ = fmt.Sscanf(string(s.id), "shard-%d", &shard) // plain servers have number 0
			for slot = range 3 {
				answer.Body = binary.BigEndian.AppendUint64(answer.Body, uint64(s.hash(x.RequestID))+uint64(slot))
				answer.Body = binary.BigEndian.AppendUint64(answer.Body, uint64(shard))
			}
		}
		s.finish(x, answer)
	})
}

// hash spreads the records of a request.
func (s *simServer) hash(id string) uint32 {
	h := uint32(2166136261)
	for _, c := range id {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

// twice reports whether a gathered answer holds a record twice.
func twice(body []byte) bool {
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
	s.w.lock.Lock()
	defer s.w.lock.Unlock()
	x.Finish(a)
}

func (s *simServer) SetLimit(int, zinniatide.Millis) {}
func (s *simServer) Warm(int)                        {}
func (s *simServer) Close()                          {}
func (s *simServer) Conns() int {
	if s.dark {
		return 0
	}
	return 1
}

// newWorld builds shards with two servers in the zones a and b, and a plain
// service of four servers.
func newWorld(t *testing.T, shards int) *world {
	t.Helper()
	w := &world{t: t, clock: clock.NewManual(1000, 1_700_000_000_000), random: rand.New(rand.NewPCG(1, 2)), //nolint:gosec // fixed seed
		servers: map[zinniatide.BackendServerID]*simServer{}}
	routing := &zinniatide.Routing{}
	gather := zinniatide.Route{ID: "gather", Host: "h", PathPrefix: "/q/", Idempotent: true, Timeout: 1200, TargetLatency: 120,
		Priority: 1, MaxAttempts: 2, TopRecords: 5, MinCoverage: 0.75}
	for i := range shards {
		name := zinniatide.ServiceID(fmt.Sprintf("shard-%02d", i))
		gather.Shards = append(gather.Shards, name)
		routing.Services = append(routing.Services, zinniatide.RelayService{Service: name, MaxConnections: 25})
		for _, zone := range []zinniatide.ZoneID{"a", "b"} {
			w.add(string(name)+string(zone), name, zone, 2)
		}
	}
	for i := range 4 {
		w.add(fmt.Sprintf("plain-%d", i), "plain", "a", 3)
	}
	routing.Services = append(routing.Services, zinniatide.RelayService{Service: "plain", MaxConnections: 96})
	plain := zinniatide.Route{ID: "plain", Host: "h", PathPrefix: "/p/", Idempotent: true, Timeout: 5000, TargetLatency: 500,
		MaxAttempts: 2, Targets: []zinniatide.WeightedService{{Service: "plain", Weight: 1}}}
	once := plain
	once.ID, once.PathPrefix, once.Idempotent = "once", "/once/", false
	routing.Routes = []zinniatide.Route{gather, plain, once}
	w.config = &zinniatide.Configuration{Routing: routing, RoutingNumber: 1, Members: map[zinniatide.VMID]zinniatide.Member{
		"self": {VM: "self", Zone: "a", Relay: true, State: zinniatide.StateIn},
	}}
	w.relayer = New(Config{VM: "self", Zone: "a", Budget: rationer.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11},
		Dependencies{
			Lock: &w.lock, Clock: w.clock, Timer: w, Random: w.random,
			Names: Names{PartStamps: "X-Parts", MissingParts: "X-Missing"},
			NewPool: func(id zinniatide.BackendServerID, _ string, _ int) Pool {
				return w.servers[id]
			},
		})
	w.update()
	return w
}

func (w *world) add(id string, service zinniatide.ServiceID, zone zinniatide.ZoneID, slots int) {
	s := &simServer{w: w, id: zinniatide.BackendServerID(id), slots: slots, queue: 12, ran: map[string]int{}}
	s.work = func() zinniatide.Millis { return 8 + zinniatide.Millis(w.random.IntN(14)) }
	w.servers[s.id] = s
	w.list = append(w.list, zinniatide.Enrollment{Server: s.id, Born: 1, Sequence: 1, Service: service,
		Address: "10.0.0.1:" + id, Zone: zone, Slots: slots, State: zinniatide.StateIn})
}

func (w *world) update() { w.relayer.Update(w.config, w.list) }

// tally counts how requests ended.
type tally struct {
	asked, inTarget, complete, late, refused, failed int
	// doubled counts answers that hold a record twice. Records of the world are
	// unique.
	doubled int
	// worth is the mean of the squared coverage of answers in the target time.
	worth float64
	// slowestRefusal is the longest time to a 503.
	slowestRefusal zinniatide.Millis
}

// load asks for path at a rate for a time, and returns how it ended.
func (w *world) load(path string, perSecond float64, lasts, target zinniatide.Millis, shards int) *tally {
	out := &tally{}
	end := w.clock.Now() + lasts
	gap := 1000 / perSecond
	for at := float64(w.clock.Now()); at < float64(end); at += gap * (0.5 + w.random.Float64()) {
		w.After(zinniatide.Millis(at)-w.clock.Now(), func() { w.ask(path, target, shards, out) })
	}
	w.run(end + 6000)
	if out.asked > 0 {
		out.worth /= float64(out.asked)
	}
	return out
}

func (w *world) ask(path string, target zinniatide.Millis, shards int, out *tally) {
	w.ids++
	out.asked++
	begun := w.clock.Now()
	req := &Request{ID: fmt.Sprintf("r%d", w.ids), Host: "h", Path: path, Head: []byte("GET " + path + " HTTP/1.1\r\n"), Arrived: begun}
	w.relayer.Serve(req, func(reply Reply) {
		took := w.clock.Now() - begun
		if twice(reply.Body) {
			out.doubled++
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
			missing := missingOf(w.t, reply)
			if missing == 0 {
				out.complete++
			}
			share := 1 - float64(missing)/float64(max(shards, 1))
			out.worth += share * share
		}
	})
}

func missingOf(t *testing.T, reply Reply) int {
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

// arrivals sums what reached the servers of a service.
func (w *world) arrivals(service zinniatide.ServiceID) int {
	n := 0
	for _, e := range w.list {
		if e.Service == service {
			n += w.servers[e.Server].arrived
		}
	}
	return n
}
