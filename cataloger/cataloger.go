// Package cataloger collects the announcements of backend servers at the owners of
// their buckets and replicates a catalog of the servers to every entry VM.
//
// Entry VMs use it; relay VMs and their control VMs use package enroller, in which
// control VMs broadcast the heartbeats of the servers.
package cataloger

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
)

const (
	// orphanCheckInterval is the time between checks of servers that their owner
	// does not list. Other changes are published at once.
	orphanCheckInterval zinniatide.Millis = 20
	// digestInterval is the time after which an unchanged digest is sent again, in
	// case one was lost.
	digestInterval zinniatide.Millis = 500
	pullTimeout    zinniatide.Millis = 1000
)

// Options are the dependencies of a Cataloger.
type Options struct {
	VM            zinniatide.VMID
	Process       zinniatide.ProcessID
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Linker        zinniatide.Linker
	// OnAnnouncement is called with every announcement that this VM accepts into
	// its table. It must not block. It may be nil.
	OnAnnouncement func(zinniatide.Announcement)
	// OnChange is called after the catalog has been replaced. It must not block and
	// must not call the Cataloger. It may be nil.
	OnChange func()
}

// Cataloger implements zinniatide.Announcer and zinniatide.CatalogProvider.
type Cataloger struct {
	options Options
	catalog atomic.Pointer[zinniatide.Catalog]

	mu      sync.Mutex
	table   *table
	builder *catalogBuilder
	// publishedSequence is the sequence of the table in the last digest sent.
	publishedSequence uint64
	nextDigestAt      zinniatide.Millis
	// pullsInFlight holds the VMs from which a list is being pulled.
	pullsInFlight map[zinniatide.VMID]digest
	// builtConfiguration is the configuration from which the catalog was built.
	builtConfiguration *zinniatide.Configuration
	needsBuild         bool

	ticker  *ticker.Ticker
	stop    chan struct{}
	stopped sync.WaitGroup
}

var (
	_ zinniatide.Announcer       = (*Cataloger)(nil)
	_ zinniatide.CatalogProvider = (*Cataloger)(nil)
)

// New returns a cataloger and registers its handlers with the Linker. The
// cataloger is idle until Start.
func New(o Options) *Cataloger {
	c := &Cataloger{
		options: o, table: newTable(), builder: newCatalogBuilder(),
		pullsInFlight: map[zinniatide.VMID]digest{}, stop: make(chan struct{}),
	}
	c.catalog.Store(&zinniatide.Catalog{})
	c.ticker = ticker.New(o.Clock, c.Tick)
	o.Linker.Handle(zinniatide.KindAnnounce, c.receiveAnnounce)
	o.Linker.Handle(zinniatide.KindCatalogDigest, c.receiveDigest)
	o.Linker.Handle(zinniatide.KindCatalogPull, c.receivePull)
	return c
}

// Start runs Tick when it is due until Close.
func (c *Cataloger) Start() {
	c.stopped.Add(1)
	go func() {
		defer c.stopped.Done()
		c.ticker.Run(c.stop)
	}()
}

// TriggerTick triggers a Tick. It must be called after each change of the
// configuration.
func (c *Cataloger) TriggerTick() { c.ticker.Wake() }

// Close stops the ticks. It must be called only once.
func (c *Cataloger) Close() {
	close(c.stop)
	c.stopped.Wait()
}

// Catalog implements zinniatide.CatalogProvider.
func (c *Cataloger) Catalog() *zinniatide.Catalog { return c.catalog.Load() }

// Announce implements zinniatide.Announcer. The error is a *zinniatide.Refusal.
func (c *Cataloger) Announce(a zinniatide.Announcement) (announceAt string, err error) {
	if err := Validate(&a); err != nil {
		return "", err
	}
	configuration := c.options.Configuration.Configuration()
	_, announceTo := ownerOf(configuration, &a)
	switch announceTo {
	case "":
		return "", zinniatide.Refuse(zinniatide.CodeNotOwner, "no VM owns the bucket of server %s in zone %s", a.Server, a.Zone)
	case c.options.VM:
		err = c.accept(&a)
	default:
		if err = c.checkIncarnation(&a); err == nil && c.options.Linker.Send(announceTo, zinniatide.KindAnnounce, a) != nil {
			err = zinniatide.Refuse(zinniatide.CodePeerLost, "owner %s of server %s cannot be reached", announceTo, a.Server)
		}
	}
	if err != nil {
		return "", err
	}
	return configuration.Members[announceTo].HTTPAddress, nil
}

// checkIncarnation refuses an announcement if the catalog holds a newer
// incarnation of the server.
func (c *Cataloger) checkIncarnation(a *zinniatide.Announcement) error {
	servers := c.catalog.Load().Servers
	i, ok := slices.BinarySearchFunc(servers, a.Server, func(s zinniatide.ServerStatus, id zinniatide.BackendServerID) int {
		return strings.Compare(string(s.Server), string(id))
	})
	if ok && a.Incarnation < servers[i].Incarnation {
		return supersededError(a, servers[i].Incarnation)
	}
	return nil
}

// accept adds a valid announcement to the table of this VM. It does not check
// whether this VM owns the bucket in its own configuration, because the sender's
// configuration may be newer.
func (c *Cataloger) accept(a *zinniatide.Announcement) error {
	if err := c.checkIncarnation(a); err != nil {
		return err
	}
	c.mu.Lock()
	before := c.table.sequence
	err := c.table.put(a, c.options.Clock.Now())
	changed := c.table.sequence != before
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		c.Tick()
	}
	if c.options.OnAnnouncement != nil {
		c.options.OnAnnouncement(*a)
	}
	return nil
}

// Tick expires servers without recent announcements, publishes changes and
// rebuilds the catalog. It returns the time of the next tick.
func (c *Cataloger) Tick() zinniatide.Millis {
	now := c.options.Clock.Now()
	configuration := c.options.Configuration.Configuration()
	c.mu.Lock()
	c.table.expire(now)
	current := digest{c.options.Process, c.table.sequence}
	if c.builder.outdated(c.options.VM, current) {
		c.builder.put(c.options.VM, list{current.Process, current.Sequence, c.table.list()}, now)
		c.needsBuild = true
	}
	if c.needsBuild || configuration != c.builtConfiguration || len(c.builder.orphanedSince) > 0 {
		c.rebuild(configuration, now)
	}
	due := c.digestDue(current, now)
	next := c.nextTick(now)
	c.mu.Unlock()
	if due {
		c.sendDigest(configuration, current)
	}
	return next
}

// nextTick returns when the next timed work is due. The caller must hold mu.
func (c *Cataloger) nextTick(now zinniatide.Millis) zinniatide.Millis {
	next := c.table.nextExpiry(now + digestInterval)
	if c.table.sequence != 0 {
		next = min(next, c.nextDigestAt)
	}
	if len(c.builder.orphanedSince) > 0 {
		next = min(next, now+orphanCheckInterval)
	}
	return next
}

// digestDue reports whether a digest must be sent now, and records that it is
// sent. A digest is due right after a change and then every digestInterval. A VM
// that has never listed a server sends none. The caller must hold mu.
func (c *Cataloger) digestDue(own digest, now zinniatide.Millis) bool {
	if own.Sequence == 0 || (own.Sequence == c.publishedSequence && now < c.nextDigestAt) {
		return false
	}
	c.publishedSequence, c.nextDigestAt = own.Sequence, now+digestInterval
	return true
}

// sendDigest sends the sequence of this VM's list to all other entry VMs.
func (c *Cataloger) sendDigest(configuration *zinniatide.Configuration, own digest) {
	for id, m := range configuration.Members {
		if m.Entry && id != c.options.VM {
			// A lost digest is sent again after digestInterval.
			_ = c.options.Linker.Send(id, zinniatide.KindCatalogDigest, own)
		}
	}
}

// rebuild builds the catalog and replaces the published one if it has changed.
// The caller must hold mu.
func (c *Cataloger) rebuild(configuration *zinniatide.Configuration, now zinniatide.Millis) {
	servers := c.builder.merge(configuration, now)
	c.builtConfiguration, c.needsBuild = configuration, false
	old := c.catalog.Load()
	unchanged := slices.EqualFunc(old.Servers, servers, func(x, y zinniatide.ServerStatus) bool {
		return x.Server == y.Server && x.Owner == y.Owner && sameExceptLoad(&x.Announcement, &y.Announcement)
	})
	if !unchanged {
		c.catalog.Store(&zinniatide.Catalog{Sequence: old.Sequence + 1, Servers: servers})
		if c.options.OnChange != nil {
			c.options.OnChange()
		}
	}
}

// pullIfOutdated pulls the list of vm if d is newer than the one held here and no
// pull from vm is in flight.
func (c *Cataloger) pullIfOutdated(vm zinniatide.VMID, d digest) {
	c.mu.Lock()
	_, pending := c.pullsInFlight[vm]
	needed := !pending && c.builder.outdated(vm, d)
	if needed {
		c.pullsInFlight[vm] = d
	}
	c.mu.Unlock()
	if !needed {
		return
	}
	c.options.Linker.Call(vm, zinniatide.KindCatalogPull, struct{}{}, pullTimeout, func(body []byte, err error) {
		var l list
		if err == nil {
			l, err = decodeList(body)
		}
		c.mu.Lock()
		delete(c.pullsInFlight, vm)
		if err == nil && c.builder.put(vm, l, c.options.Clock.Now()) {
			c.needsBuild = true
		}
		c.mu.Unlock()
		if err != nil {
			// The next digest triggers another pull.
			klog.ErrorS(zinniatide.WrapStep(err, "pull catalog", string(vm)), "failed to pull the server list of a peer", "step", "pull", "peer", vm)
			return
		}
		c.Tick()
	})
}
