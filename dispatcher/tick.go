package dispatcher

import (
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/connector"
	"zinniatide.example/zinniatide/dispatcher/queuer"
	"zinniatide.example/zinniatide/dispatcher/ramper"
)

// tick ends expired requests, maintains the connections and starts queued
// requests of one server. It returns when the next tick is due.
func (s *server) tick() zinniatide.Millis {
	var pending pendingResults
	s.mu.Lock()
	// Read the clock under the lock, so that the pacer never records a start at
	// an earlier time than it happens.
	now := s.d.options.Clock.Now()
	for _, t := range s.running {
		if t.state == taskRunning && t.exchange.Deadline <= now {
			t.state, t.timedOut = taskReported, true
			s.recordFailure(now-t.started, now)
			s.addResult(&pending, t, unknown(zinniatide.CodeDeadlinePassed))
		}
	}
	s.updateConnections(now)
	if s.pool.Unreachable() {
		s.refuseQueued(&pending, zinniatide.CodeServerGone)
	}
	s.startQueued(now, &pending)
	next := s.nextTick(now)
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
	return next
}

// nextTick returns when the server next has work that is not triggered by an
// event. The caller must hold s.mu.
func (s *server) nextTick(now zinniatide.Millis) zinniatide.Millis {
	if s.queue.Len() > 0 || s.paused {
		return now + TickInterval
	}
	next := s.pool.NextTick(now, now+idleTickInterval)
	for _, t := range s.running {
		if t.state == taskRunning {
			next = min(next, t.exchange.Deadline)
		}
	}
	return max(next, now+1)
}

// updateConnections keeps connections open while the server may get work.
// Without the lease or the bucket it closes all connections at once, because the
// next owner may start work. If new work is refused with CodeNotOwner for another
// reason, such as a handover, it closes them once no request runs.
func (s *server) updateConnections(now zinniatide.Millis) {
	code := s.refusalCode(now)
	lostOwnership := now >= s.d.options.Configuration.LeaseUntil() ||
		!owns(s.configCheck.configuration, s.bucket, s.d.options.VM, s.d.options.Process)
	switch {
	case lostOwnership, code == zinniatide.CodeNotOwner && len(s.running) == 0:
		if !s.paused {
			s.paused = true
			s.pool.Pause()
		}
	case s.paused && code == "":
		s.paused = false
		s.pool.Resume()
	}
	s.pool.Tick(now)
}

// dialFinished is the pool's callback after each connection attempt, successful
// or not.
func (s *server) dialFinished() {
	var pending pendingResults
	s.mu.Lock()
	now := s.d.options.Clock.Now()
	s.startQueued(now, &pending)
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
}

// idle reports whether no request is running or queued.
func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0 && s.queue.Len() == 0
}

// retire refuses all queued and future requests with code.
func (s *server) retire(code zinniatide.Code, now zinniatide.Millis) {
	var pending pendingResults
	s.mu.Lock()
	s.retiredCode, s.retiredAt = code, now
	s.refuseQueued(&pending, code)
	s.mu.Unlock()
	pending.deliver(s.d.metrics)
}

// reconcile rebuilds the table of servers after a change of the catalog or the
// configuration.
func (d *Dispatcher) reconcile(now zinniatide.Millis) {
	catalog, configuration := d.options.Catalog.Catalog(), d.options.Configuration.Configuration()
	if catalog == d.reconciled.catalog && configuration == d.reconciled.configuration {
		return
	}
	if configuration != d.reconciled.configuration {
		d.updateOwnership(configuration, now)
		d.updateHandovers(configuration)
	}
	d.reconciled.catalog, d.reconciled.configuration = catalog, configuration
	old := d.servers.Load()
	next := &serverTable{byID: make(map[zinniatide.BackendServerID]*server, len(old.byID))}
	for i := range catalog.Servers {
		status := &catalog.Servers[i]
		key := bucketKey{status.Zone, zinniatide.BucketOf(status.Server)}
		if _, ok := d.ownedSince[key]; !ok {
			continue
		}
		s := old.byID[status.Server]
		if s != nil && (s.address != status.Address || s.bucket != key) {
			// The new entry is added after the old one has been removed, so that
			// slots and starts are never counted in two entries. Clearing the
			// catalog makes the next tick try again.
			d.reconciled.catalog = nil
			continue
		}
		if s == nil && d.isRetired(status.Server) {
			d.reconciled.catalog = nil
			continue
		}
		if s == nil {
			s = d.newServer(&status.Announcement, key)
		}
		s.update(&status.Announcement, configuration, now)
		next.byID[s.id] = s
		next.all = append(next.all, s)
	}
	d.servers.Store(next)
	d.metrics.servers.Set(float64(len(next.all)))
	for _, s := range old.all {
		if next.byID[s.id] != s {
			s.retire(d.retirementCode(s, configuration), now)
			d.retired = append(d.retired, s)
		}
	}
}

func (d *Dispatcher) isRetired(id zinniatide.BackendServerID) bool {
	return slices.ContainsFunc(d.retired, func(s *server) bool { return s.id == id })
}

// retirementCode returns why a server has left the table.
func (d *Dispatcher) retirementCode(s *server, c *zinniatide.Configuration) zinniatide.Code {
	if owns(c, s.bucket, d.options.VM, d.options.Process) {
		return zinniatide.CodeServerGone
	}
	return zinniatide.CodeNotOwner
}

// updateOwnership records since when each bucket is owned. The recorded time is
// never before the actual start of ownership, so that waits derived from it are
// long enough.
func (d *Dispatcher) updateOwnership(c *zinniatide.Configuration, now zinniatide.Millis) {
	for zone, buckets := range c.Buckets {
		for i := range buckets {
			key := bucketKey{zone, i}
			if !owns(c, key, d.options.VM, d.options.Process) {
				delete(d.ownedSince, key)
			} else if _, ok := d.ownedSince[key]; !ok {
				d.ownedSince[key] = now
			}
		}
	}
	for key := range d.ownedSince {
		if _, ok := c.Buckets[key.zone]; !ok {
			delete(d.ownedSince, key)
		}
	}
}

// previousOwnerDoneAt returns when all requests of the bucket's previous owner
// have ended, if that owner was replaced before its lease had run out.
// Otherwise it returns 0.
func (d *Dispatcher) previousOwnerDoneAt(c *zinniatide.Configuration, key bucketKey) zinniatide.Millis {
	if !c.Buckets[key.zone][key.index].DelayStart {
		return 0
	}
	return d.ownedSince[key] + zinniatide.MaxRequestTime
}

// newServer returns a server that is cold or has the warm state received from
// its previous owner. While it has a rate limit, its first start comes at least
// one pacing window after this VM became the owner, because the previous owner's
// last starts count towards the same limit.
func (d *Dispatcher) newServer(a *zinniatide.Announcement, key bucketKey) *server {
	s := &server{d: d, id: a.Server, bucket: key, address: a.Address, incarnation: a.Incarnation}
	s.queue = queuer.New[*task](queueLimit)
	s.ramp = ramper.New(coldStartSetting(a, d.reconciled.configuration))
	if w, ok := d.warmStates.take(a.Server, a.Incarnation); ok {
		s.ramp.Restore(w.Level, w.Successes, w.Warm)
		s.detector.Restore(w.Baseline)
	}
	s.previousOwnerDoneAt = d.previousOwnerDoneAt(d.reconciled.configuration, key)
	s.pacer.Init(d.ownedSince[key], s.ramp.Rate())
	s.pool = connector.New(connector.Options{
		Address: a.Address, Clock: d.options.Clock, Random: d.newRandom(), Dial: d.options.Dial, OnDialDone: s.dialFinished, RequestTick: d.ticker.ScheduleAt,
		AnswerBudget: d.answerBudget,
	})
	return s
}

// newRandom returns a generator for one pool. Pools can't share one because
// rand.Rand is not safe for concurrent use.
func (d *Dispatcher) newRandom() *rand.Rand {
	if d.options.Random == nil {
		return nil
	}
	return rand.New(rand.NewPCG(d.options.Random.Uint64(), d.options.Random.Uint64()))
}

// update applies an announcement of the server and the configuration.
func (s *server) update(a *zinniatide.Announcement, c *zinniatide.Configuration, now zinniatide.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Incarnation > s.incarnation {
		s.setIncarnation(a.Incarnation, now)
	}
	if a.Incarnation == s.incarnation {
		s.draining = a.Draining
		s.services = s.services[:0]
		for i := range a.Offers {
			s.services = append(s.services, a.Offers[i].Service)
		}
	}
	slots, connections := serverLimits(a, c)
	s.slots.SetLimit(slots)
	s.pool.SetConnLimits(connections, slots+1)
	s.ramp.SetSetting(coldStartSetting(a, c))
	s.pacer.SetRate(now, s.ramp.Rate())
}

// Observe applies the load report of an announcement if this VM owns the
// server. The cataloger calls it for each announcement.
func (d *Dispatcher) Observe(a zinniatide.Announcement) {
	s := d.servers.Load().byID[a.Server]
	if s == nil {
		return
	}
	now := d.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Incarnation == s.incarnation {
		s.applyLoadReport(a.Load.Busy, a.Load.Queue, now)
	}
}

// serverLimits returns the lowest limits on slots and connections among the
// announcement and the settings of the server's services.
func serverLimits(a *zinniatide.Announcement, c *zinniatide.Configuration) (slots, connections int) {
	slots, connections = int(a.Slots), int(a.Connections)
	for i := range a.Offers {
		setting := c.Services[a.Offers[i].Service]
		if setting.Slots > 0 {
			slots = min(slots, int(setting.Slots))
		}
		if setting.Connections > 0 {
			connections = min(connections, int(setting.Connections))
		}
	}
	return min(slots, connections), connections
}

// coldStartSetting combines the settings of the server's services, taking the
// most conservative value of each field.
func coldStartSetting(a *zinniatide.Announcement, c *zinniatide.Configuration) zinniatide.ColdStartSetting {
	var combined zinniatide.ColdStartSetting
	found := false
	for i := range a.Offers {
		setting, ok := c.Services[a.Offers[i].Service]
		if !ok {
			continue
		}
		cs := setting.ColdStart
		if found {
			cs.InitialRate = min(cs.InitialRate, combined.InitialRate)
			cs.DoubleAfter = max(cs.DoubleAfter, combined.DoubleAfter)
			cs.FullRate = max(cs.FullRate, combined.FullRate)
		}
		combined, found = cs, true
	}
	return combined
}
