package querier

import "zinniatide.example/zinniatide"

// handleResult processes the result of an attempt. It ignores duplicate results
// and, once the search is done, all results. Of cancelled attempts, which include
// those of closed shards and of an older generation, it only reports crashes.
func (r *searchRun) handleResult(now zinniatide.Millis, generation, index int, result zinniatide.SubResult) {
	g := r.generations[generation]
	a := &g.attempts[index]
	if r.done || a.state != attemptInFlight {
		return
	}
	if generation != len(r.generations)-1 || !a.wanted {
		r.handleLateResult(generation, a, &result)
		return
	}
	shard := int(a.shard)
	s := &g.shards[shard]
	s.inFlight--
	a.state = attemptExcluded
	a.crashed = result.Crashed
	r.mayHaveRun = r.mayHaveRun || result.Outcome != zinniatide.OutcomeNotRun
	if result.Outcome == zinniatide.OutcomeDone {
		if err := g.merger.Add(shard, result.Body); err == nil {
			a.state = attemptAnswered
			r.handleAnswer(now, g, shard)
			return
		}
		a.record.RecordFailure(now)
		result.Code = zinniatide.CodeBadAnswer
	}
	r.lastFailure = result.Code
	if result.Crashed {
		r.handleCrash(now, generation, shard)
		return
	}
	if result.Outcome == zinniatide.OutcomeNotRun {
		r.handleNotRun(now, g, shard, a, result.Code)
		return
	}
	r.retry(now, g, shard, 0)
}

// handleLateResult processes the result of a cancelled attempt or of an older
// generation. It only reports crashes.
func (r *searchRun) handleLateResult(generation int, a *attempt, result *zinniatide.SubResult) {
	a.state, a.crashed = attemptExcluded, result.Crashed
	if result.Crashed {
		r.transport.reportCrash(generation, int(a.shard), !r.serverAnswered, false)
	}
}

// handleCrash processes the loss of a server that was running the request.
// During the canary phase the number of servers that may still be tried is
// known. Later the arbiter of the fingerprint decides, because other VMs may be
// running the same request.
func (r *searchRun) handleCrash(now zinniatide.Millis, generation, shard int) {
	g := r.generations[generation]
	s := &g.shards[shard]
	r.unresolvedCrash = true
	asCanary := !r.serverAnswered || s.retryPermitted
	if !r.canaryPhase {
		s.retryPermitted = false
		r.transport.reportCrash(generation, shard, asCanary, true)
		return
	}
	r.canaryCrashes++
	r.transport.reportCrash(generation, shard, asCanary, false)
	if s.inFlight == 0 && r.canaryServersUsed() < r.maxCanaryServers {
		r.retry(now, g, shard, 0)
	}
	if !r.done && r.current() == g && s.inFlight == 0 && s.retryAt == 0 {
		r.quarantined = r.canaryCrashes >= r.maxCanaryServers
		r.finish()
	}
}

// handleAnswer closes an answered shard and ends the canary phase.
func (r *searchRun) handleAnswer(now zinniatide.Millis, g *generation, shard int) {
	if s := &g.shards[shard]; !r.serverAnswered || s.retryPermitted {
		r.serverAnswered, s.retryPermitted, r.unresolvedCrash = true, false, false
		r.transport.reportAnswered()
	}
	r.closeShard(g, shard)
	r.endCanaryPhase(now)
	r.finishIfComplete()
}

// closeShard cancels the attempts of a shard that was answered or given up.
func (r *searchRun) closeShard(g *generation, shard int) {
	s := &g.shards[shard]
	s.closed, s.retryAt, s.hedgeAt = true, 0, 0
	g.openShards--
	for i := s.lastAttempt; i >= 0 && s.inFlight > 0; i = g.attempts[i].previous {
		r.cancelAttempt(g, int(i))
	}
}

// cancelAttempt cancels an attempt that is in flight.
func (r *searchRun) cancelAttempt(g *generation, index int) {
	a := &g.attempts[index]
	if a.state != attemptInFlight || !a.wanted {
		return
	}
	a.wanted = false
	g.shards[a.shard].inFlight--
	// The result will be ignored, so the attempt may have run.
	r.mayHaveRun = true
	r.transport.cancel(len(r.generations)-1, index)
}

// handleNotRun processes a refusal by the server or its owner.
func (r *searchRun) handleNotRun(now zinniatide.Millis, g *generation, shard int, a *attempt, code zinniatide.Code) {
	switch code {
	case zinniatide.CodeWrongVersion:
		g.wrongVersion = true // the server stays excluded for this version
		r.retry(now, g, shard, 0)
	case zinniatide.CodeNotOwner:
		a.state = attemptRefused
		if !r.tryOtherReplica(now, g, shard) {
			r.retryAfterOwnerDelay(now, g, shard)
		}
	default:
		a.state = attemptRefused
		if code == zinniatide.CodeOverloaded && r.tryOtherReplica(now, g, shard) {
			return
		}
		delay := zinniatide.Millis(0)
		if !r.hasUntriedReplica(now, g, shard) {
			// The delay is at most 64 times RetryDelay.
			delay = r.config.RetryDelay << min(g.shards[shard].backoffSteps, 6)
			g.shards[shard].backoffSteps++
		}
		r.retry(now, g, shard, delay)
	}
}

// tryOtherReplica sends the shard to a replica that has not been tried. It is
// used when the owner refused before the request reached the server: such an
// attempt caused no load on the server and is not charged to the retry budget.
func (r *searchRun) tryOtherReplica(now zinniatide.Millis, g *generation, shard int) bool {
	if g.shards[shard].inFlight > 0 || !r.hasUntriedReplica(now, g, shard) {
		return false
	}
	first := len(g.attempts)
	r.addAttempt(now, g, shard)
	r.sendAttempts(now, g, first)
	return true
}

// retry sends a shard again after delay if the retry budget allows it and no
// other attempt of the shard is in flight.
func (r *searchRun) retry(now zinniatide.Millis, g *generation, shard int, delay zinniatide.Millis) {
	s := &g.shards[shard]
	if s.inFlight > 0 || s.closed {
		return
	}
	if now+delay >= r.deadline || !r.hasReplica(now, g, shard) {
		r.awaitOwnerOrGiveUp(now, g, shard)
		return
	}
	if !r.budgets.retries.take() {
		r.giveUp(now, g, shard)
		return
	}
	if delay > 0 {
		// While the shard waits, no canary is in flight.
		s.retryAt, s.hedgeAt, r.canaryDeadline = now+delay, 0, 0
		return
	}
	first := len(g.attempts)
	r.addAttempt(now, g, shard)
	r.sendAttempts(now, g, first)
}

func (r *searchRun) hasReplica(now zinniatide.Millis, g *generation, shard int) bool {
	if r.hasUntriedReplica(now, g, shard) {
		return true
	}
	s := &g.shards[shard]
	for _, replica := range r.latestVersion(g, shard).Replicas(shard) {
		if !contains(r.triedServers(g, s, false), replica.Server) {
			return true
		}
	}
	return false
}

func contains(ids []zinniatide.BackendServerID, id zinniatide.BackendServerID) bool {
	for i := range ids {
		if ids[i] == id {
			return true
		}
	}
	return false
}

// retryAfterOwnerDelay schedules a retry of a shard while the bucket of its
// server moves to another VM.
func (r *searchRun) retryAfterOwnerDelay(now zinniatide.Millis, g *generation, shard int) {
	s := &g.shards[shard]
	if s.inFlight > 0 || s.closed {
		return
	}
	if s.ownerWaitStart == 0 {
		s.ownerWaitStart = max(now, 1) // zero means that the shard has not waited
	}
	// 10 only avoids an overflow of the shift: MaxOwnerRetryDelay limits the delay.
	delay := min(r.config.OwnerRetryDelay<<min(s.backoffSteps, 10), r.config.MaxOwnerRetryDelay)
	s.backoffSteps++
	if now+delay >= s.ownerWaitStart+r.config.MaxOwnerWait || now+delay >= r.deadline {
		r.giveUp(now, g, shard)
		return
	}
	// While the shard waits, no canary is in flight.
	s.retryAt, s.hedgeAt, r.canaryDeadline = now+delay, 0, 0
}

// awaitOwnerOrGiveUp handles a shard without a replica: it schedules a retry while
// the bucket of a server moves to another VM, and gives the shard up otherwise.
func (r *searchRun) awaitOwnerOrGiveUp(now zinniatide.Millis, g *generation, shard int) {
	if r.latestVersion(g, shard).AwaitsOwner(shard) {
		r.retryAfterOwnerDelay(now, g, shard)
		return
	}
	r.giveUp(now, g, shard)
}

// giveUp gives up a shard. When a server refused the version, the search may be
// restarted on another one.
func (r *searchRun) giveUp(now zinniatide.Millis, g *generation, shard int) {
	if g.shards[shard].closed {
		return
	}
	g.lostKeys += uint64(g.version.Shards[shard].End - g.version.Shards[shard].First)
	r.closeShard(g, shard)
	if g.wrongVersion && r.restart(now, g) {
		return
	}
	if r.canaryPhase {
		r.handleCanaryGivenUp(now, g)
		return
	}
	r.finishIfComplete()
}

// handleCanaryGivenUp sends another shard as the canary when the canary's shard
// was given up without a crash.
func (r *searchRun) handleCanaryGivenUp(now zinniatide.Millis, g *generation) {
	if r.unresolvedCrash {
		r.finish()
		return
	}
	if !r.sendCanary(now, g) {
		r.endCanaryPhase(now)
	}
}

// restart restarts the search on another version. It does so at most once, and
// only when that version covers more keys than this one still can and enough
// time is left for a median sub-request.
func (r *searchRun) restart(now zinniatide.Millis, g *generation) bool {
	if !r.config.AllowRestart || len(r.generations) > 1 || (r.canaryPhase && r.unresolvedCrash) {
		return false
	}
	service := r.index().Service(r.request.Service)
	if service == nil || now+r.service.Percentiles(now).P50 >= r.deadline {
		return false
	}
	other := service.PreferredVersion(g.version.Number)
	if other == nil || uint64(other.ServedKeys)+g.lostKeys <= zinniatide.KeySpace {
		return false
	}
	r.cancelAttempts(g)
	r.startGeneration(now, other)
	return true
}

func (r *searchRun) cancelAttempts(g *generation) {
	for i := range g.attempts {
		r.cancelAttempt(g, i)
	}
}

// handleRetryDecision processes the arbiter's reply to a reported crash.
func (r *searchRun) handleRetryDecision(now zinniatide.Millis, generation, shard int, retryAllowed, quarantined bool) {
	g := r.generations[generation]
	r.quarantined = r.quarantined || quarantined
	if r.done || generation != len(r.generations)-1 || g.shards[shard].closed {
		return
	}
	if quarantined {
		r.finish()
		return
	}
	if !retryAllowed {
		if g.shards[shard].inFlight == 0 {
			r.giveUp(now, g, shard)
		}
		return
	}
	g.shards[shard].retryPermitted = true
	r.retry(now, g, shard, 0)
}

// finishIfComplete ends the search when no shard is open.
func (r *searchRun) finishIfComplete() {
	if !r.done && r.current().openShards == 0 {
		r.finish()
	}
}

// finish ends the search and cancels the attempts in flight.
func (r *searchRun) finish() {
	if !r.done {
		r.done = true
		r.cancelAttempts(r.current())
	}
}

// handleTimers processes expired timers and returns when the next one expires.
func (r *searchRun) handleTimers(now zinniatide.Millis) zinniatide.Millis {
	if r.done {
		return 0
	}
	if now >= r.deadline {
		r.lastFailure = zinniatide.CodeDeadlinePassed
		r.finish()
		return 0
	}
	if r.canaryPhase && r.canaryDeadline != 0 && now >= r.canaryDeadline {
		r.endCanaryPhase(now)
	}
	r.sendDue(now)
	if r.done {
		return 0
	}
	return r.nextTimer()
}

// sendDue sends the retries and hedges that are due.
func (r *searchRun) sendDue(now zinniatide.Millis) {
	g := r.current()
	r.hedgeDelay = r.computeHedgeDelay(now)
	first := len(g.attempts)
	for shard := range g.shards {
		s := &g.shards[shard]
		switch {
		case s.closed:
		case s.retryAt != 0 && s.retryAt <= now:
			s.retryAt = 0
			if !r.addAttempt(now, g, shard) {
				// Giving up a shard may start a new generation, so the attempts
				// of this one are sent first.
				r.sendAttempts(now, g, first)
				r.awaitOwnerOrGiveUp(now, g, shard)
				if r.done || r.current() != g {
					return
				}
				first = len(g.attempts)
			}
		case s.hedgeAt != 0 && s.hedgeAt <= now:
			r.hedge(now, g, shard)
		}
	}
	r.sendAttempts(now, g, first)
}

// hedge adds another attempt for a slow shard if the hedge budget allows it.
func (r *searchRun) hedge(now zinniatide.Millis, g *generation, shard int) {
	s := &g.shards[shard]
	s.hedgeAt = 0
	if s.inFlight == 0 || int(s.hedges) >= r.config.HedgesPerShard || !r.hasUntriedReplica(now, g, shard) {
		return
	}
	if r.canaryPhase && r.canaryServersUsed() >= r.maxCanaryServers {
		s.hedgeAt = now + r.hedgeDelay // the canary phase may have ended by then
		return
	}
	if !r.budgets.hedges.take() {
		if r.config.HedgeFraction > 0 {
			s.hedgeAt = now + r.hedgeDelay // other searches may refill the budget by then
		}
		return
	}
	s.hedges++
	r.addAttempt(now, g, shard)
	r.hedgesSent++
	r.retriesSent--
}

// nextTimer returns the earliest time at which a timer expires.
func (r *searchRun) nextTimer() zinniatide.Millis {
	at := r.deadline
	if r.canaryPhase && r.canaryDeadline != 0 {
		at = min(at, r.canaryDeadline)
	}
	g := r.current()
	for i := range g.shards {
		s := &g.shards[i]
		if s.retryAt != 0 {
			at = min(at, s.retryAt)
		}
		if s.hedgeAt != 0 {
			at = min(at, s.hedgeAt)
		}
	}
	return at
}
