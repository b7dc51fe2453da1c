package querier

import (
	"math/rand/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/merger"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

// carrier sends the sub-requests of a run. The results come back through
// run.result, with the number that the carrier was given for each attempt.
type carrier interface {
	// send sends attempts first and up of generation gen.
	send(gen, first int, rs []zinniatide.SubRequest)
	// cancel cancels one attempt. Its result is ignored.
	cancel(gen, attempt int)
	// crashed reports that the request crashed a server. Tried tells that no
	// server had answered the request before, or that the server was permitted
	// as an exception. With ask set the carrier also asks whether another
	// server may run it, and the reply comes back through run.permit.
	crashed(gen, shard int, tried, ask bool)
	// proven tells that a server has answered the request.
	proven()
}

// attemptState tells what became of an attempt.
type attemptState uint8

const (
	inFlight attemptState = iota
	answered
	refused // not-run: the same server may be asked again
	barred  // the server must not be asked again for the shard
)

// attempt is one sub-request.
type attempt struct {
	shard  int32
	before int32 // the previous attempt for the shard, or -1
	state  attemptState
	// kept is set while the result still matters.
	kept    bool
	crashed bool
	server  zinniatide.BackendServerID
	record  *observer.Server
}

// shardState is the progress of one shard.
type shardState struct {
	last     int32 // newest attempt, or -1
	pending  int16 // attempts in flight
	hedges   int16
	tries    int16             // delayed attempts so far, for the exponential delay
	closed   bool              // answered or given up
	permit   bool              // another server is asked with that permission
	retryAt  zinniatide.Millis // zero when no retry is due
	hedgeAt  zinniatide.Millis // zero when no hedge is due
	waitFrom zinniatide.Millis // start of the wait for an owner
}

func (s *shardState) unsent() bool { return s.last < 0 && !s.closed && s.retryAt == 0 }

// generation is the part of a run that concerns one index version.
type generation struct {
	version   *planner.Version
	requestID zinniatide.RequestID
	merger    *merger.Merger
	shards    []shardState
	attempts  []attempt
	open      int // shards that are neither answered nor given up
	lostKeys  uint64
	wrong     bool // a server refused with wrong-version
}

// run is the state machine of one query. It belongs to one goroutine. It reads
// no clock and starts no goroutine; the driver calls its methods with the time.
type run struct {
	config    *Config
	request   zinniatide.SearchRequest
	print     zinniatide.Fingerprint
	until     zinniatide.Millis // end of the query
	index     func() *planner.Index
	service   *observer.Service
	budgets   *budgets
	random    *rand.Rand
	carrier   carrier
	skip      []zinniatide.BackendServerID // scratch
	hedgeWait zinniatide.Millis

	gens []*generation
	// canary is set while only one shard may be asked, on at most
	// canaryServers servers. canaryUntil is zero while no server is asked.
	canary        bool
	canaryServers int
	canaryUntil   zinniatide.Millis

	ran       bool // a backend server may have run a part
	proven    bool // a backend server has answered
	crashOpen bool // a crash was not followed by an answer
	crashes   int  // during the canary phase
	deadly    bool // the request was found to crash servers
	failure   zinniatide.Code
	done      bool

	hedgesSent, retriesSent int
}

func (r *run) current() *generation { return r.gens[len(r.gens)-1] }

// start sends the first sub-requests. It returns false when no version can be
// used.
func (r *run) start(now zinniatide.Millis) bool {
	service := r.index().Service(r.request.Service)
	if service == nil {
		return false
	}
	v := service.Best(0)
	if v == nil {
		return false
	}
	r.begin(now, v)
	return true
}

// begin starts a generation on version v.
func (r *run) begin(now zinniatide.Millis, v *planner.Version) {
	g := &generation{
		version:   v,
		requestID: subRequestID(r.request.RequestID, r.random),
		merger:    merger.New(v.Number, v.Shards, r.request.Limit),
		shards:    make([]shardState, len(v.Shards)),
		attempts:  make([]attempt, 0, len(v.Shards)+8),
		open:      len(v.Shards),
	}
	for i := range g.shards {
		g.shards[i].last = -1
	}
	r.gens = append(r.gens, g)
	r.hedgeWait = r.hedgeDelay(now)
	if r.canary && r.sendCanary(now, g) {
		return
	}
	r.canary = false
	r.sendAll(now, g)
}

// sendCanary sends one shard that was not sent before. When no shard has a
// replica it waits for a shard whose bucket is handed over. It returns false
// when nothing is left to wait for.
func (r *run) sendCanary(now zinniatide.Millis, g *generation) bool {
	first := len(g.attempts)
	offset := r.random.IntN(len(g.shards))
	waitable := -1
	for i := range g.shards {
		shard := (i + offset) % len(g.shards)
		s := &g.shards[shard]
		if s.closed || s.last >= 0 {
			continue
		}
		if r.try(now, g, shard) {
			r.flush(now, g, first)
			r.budgets.earn(1)
			return true
		}
		if waitable < 0 && s.retryAt == 0 && g.version.Pending(shard) {
			waitable = shard
		}
	}
	if waitable < 0 {
		return false
	}
	r.later(now, g, waitable)
	return true
}

// canaryUsed counts the servers that run the canary or were lost by it.
func (r *run) canaryUsed() int {
	used := 0
	for _, g := range r.gens {
		for i := range g.attempts {
			if a := &g.attempts[i]; a.crashed || a.state == inFlight {
				used++
			}
		}
	}
	return used
}

// release ends the canary phase.
func (r *run) release(now zinniatide.Millis) {
	if !r.canary {
		return
	}
	r.canary = false
	r.sendAll(now, r.current())
}

// sendAll sends every shard that was not sent before.
func (r *run) sendAll(now zinniatide.Millis, g *generation) {
	first := len(g.attempts)
	for shard := range g.shards {
		if g.shards[shard].unsent() {
			r.try(now, g, shard)
		}
	}
	sent := len(g.attempts) - first
	r.flush(now, g, first)
	r.budgets.earn(sent)
	for shard := range g.shards {
		if g.shards[shard].unsent() {
			r.waitOrLose(now, g, shard)
		}
		if r.done || r.current() != g {
			return // giving up a shard may end the run or start a new generation
		}
	}
	r.checkEnd()
}

// try plans one more attempt for a shard. It returns false when no replica may
// be asked.
func (r *run) try(now zinniatide.Millis, g *generation, shard int) bool {
	s := &g.shards[shard]
	v := r.fresh(g, shard)
	pick := planner.Pick
	if r.config.RandomReplica {
		pick = planner.PickRandom
	}
	replica := pick(v, shard, r.asked(g, s, true), now, r.random)
	if replica == nil && s.last >= 0 {
		replica = pick(v, shard, r.asked(g, s, false), now, r.random)
	}
	if replica == nil {
		return false
	}
	if s.last >= 0 {
		r.retriesSent++ // hedges are moved to their own count by the caller
	}
	g.attempts = append(g.attempts, attempt{
		shard: int32(shard), before: s.last, kept: true, server: replica.Server, record: replica.Record,
	})
	s.last = int32(len(g.attempts) - 1)
	s.pending++
	s.retryAt, s.hedgeAt = 0, now+r.hedgeWait
	if r.canary {
		r.canaryUntil = now + r.config.CanaryPatience
	}
	return true
}

// untried reports whether a replica is left that was not asked yet.
func (r *run) untried(now zinniatide.Millis, g *generation, shard int) bool {
	s := &g.shards[shard]
	return planner.Pick(r.fresh(g, shard), shard, r.asked(g, s, true), now, r.random) != nil
}

// fresh returns the newest view of the generation's version. The planned view
// is kept when the version has disappeared or its shards have changed.
func (r *run) fresh(g *generation, shard int) *planner.Version {
	if s := &g.shards[shard]; s.last < 0 && s.waitFrom == 0 && !r.proven {
		return g.version // just planned
	}
	service := r.index().Service(r.request.Service)
	if service == nil {
		return g.version
	}
	v := service.Version(g.version.Number)
	if v == nil || len(v.Shards) != len(g.version.Shards) || v.Shards[shard] != g.version.Shards[shard] {
		return g.version
	}
	return v
}

// asked lists the servers that were asked for a shard: all of them, or only
// those that must not be asked again.
func (r *run) asked(g *generation, s *shardState, all bool) []zinniatide.BackendServerID {
	r.skip = r.skip[:0]
	for i := s.last; i >= 0; i = g.attempts[i].before {
		if all || g.attempts[i].state != refused {
			r.skip = append(r.skip, g.attempts[i].server)
		}
	}
	return r.skip
}

// flush sends the attempts from first on.
func (r *run) flush(now zinniatide.Millis, g *generation, first int) {
	if first == len(g.attempts) {
		return
	}
	// The carrier may keep the slice, so it is not reused.
	rs := make([]zinniatide.SubRequest, 0, len(g.attempts)-first)
	for i := first; i < len(g.attempts); i++ {
		rs = append(rs, r.subRequest(g, &g.attempts[i]))
		if r.alternative(now, g, &g.attempts[i]) {
			rs[len(rs)-1].MaxWait = r.config.MaxPaceWait
		}
	}
	r.carrier.send(len(r.gens)-1, first, rs)
}

// alternative reports whether the shard of a has a replica that has not been
// asked and can be reached.
func (r *run) alternative(now zinniatide.Millis, g *generation, a *attempt) bool {
	replicas := g.version.Replicas(int(a.shard))
	for i := range replicas {
		if replicas[i].Server != a.server && !g.tried(a, replicas[i].Server) && !replicas[i].Record.Paused(now) {
			return true
		}
	}
	return false
}

// tried reports whether an attempt before a went to server.
func (g *generation) tried(a *attempt, server zinniatide.BackendServerID) bool {
	for before := a.before; before >= 0; before = g.attempts[before].before {
		if g.attempts[before].server == server {
			return true
		}
	}
	return false
}

func (r *run) subRequest(g *generation, a *attempt) zinniatide.SubRequest {
	return zinniatide.SubRequest{
		Operation: zinniatide.OperationSearch, RequestID: g.requestID, Service: r.request.Service,
		Version: g.version.Number, Range: g.version.Shards[a.shard], Server: a.server,
		Tenant: r.request.Tenant, Class: r.request.Class, Fingerprint: r.print,
		Deadline: r.until, Body: r.request.Query,
	}
}

// hedgeDelay follows the observed distribution. Three times the median is late
// enough to mean a straggler. The 98.5th percentile bounds it from above and
// leaves a margin to the budget of 2%; the 95th bounds it from below. Latencies
// are whole milliseconds, so the hedge is sent one millisecond later: many
// answers arrive exactly at a percentile.
func (r *run) hedgeDelay(now zinniatide.Millis) zinniatide.Millis {
	p := r.service.Percentiles(now)
	if p.Samples < r.config.HedgeSamples {
		return r.config.FirstHedgeDelay
	}
	return max(min(max(3*p.P50, p.P95), p.P985)+1, r.config.MinHedgeDelay)
}
