package scenarios

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/limiter"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/transporter"
)

const (
	contentionShards     = 4
	contentionServers    = 2 // of each shard
	contentionSlots      = 4
	contentionQueue      = 12
	contentionMinMs      = 20
	contentionMeanMs     = 20                       // mean of the exponentially distributed part of the work
	contentionTarget     = zinniatide.Millis(400)   // ten times the mean work
	contentionTimeout    = zinniatide.Millis(2_000) // of each request
	contentionWorkspaces = 6                        // of normal priority
	contentionDuration   = 12 * time.Second
	// contentionUrgentShare is the part of the capacity that urgent requests ask for, and
	// contentionHotShare that of one workspace of normal priority. The other workspaces ask
	// for contentionOtherShare each: 2.3 times the capacity in total.
	contentionUrgentShare, contentionHotShare, contentionOtherShare = 0.3, 1.0, 0.2
)

// contentionCapacity returns the capacity of the servers in queries per second.
func contentionCapacity() float64 {
	return contentionServers * contentionSlots * 1000 / (contentionMinMs + contentionMeanMs)
}

// contention sends queries of two priorities through a relay VM at more than twice the
// capacity of the servers, and one workspace asks for as much as there is. The baseline
// serves them first come, first served, up to the same adaptive limit. Servers and callers
// are functions in this process, so that their network does not count.
var contention = Scenario{Name: "contention", Run: func(e *Env) error {
	baseline, err := runContention(e, newFirstCome())
	if err != nil {
		return err
	}
	measured, err := runContention(e, nil)
	if err != nil {
		return err
	}
	return e.reportMetrics("contention", []metric{
		{"urgent-in-time", "ratio", baseline.urgentInTime, measured.urgentInTime},
		{"least-share", "ratio", baseline.leastShare, measured.leastShare},
	})
}}

type contentionResult struct{ urgentInTime, leastShare float64 }

// contentionCallers counts the requests of one workspace.
type contentionCallers struct {
	name, path, key      string
	perSecond            float64
	sent, inTime, served int
}

func runContention(e *Env, capacity zinniatide.CapacityAdmitter) (contentionResult, error) {
	c := clock.New()
	var lock sync.Mutex // guards the relayer, the servers and the counts
	random := rand.New(rand.NewPCG(e.Seed, 9))
	servers := map[zinniatide.BackendServerID]*contentionServer{}
	r := relayer.New(relayer.Config{
		VM: "self", Process: 1, Zone: zones[0], Budget: retrybudget.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11,
	}, relayer.Dependencies{
		Lock: &lock, Clock: c, Timer: timer.New(), Random: random, Capacity: capacity,
		Names: relayer.HeaderNames{
			RequestID: "X-Request-Id", PartStamps: "X-Parts", MissingParts: "X-Missing", Workspace: "X-Workspace", CredentialScheme: "Token",
		},
		NewPool: func(id zinniatide.BackendServerID, _ string, _ int) relayer.Pool {
			servers[id] = &contentionServer{lock: &lock, random: random}
			return servers[id]
		},
	})
	routing, enrollments := contentionRouting()
	var all []*contentionCallers
	addCallers := func(name, path string, share float64) {
		key := "key-" + name
		routing.Workspaces = append(routing.Workspaces, zinniatide.RelayWorkspace{
			Workspace: zinniatide.WorkspaceID(name), Keys: []zinniatide.KeyDigest{zinniatide.DigestKey([]byte(key))},
		})
		all = append(all, &contentionCallers{name: name, path: path, key: key, perSecond: share * contentionCapacity()})
	}
	addCallers("urgent", "/urgent/x", contentionUrgentShare)
	addCallers("hot", "/normal/x", contentionHotShare)
	for i := range contentionWorkspaces - 1 {
		addCallers(fmt.Sprintf("normal-%d", i), "/normal/x", contentionOtherShare)
	}
	r.Update(&zinniatide.Configuration{Routing: routing, RoutingNumber: 1, Members: map[zinniatide.VMID]zinniatide.Member{
		"self": {VM: "self", Zone: zones[0], Relay: true, State: zinniatide.StateIn},
	}}, enrollments)
	var done sync.WaitGroup
	for i, callers := range all {
		done.Go(func() { callers.send(r, c, rand.New(rand.NewPCG(e.Seed, uint64(10+i)))) }) //nolint:gosec // an index
	}
	done.Wait()
	time.Sleep(contentionTimeout.Duration())
	lock.Lock()
	defer lock.Unlock()
	urgent, normal := all[0], all[1:]
	least, served := math.Inf(1), 0.0
	for _, callers := range normal {
		least, served = min(least, float64(callers.served)), served+float64(callers.served)
	}
	if urgent.sent == 0 || served == 0 {
		return contentionResult{}, fmt.Errorf("%d urgent requests were sent and %.0f normal ones served; nothing to compare", urgent.sent, served)
	}
	return contentionResult{
		urgentInTime: float64(urgent.inTime) / float64(urgent.sent),
		leastShare:   least / (served / float64(len(normal))),
	}, nil
}

// contentionRouting returns two routes of different priorities over the same shards.
func contentionRouting() (*zinniatide.Routing, []zinniatide.Enrollment) {
	routing := &zinniatide.Routing{KeysRequired: true}
	var enrollments []zinniatide.Enrollment
	var shards []zinniatide.ServiceID
	for i := range contentionShards {
		shard := zinniatide.ServiceID(fmt.Sprintf("shard-%d", i))
		shards = append(shards, shard)
		routing.Services = append(routing.Services, zinniatide.RelayService{Service: shard, MaxConnections: 96})
		for j := range contentionServers {
			id := fmt.Sprintf("%s-%d", shard, j)
			enrollments = append(enrollments, zinniatide.Enrollment{
				Server: zinniatide.BackendServerID(id), StartedAt: 1, Sequence: 1, Service: shard, Address: id,
				Zone: zones[0], Slots: contentionSlots, State: zinniatide.StateIn,
			})
		}
	}
	for priority, prefix := range []string{"/urgent/", "/normal/"} {
		routing.Routes = append(routing.Routes, zinniatide.Route{
			ID: zinniatide.RouteID(prefix), Host: "h", PathPrefix: prefix, Idempotent: true, Timeout: contentionTimeout,
			TargetLatency: contentionTarget, Priority: priority, MaxAttempts: 2, TopRecords: 5, MinCoverage: 1, Shards: shards,
		})
	}
	return routing, enrollments
}

// send sends the requests of one workspace and waits until the last is sent.
func (w *contentionCallers) send(r *relayer.Relayer, c zinniatide.Clock, random *rand.Rand) {
	next := time.Now()
	for end := next.Add(contentionDuration); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() / w.perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		startedAt := c.Now()
		id := fmt.Sprintf("%s-%d", w.name, w.sent)
		w.sent++
		r.Serve(&relayer.Request{
			ID: id, Host: "h", Path: w.path, Head: []byte("GET " + w.path + " HTTP/1.1\r\n"), Credential: []byte("Token " + w.key), ArrivedAt: startedAt,
		}, func(reply relayer.Reply) {
			if reply.Status != 200 {
				return
			}
			w.served++
			if c.Now()-startedAt <= contentionTarget {
				w.inTime++
			}
		})
	}
}

// contentionServer is a backend server with slots and a bounded queue. It implements
// relayer.Pool. Its state is guarded by lock.
type contentionServer struct {
	lock    *sync.Mutex
	random  *rand.Rand
	running int
	waiting []*transporter.Exchange
}

func (s *contentionServer) Send(x *transporter.Exchange) {
	x.MarkSent()
	switch {
	case s.running < contentionSlots:
		s.start(x)
	case len(s.waiting) < contentionQueue:
		s.waiting = append(s.waiting, x)
	default:
		queue := len(s.waiting)
		time.AfterFunc(time.Millisecond, func() {
			s.lock.Lock()
			defer s.lock.Unlock()
			x.Finish(transporter.Answer{Result: transporter.NotRun, Status: 503, QueueLength: queue})
		})
	}
}

// start runs a request in a slot, and the next one that waits after it.
func (s *contentionServer) start(x *transporter.Exchange) {
	s.running++
	work := contentionMinMs + contentionMeanMs*s.random.ExpFloat64()
	time.AfterFunc(time.Duration(work*float64(time.Millisecond)), func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
		body := binary.BigEndian.AppendUint64(nil, s.random.Uint64())
		body = binary.BigEndian.AppendUint64(body, s.random.Uint64())
		x.Finish(transporter.Answer{Result: transporter.Answered, Status: 200, Stamp: "s", Body: body, QueueLength: len(s.waiting)})
	})
}

func (s *contentionServer) SetLimit(int, zinniatide.Millis) {}
func (s *contentionServer) EnsureOpen(int)                  {}
func (s *contentionServer) OpenConnections() int            { return 1 }
func (s *contentionServer) Recall()                         {}
func (s *contentionServer) Close()                          {}

// firstCome admits requests in the order of their arrival, up to an adaptive limit of
// each route.
type firstCome struct {
	limiters map[zinniatide.RouteID]*limiter.Limiter
}

func newFirstCome() *firstCome {
	return &firstCome{limiters: map[zinniatide.RouteID]*limiter.Limiter{}}
}

func (f *firstCome) SetRouting(*zinniatide.Routing)                              {}
func (f *firstCome) RecordPriority(zinniatide.ServiceID, int, zinniatide.Millis) {}
func (f *firstCome) LeavesHedges(zinniatide.ServiceID, int, zinniatide.Millis) bool {
	return false
}

func (f *firstCome) Admit(r zinniatide.CapacityRequest, _ zinniatide.Millis) zinniatide.CapacityDecision {
	l := f.limiters[r.Route.ID]
	if l == nil {
		l = limiter.New()
		f.limiters[r.Route.ID] = l
	}
	if !l.TryAcquire() {
		return zinniatide.CapacityDecision{Reason: "overloaded", RetryAfter: r.Route.TargetLatency}
	}
	return zinniatide.CapacityDecision{Permit: &firstComePermit{limiter: l, target: r.Route.TargetLatency}}
}

type firstComePermit struct {
	limiter  *limiter.Limiter
	target   zinniatide.Millis
	observed bool
}

func (p *firstComePermit) Observe(result zinniatide.CapacityResult, now zinniatide.Millis) {
	p.limiter.Release(result != zinniatide.CapacityInTime, p.target, now)
	p.observed = true
}

func (p *firstComePermit) End() {
	if !p.observed {
		p.limiter.ReleaseWithoutSample()
	}
}
