package querier

import "zinniatide.example/zinniatide"

// result takes the result of an attempt. Results of attempts that no longer
// matter are ignored: those of cancelled attempts, of shards that were answered
// and of an older generation.
func (r *run) result(now zinniatide.Millis, gen, number int, result zinniatide.SubResult) {
	g := r.gens[gen]
	a := &g.attempts[number]
	if r.done || a.state != inFlight {
		return
	}
	if gen != len(r.gens)-1 || !a.kept {
		r.late(gen, a, &result)
		return
	}
	shard := int(a.shard)
	s := &g.shards[shard]
	s.pending--
	a.state = barred
	a.crashed = result.Crashed
	r.ran = r.ran || result.Outcome != zinniatide.OutcomeNotRun
	if result.Outcome == zinniatide.OutcomeDone {
		if err := g.merger.Add(shard, result.Body); err == nil {
			a.state = answered
			r.answered(now, g, shard)
			return
		}
		a.record.Fail(now)
		result.Code = zinniatide.CodeBadAnswer
	}
	r.failure = result.Code
	if result.Crashed {
		r.crash(now, gen, shard)
		return
	}
	if result.Outcome == zinniatide.OutcomeNotRun {
		r.notRun(now, g, shard, a, result.Code)
		return
	}
	r.retry(now, g, shard, 0)
}

// late takes the result of an attempt that does not matter any more. Only a
// crash is of interest.
func (r *run) late(gen int, a *attempt, result *zinniatide.SubResult) {
	a.state, a.crashed = barred, result.Crashed
	if result.Crashed {
		r.carrier.crashed(gen, int(a.shard), !r.proven, false)
	}
}

// crash handles a server that was lost while it ran the request. During the
// canary phase the servers that may still be asked are known. Later the guard
// of the fingerprint decides, because other VMs may run the request too.
func (r *run) crash(now zinniatide.Millis, gen, shard int) {
	g := r.gens[gen]
	s := &g.shards[shard]
	r.crashOpen = true
	tried := !r.proven || s.permit
	if !r.canary {
		s.permit = false
		r.carrier.crashed(gen, shard, tried, true)
		return
	}
	r.crashes++
	r.carrier.crashed(gen, shard, tried, false)
	if s.pending == 0 && r.canaryUsed() < r.canaryServers {
		r.retry(now, g, shard, 0)
	}
	if !r.done && r.current() == g && s.pending == 0 && s.retryAt == 0 {
		r.deadly = r.crashes >= r.canaryServers
		r.finish()
	}
}

// answered closes a shard and cancels its other attempts.
func (r *run) answered(now zinniatide.Millis, g *generation, shard int) {
	if s := &g.shards[shard]; !r.proven || s.permit {
		r.proven, s.permit, r.crashOpen = true, false, false
		r.carrier.proven()
	}
	r.close(g, shard)
	r.release(now)
	r.checkEnd()
}

// close ends the work on a shard.
func (r *run) close(g *generation, shard int) {
	s := &g.shards[shard]
	s.closed, s.retryAt, s.hedgeAt = true, 0, 0
	g.open--
	for i := s.last; i >= 0 && s.pending > 0; i = g.attempts[i].before {
		r.abandon(g, int(i))
	}
}

// abandon cancels an attempt that is in flight.
func (r *run) abandon(g *generation, number int) {
	a := &g.attempts[number]
	if a.state != inFlight || !a.kept {
		return
	}
	a.kept = false
	g.shards[a.shard].pending--
	// Whether the attempt runs is not known any more.
	r.ran = true
	r.carrier.cancel(len(r.gens)-1, number)
}

// notRun handles a refusal.
func (r *run) notRun(now zinniatide.Millis, g *generation, shard int, a *attempt, code zinniatide.Code) {
	switch code {
	case zinniatide.CodeWrongVersion:
		g.wrong = true // the server stays barred for this version
		r.retry(now, g, shard, 0)
	case zinniatide.CodeNotOwner:
		a.state = refused
		if !r.another(now, g, shard) {
			r.later(now, g, shard)
		}
	default:
		a.state = refused
		if code == zinniatide.CodeOverloaded && r.another(now, g, shard) {
			return
		}
		delay := zinniatide.Millis(0)
		if !r.untried(now, g, shard) {
			delay = r.config.RetryDelay << min(g.shards[shard].tries, 6)
			g.shards[shard].tries++
		}
		r.retry(now, g, shard, delay)
	}
}

// another asks a replica that has not been asked yet, after a refusal by the
// owner. The refusing server has not been reached, so this costs it nothing and
// takes nothing from the budget.
func (r *run) another(now zinniatide.Millis, g *generation, shard int) bool {
	if g.shards[shard].pending > 0 || !r.untried(now, g, shard) {
		return false
	}
	first := len(g.attempts)
	r.try(now, g, shard)
	r.flush(now, g, first)
	return true
}

// retry sends a shard to another replica after delay, if the budget allows it
// and nothing else is in flight for the shard.
func (r *run) retry(now zinniatide.Millis, g *generation, shard int, delay zinniatide.Millis) {
	s := &g.shards[shard]
	if s.pending > 0 || s.closed {
		return
	}
	if now+delay >= r.until || !r.hasReplica(now, g, shard) {
		r.waitOrLose(now, g, shard)
		return
	}
	if !r.budgets.retries.take() {
		r.lose(now, g, shard)
		return
	}
	if delay > 0 {
		s.retryAt, s.hedgeAt, r.canaryUntil = now+delay, 0, 0
		return
	}
	first := len(g.attempts)
	r.try(now, g, shard)
	r.flush(now, g, first)
}

func (r *run) hasReplica(now zinniatide.Millis, g *generation, shard int) bool {
	if r.untried(now, g, shard) {
		return true
	}
	s := &g.shards[shard]
	for _, replica := range r.fresh(g, shard).Replicas(shard) {
		if !contains(r.asked(g, s, false), replica.Server) {
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

// later plans a shard again after a short delay, while a bucket is handed over.
func (r *run) later(now zinniatide.Millis, g *generation, shard int) {
	s := &g.shards[shard]
	if s.pending > 0 || s.closed {
		return
	}
	if s.waitFrom == 0 {
		s.waitFrom = max(now, 1)
	}
	delay := min(r.config.OwnerRetryDelay<<min(s.tries, 10), r.config.OwnerRetryMax)
	s.tries++
	if now+delay >= s.waitFrom+r.config.OwnerWait || now+delay >= r.until {
		r.lose(now, g, shard)
		return
	}
	s.retryAt, s.hedgeAt, r.canaryUntil = now+delay, 0, 0
}

// waitOrLose handles a shard without a replica: it waits while a bucket is
// handed over, and is given up otherwise.
func (r *run) waitOrLose(now zinniatide.Millis, g *generation, shard int) {
	if r.fresh(g, shard).Pending(shard) {
		r.later(now, g, shard)
		return
	}
	r.lose(now, g, shard)
}

// lose gives up a shard. When a server refused the version, the query may start
// again on another version.
func (r *run) lose(now zinniatide.Millis, g *generation, shard int) {
	if g.shards[shard].closed {
		return
	}
	g.lostKeys += uint64(g.version.Shards[shard].Last - g.version.Shards[shard].First)
	r.close(g, shard)
	if g.wrong && r.restart(now, g) {
		return
	}
	if r.canary {
		r.canaryLost(now, g)
		return
	}
	r.checkEnd()
}

// canaryLost asks another shard when the canary's shard was given up without
// a crash.
func (r *run) canaryLost(now zinniatide.Millis, g *generation) {
	if r.crashOpen {
		r.finish()
		return
	}
	if !r.sendCanary(now, g) {
		r.release(now)
	}
}

// restart starts the query again on another version, once, when that version
// covers more than this one still can and the deadline leaves time for it.
func (r *run) restart(now zinniatide.Millis, g *generation) bool {
	if !r.config.Restart || len(r.gens) > 1 || (r.canary && r.crashOpen) {
		return false
	}
	service := r.index().Service(r.request.Service)
	if service == nil || now+r.service.Percentiles(now).P50 >= r.until {
		return false
	}
	other := service.Best(g.version.Number)
	if other == nil || uint64(other.ServedKeys)+g.lostKeys <= zinniatide.KeySpace {
		return false
	}
	r.abandonAll(g)
	r.begin(now, other)
	return true
}

func (r *run) abandonAll(g *generation) {
	for i := range g.attempts {
		r.abandon(g, i)
	}
}

// permit takes the reply to a reported crash.
func (r *run) permit(now zinniatide.Millis, gen, shard int, allowed, quarantined bool) {
	g := r.gens[gen]
	r.deadly = r.deadly || quarantined
	if r.done || gen != len(r.gens)-1 || g.shards[shard].closed {
		return
	}
	if quarantined {
		r.finish()
		return
	}
	if !allowed {
		if g.shards[shard].pending == 0 {
			r.lose(now, g, shard)
		}
		return
	}
	g.shards[shard].permit = true
	r.retry(now, g, shard, 0)
}

// checkEnd ends the run when no shard is open.
func (r *run) checkEnd() {
	if !r.done && r.current().open == 0 {
		r.finish()
	}
}

// finish ends the run and cancels what is in flight.
func (r *run) finish() {
	if !r.done {
		r.done = true
		r.abandonAll(r.current())
	}
}

// wake does what is due at now, and returns when to wake next.
func (r *run) wake(now zinniatide.Millis) zinniatide.Millis {
	if r.done {
		return 0
	}
	if now >= r.until {
		r.failure = zinniatide.CodeDeadlinePassed
		r.finish()
		return 0
	}
	if r.canary && r.canaryUntil != 0 && now >= r.canaryUntil {
		r.release(now)
	}
	r.due(now)
	if r.done {
		return 0
	}
	return r.next()
}

// due sends the retries and hedges that are due.
func (r *run) due(now zinniatide.Millis) {
	g := r.current()
	r.hedgeWait = r.hedgeDelay(now)
	first := len(g.attempts)
	for shard := range g.shards {
		s := &g.shards[shard]
		switch {
		case s.closed:
		case s.retryAt != 0 && s.retryAt <= now:
			s.retryAt = 0
			if !r.try(now, g, shard) {
				// Shards that are given up may start a new generation.
				r.flush(now, g, first)
				r.waitOrLose(now, g, shard)
				if r.done || r.current() != g {
					return
				}
				first = len(g.attempts)
			}
		case s.hedgeAt != 0 && s.hedgeAt <= now:
			r.hedge(now, g, shard)
		}
	}
	r.flush(now, g, first)
}

// hedge sends one more attempt of a slow shard, if the budget allows it.
func (r *run) hedge(now zinniatide.Millis, g *generation, shard int) {
	s := &g.shards[shard]
	s.hedgeAt = 0
	if s.pending == 0 || int(s.hedges) >= r.config.HedgesPerShard || !r.untried(now, g, shard) {
		return
	}
	if r.canary && r.canaryUsed() >= r.canaryServers {
		s.hedgeAt = now + r.hedgeWait // the canary phase may end before
		return
	}
	if !r.budgets.hedges.take() {
		if r.config.HedgeFraction > 0 {
			s.hedgeAt = now + r.hedgeWait // other queries fill the bucket
		}
		return
	}
	s.hedges++
	r.try(now, g, shard)
	r.hedgesSent++
	r.retriesSent--
}

// next returns the earliest time at which something is due.
func (r *run) next() zinniatide.Millis {
	at := r.until
	if r.canary && r.canaryUntil != 0 {
		at = min(at, r.canaryUntil)
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
