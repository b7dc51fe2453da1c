package dispatcher

import (
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/connector"
	"zinniatide.example/zinniatide/dispatcher/queuer"
	"zinniatide.example/zinniatide/dispatcher/ramper"
)

// tick is the time-driven work of one server: deadlines, connections, starts.
// It returns when the next work is due.
func (s *server) tick() zinniatide.Millis {
	var e endings
	s.mu.Lock()
	// Read under the lock: a start must not be counted earlier than it is made.
	now := s.d.o.Clock.Now()
	for _, t := range s.running {
		if t.state == taskRunning && t.exchange.Deadline <= now {
			t.state, t.timedOut = taskReported, true
			s.failed(now-t.started, now)
			s.end(&e, t, unknown(zinniatide.CodeDeadlinePassed))
		}
	}
	s.connect(now)
	if s.pool.Gone() {
		s.refuseQueued(&e, zinniatide.CodeServerGone)
	}
	s.pump(now, &e)
	next := s.nextTick(now)
	s.mu.Unlock()
	e.report(s.d.metrics)
	return next
}

// nextTick returns when the server has work that no event announces. The
// server's lock is held.
func (s *server) nextTick(now zinniatide.Millis) zinniatide.Millis {
	if s.queue.Len() > 0 || s.paused {
		return now + TickInterval
	}
	next := s.pool.Next(now, now+idleInterval)
	for _, t := range s.running {
		if t.state == taskRunning {
			next = min(next, t.exchange.Deadline)
		}
	}
	return max(next, now+1)
}

// connect keeps connections warm while the server may get work. Without a
// lease all connections are closed: the next owner may begin. Otherwise the
// pool is only closed once nothing runs any more.
func (s *server) connect(now zinniatide.Millis) {
	code := s.closed(now)
	lost := now >= s.d.o.Configuration.LeaseUntil() ||
		!owns(s.gate.configuration, s.bucket, s.d.o.VM, s.d.o.Incarnation)
	switch {
	case lost, code == zinniatide.CodeNotOwner && len(s.running) == 0:
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

// ready is called by the pool when a connection has been opened.
func (s *server) ready() {
	var e endings
	s.mu.Lock()
	now := s.d.o.Clock.Now()
	s.pump(now, &e)
	s.mu.Unlock()
	e.report(s.d.metrics)
}

// quiet reports whether nothing runs or waits.
func (s *server) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0 && s.queue.Len() == 0
}

// retire refuses all new work for good.
func (s *server) retire(code zinniatide.Code, now zinniatide.Millis) {
	var e endings
	s.mu.Lock()
	s.retired, s.retiredAt = code, now
	s.refuseQueued(&e, code)
	s.mu.Unlock()
	e.report(s.d.metrics)
}

// reconcile brings the table in line with the catalogue and the configuration.
func (d *Dispatcher) reconcile(now zinniatide.Millis) {
	catalog, configuration := d.o.Catalog.Catalog(), d.o.Configuration.Configuration()
	if catalog == d.seen.catalog && configuration == d.seen.configuration {
		return
	}
	if configuration != d.seen.configuration {
		d.noteOwnership(configuration, now)
		d.noteMoves(configuration)
	}
	d.seen.catalog, d.seen.configuration = catalog, configuration
	old := d.servers.Load()
	next := &table{byID: make(map[zinniatide.BackendServerID]*server, len(old.byID))}
	for i := range catalog.Servers {
		status := &catalog.Servers[i]
		key := bucketKey{status.Zone, zinniatide.BucketOf(status.Server)}
		if _, ok := d.ownedSince[key]; !ok {
			continue
		}
		s := old.byID[status.Server]
		if s != nil && (s.address != status.Address || s.bucket != key) {
			// The successor waits until the old entry is reaped, so that slots
			// and starts are never counted in two entries.
			d.seen.catalog = nil
			continue
		}
		if s == nil && d.isClosing(status.Server) {
			d.seen.catalog = nil
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
			s.retire(d.reason(s, configuration), now)
			d.closing = append(d.closing, s)
		}
	}
}

func (d *Dispatcher) isClosing(id zinniatide.BackendServerID) bool {
	return slices.ContainsFunc(d.closing, func(s *server) bool { return s.id == id })
}

// reason tells why a server has left the table.
func (d *Dispatcher) reason(s *server, c *zinniatide.Configuration) zinniatide.Code {
	if owns(c, s.bucket, d.o.VM, d.o.Incarnation) {
		return zinniatide.CodeServerGone
	}
	return zinniatide.CodeNotOwner
}

// noteOwnership records since when each bucket is owned. The record is made
// after the fact, which errs on the safe side.
func (d *Dispatcher) noteOwnership(c *zinniatide.Configuration, now zinniatide.Millis) {
	for zone, buckets := range c.Buckets {
		for i := range buckets {
			key := bucketKey{zone, i}
			if !owns(c, key, d.o.VM, d.o.Incarnation) {
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

// settled returns when the requests of a replaced owner of the bucket have
// ended, 0 when there was none.
func (d *Dispatcher) settled(c *zinniatide.Configuration, key bucketKey) zinniatide.Millis {
	if !c.Buckets[key.zone][key.index].Settle {
		return 0
	}
	return d.ownedSince[key] + zinniatide.MaxRequestTime
}

// newServer adds a server. It starts cold, or where its former owner left it,
// but in any case one pacing window after this VM became the owner: the
// former owner's last starts count towards the same bound.
func (d *Dispatcher) newServer(a *zinniatide.Announcement, key bucketKey) *server {
	s := &server{d: d, id: a.Server, bucket: key, address: a.Address, incarnation: a.Incarnation}
	s.queue = queuer.New[*task](queueLimit)
	s.ramp = ramper.New(coldStart(a, d.seen.configuration))
	if w, ok := d.warmth.take(a.Server, a.Incarnation); ok {
		s.ramp.Restore(w.Level, w.Successes, w.Warm)
		s.health.Restore(w.Baseline)
	}
	s.settled = d.settled(d.seen.configuration, key)
	s.pace.Begin(d.ownedSince[key], s.ramp.Rate())
	s.pool = connector.New(connector.Options{
		Address: a.Address, Clock: d.o.Clock, Random: d.newRandom(), Dial: d.o.Dial, Ready: s.ready, Wake: d.ticker.At,
	})
	return s
}

// newRandom returns a generator for one pool, since they are not safe for
// concurrent use.
func (d *Dispatcher) newRandom() *rand.Rand {
	if d.o.Random == nil {
		return nil
	}
	return rand.New(rand.NewPCG(d.o.Random.Uint64(), d.o.Random.Uint64()))
}

// update takes over what the server announces and the configuration says.
func (s *server) update(a *zinniatide.Announcement, c *zinniatide.Configuration, now zinniatide.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Incarnation > s.incarnation {
		s.restarted(a.Incarnation, now)
	}
	if a.Incarnation == s.incarnation {
		s.draining = a.Draining
		s.services = s.services[:0]
		for i := range a.Offers {
			s.services = append(s.services, a.Offers[i].Service)
		}
	}
	slots, connections := bounds(a, c)
	s.slots.SetLimit(slots)
	s.pool.SetBounds(connections, slots+1)
	s.ramp.SetSetting(coldStart(a, c))
	s.pace.SetRate(now, s.ramp.Rate())
}

// Observe takes the load report of an announcement of an owned server. The
// cataloger calls it for each announcement.
func (d *Dispatcher) Observe(a zinniatide.Announcement) {
	s := d.servers.Load().byID[a.Server]
	if s == nil {
		return
	}
	now := d.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Incarnation == s.incarnation {
		s.distrust(a.Load.Busy, a.Load.Queue, now)
	}
}

// bounds returns the lowest slots and connections that the server and the
// settings of its services allow.
func bounds(a *zinniatide.Announcement, c *zinniatide.Configuration) (slots, connections int) {
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

// coldStart returns the most careful of the settings of the server's services.
func coldStart(a *zinniatide.Announcement, c *zinniatide.Configuration) zinniatide.ColdStartSetting {
	var all zinniatide.ColdStartSetting
	found := false
	for i := range a.Offers {
		setting, ok := c.Services[a.Offers[i].Service]
		if !ok {
			continue
		}
		cs := setting.ColdStart
		if found {
			cs.InitialRate = min(cs.InitialRate, all.InitialRate)
			cs.DoubleAfter = max(cs.DoubleAfter, all.DoubleAfter)
			cs.FullRate = max(cs.FullRate, all.FullRate)
		}
		all, found = cs, true
	}
	return all
}
