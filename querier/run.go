package querier

import (
	"math/rand/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/merger"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

// transport sends the sub-requests of a search. Results are delivered to
// searchRun.handleResult with the index of the attempt.
type transport interface {
	// send sends the attempts of a generation, starting with the index first.
	send(generation, first int, rs []zinniatide.SubRequest)
	// cancel cancels one attempt. Its result is ignored.
	cancel(generation, attempt int)
	// reportCrash reports that the request crashed a server. asCanary is set when
	// no server had answered the request before, or when this attempt needed a
	// retry permission. With askRetry set the transport also asks whether another
	// server may run the request, and passes the reply to
	// searchRun.handleRetryDecision.
	reportCrash(generation, shard int, asCanary, askRetry bool)
	// reportAnswered reports that a server has answered the request.
	reportAnswered()
}

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptInFlight attemptState = iota
	attemptAnswered
	attemptRefused  // not-run: the same server may be tried again
	attemptExcluded // the server must not be tried again for the shard
)

// attempt is one sub-request.
type attempt struct {
	shard    int32
	previous int32 // the previous attempt for the shard, or -1
	state    attemptState
	wanted   bool // false once the attempt was cancelled
	crashed  bool
	server   zinniatide.BackendServerID
	record   *observer.Server
}

// shardState is the progress of one shard. The arbiter is the VM that decides
// about the fingerprint of the request (see package quarantiner).
type shardState struct {
	lastAttempt    int32 // index of the latest attempt, or -1
	inFlight       int16 // attempts in flight
	hedges         int16
	backoffSteps   int16             // delayed attempts so far, for the exponential backoff
	closed         bool              // answered or given up
	retryPermitted bool              // the arbiter has permitted one more server after a crash
	retryAt        zinniatide.Millis // zero when no retry is due
	hedgeAt        zinniatide.Millis // zero when no hedge is due
	ownerWaitStart zinniatide.Millis // zero unless the shard has waited for a server with an owner
}

func (s *shardState) unsent() bool { return s.lastAttempt < 0 && !s.closed && s.retryAt == 0 }

// generation is the state of a search on one index version. A restart on another
// version adds a generation.
type generation struct {
	version      *planner.Version
	requestID    zinniatide.RequestID
	merger       *merger.Merger
	shards       []shardState
	attempts     []attempt
	openShards   int    // shards that are neither answered nor given up
	lostKeys     uint64 // keys of the shards that were given up
	wrongVersion bool   // a server refused with wrong-version
}

// searchRun is the state machine of one search. It is not safe for concurrent
// use. It reads no clock and starts no goroutine: the driver calls its methods
// with the current time.
type searchRun struct {
	config       *Config
	request      zinniatide.SearchRequest
	fingerprint  zinniatide.Fingerprint
	deadline     zinniatide.Millis // end of the search
	index        func() *planner.Index
	service      *observer.Service
	budgets      *requestBudgets
	random       *rand.Rand
	transport    transport
	serverBuffer []zinniatide.BackendServerID // reused by triedServers
	hedgeDelay   zinniatide.Millis

	generations []*generation
	// canaryPhase is set while only one shard may be sent, to at most
	// maxCanaryServers servers. canaryDeadline is zero while no canary is in flight.
	canaryPhase      bool
	maxCanaryServers int
	canaryDeadline   zinniatide.Millis

	mayHaveRun      bool // a backend server may have run a sub-request
	serverAnswered  bool // a backend server has answered a sub-request
	unresolvedCrash bool // no canary or permitted retry was answered since the last crash
	canaryCrashes   int  // crashes during the canary phase
	quarantined     bool // the request was classified as crashing servers
	lastFailure     zinniatide.Code
	done            bool

	hedgesSent, retriesSent int
}

func (r *searchRun) current() *generation { return r.generations[len(r.generations)-1] }

// start sends the first sub-requests. It returns false when no index version is
// usable.
func (r *searchRun) start(now zinniatide.Millis) bool {
	service := r.index().Service(r.request.Service)
	if service == nil {
		return false
	}
	v := service.PreferredVersion(0)
	if v == nil {
		return false
	}
	r.startGeneration(now, v)
	return true
}

// startGeneration starts the search on version v.
func (r *searchRun) startGeneration(now zinniatide.Millis, v *planner.Version) {
	g := &generation{
		version:    v,
		requestID:  subRequestID(r.request.RequestID, r.random),
		merger:     merger.New(v.Number, v.Shards, r.request.Limit),
		shards:     make([]shardState, len(v.Shards)),
		attempts:   make([]attempt, 0, len(v.Shards)+8),
		openShards: len(v.Shards),
	}
	for i := range g.shards {
		g.shards[i].lastAttempt = -1
	}
	r.generations = append(r.generations, g)
	r.hedgeDelay = r.computeHedgeDelay(now)
	if r.canaryPhase && r.sendCanary(now, g) {
		return
	}
	r.canaryPhase = false
	r.sendUnsent(now, g)
}

// sendCanary sends one shard that has not been sent yet. When no such shard has a
// replica, it schedules a retry of one whose server's bucket is moving to another
// VM. It returns false when there is no such shard either.
func (r *searchRun) sendCanary(now zinniatide.Millis, g *generation) bool {
	first := len(g.attempts)
	offset := r.random.IntN(len(g.shards))
	waitable := -1
	for i := range g.shards {
		shard := (i + offset) % len(g.shards)
		s := &g.shards[shard]
		if s.closed || s.lastAttempt >= 0 {
			continue
		}
		if r.addAttempt(now, g, shard) {
			r.sendAttempts(now, g, first)
			r.budgets.refill(1)
			return true
		}
		if waitable < 0 && s.retryAt == 0 && g.version.AwaitsOwner(shard) {
			waitable = shard
		}
	}
	if waitable < 0 {
		return false
	}
	r.retryAfterOwnerDelay(now, g, waitable)
	return true
}

// canaryServersUsed counts the servers that are running the canary or were
// crashed by it.
func (r *searchRun) canaryServersUsed() int {
	used := 0
	for _, g := range r.generations {
		for i := range g.attempts {
			if a := &g.attempts[i]; a.crashed || a.state == attemptInFlight {
				used++
			}
		}
	}
	return used
}

// endCanaryPhase sends the shards that were held back for the canary.
func (r *searchRun) endCanaryPhase(now zinniatide.Millis) {
	if !r.canaryPhase {
		return
	}
	r.canaryPhase = false
	r.sendUnsent(now, r.current())
}

// sendUnsent sends every shard that has not been sent yet.
func (r *searchRun) sendUnsent(now zinniatide.Millis, g *generation) {
	first := len(g.attempts)
	for shard := range g.shards {
		if g.shards[shard].unsent() {
			r.addAttempt(now, g, shard)
		}
	}
	sent := len(g.attempts) - first
	r.sendAttempts(now, g, first)
	r.budgets.refill(sent)
	for shard := range g.shards {
		if g.shards[shard].unsent() {
			r.awaitOwnerOrGiveUp(now, g, shard)
		}
		if r.done || r.current() != g {
			return // giving up a shard may end the search or start a new generation
		}
	}
	r.finishIfComplete()
}

// addAttempt selects a replica for a shard and adds an attempt, which
// sendAttempts sends. It returns false when no replica may be tried.
func (r *searchRun) addAttempt(now zinniatide.Millis, g *generation, shard int) bool {
	s := &g.shards[shard]
	v := r.latestVersion(g, shard)
	pick := planner.PickReplica
	if r.config.RandomReplica {
		pick = planner.PickRandomReplica
	}
	replica := pick(v, shard, r.triedServers(g, s, true), now, r.random)
	if replica == nil && s.lastAttempt >= 0 {
		replica = pick(v, shard, r.triedServers(g, s, false), now, r.random)
	}
	if replica == nil {
		return false
	}
	if s.lastAttempt >= 0 {
		r.retriesSent++ // hedge corrects the count for hedges
	}
	g.attempts = append(g.attempts, attempt{
		shard: int32(shard), previous: s.lastAttempt, wanted: true, server: replica.Server, record: replica.Record,
	})
	s.lastAttempt = int32(len(g.attempts) - 1)
	s.inFlight++
	s.retryAt, s.hedgeAt = 0, now+r.hedgeDelay
	if r.canaryPhase {
		r.canaryDeadline = now + r.config.CanaryTimeout
	}
	return true
}

// hasUntriedReplica reports whether a shard has a replica that has not been tried.
func (r *searchRun) hasUntriedReplica(now zinniatide.Millis, g *generation, shard int) bool {
	s := &g.shards[shard]
	return planner.PickReplica(r.latestVersion(g, shard), shard, r.triedServers(g, s, true), now, r.random) != nil
}

// latestVersion returns the generation's version from the latest index. It
// returns the original one when the version was removed or its shards changed.
func (r *searchRun) latestVersion(g *generation, shard int) *planner.Version {
	if s := &g.shards[shard]; s.lastAttempt < 0 && s.ownerWaitStart == 0 && !r.serverAnswered {
		// The shard was not sent and has not waited for an owner, and no server has
		// answered yet. g.version is recent enough then, and a look-up for every shard
		// would be wasted.
		return g.version
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

// triedServers returns the servers that were tried for a shard. Without
// includeRefused it returns only those that must not be tried again.
func (r *searchRun) triedServers(g *generation, s *shardState, includeRefused bool) []zinniatide.BackendServerID {
	r.serverBuffer = r.serverBuffer[:0]
	for i := s.lastAttempt; i >= 0; i = g.attempts[i].previous {
		if includeRefused || g.attempts[i].state != attemptRefused {
			r.serverBuffer = append(r.serverBuffer, g.attempts[i].server)
		}
	}
	return r.serverBuffer
}

// sendAttempts sends all attempts starting with the index first.
func (r *searchRun) sendAttempts(now zinniatide.Millis, g *generation, first int) {
	if first == len(g.attempts) {
		return
	}
	// The transport may keep the slice, so it is not reused.
	rs := make([]zinniatide.SubRequest, 0, len(g.attempts)-first)
	for i := first; i < len(g.attempts); i++ {
		rs = append(rs, r.subRequest(g, &g.attempts[i]))
		if r.hasAlternative(now, g, &g.attempts[i]) {
			rs[len(rs)-1].MaxWait = r.config.MaxPacingWait
		}
	}
	r.transport.send(len(r.generations)-1, first, rs)
}

// hasAlternative reports whether the shard of a has a reachable replica that has
// not been tried.
func (r *searchRun) hasAlternative(now zinniatide.Millis, g *generation, a *attempt) bool {
	replicas := g.version.Replicas(int(a.shard))
	for i := range replicas {
		if replicas[i].Server != a.server && !g.triedBefore(a, replicas[i].Server) && !replicas[i].Record.Paused(now) {
			return true
		}
	}
	return false
}

// triedBefore reports whether an earlier attempt than a was sent to server.
func (g *generation) triedBefore(a *attempt, server zinniatide.BackendServerID) bool {
	for before := a.previous; before >= 0; before = g.attempts[before].previous {
		if g.attempts[before].server == server {
			return true
		}
	}
	return false
}

func (r *searchRun) subRequest(g *generation, a *attempt) zinniatide.SubRequest {
	return zinniatide.SubRequest{
		Operation: zinniatide.OperationSearch, RequestID: g.requestID, Service: r.request.Service,
		Version: g.version.Number, Range: g.version.Shards[a.shard], Server: a.server,
		Workspace: r.request.Workspace, Class: r.request.Class, Fingerprint: r.fingerprint,
		Deadline: r.deadline, Body: r.request.Query,
	}
}

// computeHedgeDelay derives the hedge delay from the observed latencies. A
// sub-request that takes three times the median is a straggler. The delay is at
// most the 98.5th percentile, so that hedges stay within the budget of 2%, and at
// least the 95th. Latencies are whole milliseconds and many answers arrive
// exactly at a percentile, so one millisecond is added.
func (r *searchRun) computeHedgeDelay(now zinniatide.Millis) zinniatide.Millis {
	p := r.service.Percentiles(now)
	if p.Samples < r.config.MinHedgeSamples {
		return r.config.InitialHedgeDelay
	}
	return max(min(max(3*p.P50, p.P95), p.P985)+1, r.config.MinHedgeDelay)
}
