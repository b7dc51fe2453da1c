// Package cataloger collects the announcements of backend servers and gives
// every VM the same catalogue of them.
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
	// orphanInterval is how often servers without an owner are looked at. Other
	// changes are published at once.
	orphanInterval zinniatide.Millis = 20
	// digestInterval is how often an unchanged digest is repeated, in case one
	// was lost.
	digestInterval zinniatide.Millis = 500
	pullTimeout    zinniatide.Millis = 1000
)

// Options are the dependencies of a Cataloger.
type Options struct {
	VM            zinniatide.VMID
	Incarnation   zinniatide.Incarnation
	Clock         zinniatide.Clock
	Configuration zinniatide.ConfigurationProvider
	Linker        zinniatide.Linker
	// Observe is called, when set, with every announcement that this VM takes
	// into its table. It must not block.
	Observe func(zinniatide.Announcement)
	// Changed is called, when set, after the catalogue has been replaced. It
	// must not block, and must not call the Cataloger.
	Changed func()
}

// Cataloger implements zinniatide.Announcer and zinniatide.CatalogProvider.
type Cataloger struct {
	o       Options
	catalog atomic.Pointer[zinniatide.Catalog]

	mu       sync.Mutex
	table    *table
	assembly *assembly
	// published is the table's sequence that the last digest carried.
	published uint64
	digestAt  zinniatide.Millis
	// pulling holds the digest that each VM is being asked for.
	pulling map[zinniatide.VMID]digest
	// merged is the configuration that the catalogue was assembled under.
	merged *zinniatide.Configuration
	dirty  bool

	ticker  *ticker.Ticker
	stop    chan struct{}
	stopped sync.WaitGroup
}

var (
	_ zinniatide.Announcer       = (*Cataloger)(nil)
	_ zinniatide.CatalogProvider = (*Cataloger)(nil)
)

// New returns a cataloger that does nothing until Start, and registers its
// link handlers.
func New(o Options) *Cataloger {
	c := &Cataloger{
		o: o, table: newTable(), assembly: newAssembly(),
		pulling: map[zinniatide.VMID]digest{}, stop: make(chan struct{}),
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

// Wake runs Tick soon. It is called after each change of the configuration.
func (c *Cataloger) Wake() { c.ticker.Wake() }

// Close stops the ticks. A Cataloger is closed once.
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
	configuration := c.o.Configuration.Configuration()
	_, owner := ownerOf(configuration, &a)
	switch owner {
	case "":
		return "", zinniatide.Refuse(zinniatide.CodeNotOwner, "no VM owns the bucket of server %s in zone %s", a.Server, a.Zone)
	case c.o.VM:
		err = c.take(&a)
	default:
		if err = c.known(&a); err == nil && c.o.Linker.Send(owner, zinniatide.KindAnnounce, a) != nil {
			err = zinniatide.Refuse(zinniatide.CodePeerLost, "owner %s of server %s cannot be reached", owner, a.Server)
		}
	}
	if err != nil {
		return "", err
	}
	return configuration.Members[owner].HTTPAddress, nil
}

// known refuses an announcement that the catalogue shows to be outdated.
func (c *Cataloger) known(a *zinniatide.Announcement) error {
	servers := c.catalog.Load().Servers
	i, ok := slices.BinarySearchFunc(servers, a.Server, func(s zinniatide.ServerStatus, id zinniatide.BackendServerID) int {
		return strings.Compare(string(s.Server), string(id))
	})
	if ok && a.Incarnation < servers[i].Incarnation {
		return superseded(a, servers[i].Incarnation)
	}
	return nil
}

// take puts a valid announcement into the table of this VM. It does so also
// when the newest configuration here does not name it the owner: the sender's
// may be newer.
func (c *Cataloger) take(a *zinniatide.Announcement) error {
	if err := c.known(a); err != nil {
		return err
	}
	c.mu.Lock()
	before := c.table.sequence
	err := c.table.put(a, c.o.Clock.Now())
	changed := c.table.sequence != before
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		c.Tick()
	}
	if c.o.Observe != nil {
		c.o.Observe(*a)
	}
	return nil
}

// Tick expires silent servers, publishes changes and assembles the catalogue.
// It returns when it is due again.
func (c *Cataloger) Tick() zinniatide.Millis {
	now := c.o.Clock.Now()
	configuration := c.o.Configuration.Configuration()
	c.mu.Lock()
	c.table.expire(now)
	own := digest{c.o.Incarnation, c.table.sequence}
	if c.assembly.behind(c.o.VM, own) {
		c.assembly.put(c.o.VM, list{own.Incarnation, own.Sequence, c.table.list()}, now)
		c.dirty = true
	}
	if c.dirty || configuration != c.merged || len(c.assembly.orphans) > 0 {
		c.assemble(configuration, now)
	}
	due := c.digestDue(own, now)
	next := c.nextTick(now)
	c.mu.Unlock()
	if due {
		c.sendDigest(configuration, own)
	}
	return next
}

// nextTick returns when something is due without a further event.
func (c *Cataloger) nextTick(now zinniatide.Millis) zinniatide.Millis {
	next := c.table.nextExpiry(now + digestInterval)
	if c.table.sequence != 0 {
		next = min(next, c.digestAt)
	}
	if len(c.assembly.orphans) > 0 {
		next = min(next, now+orphanInterval)
	}
	return next
}

// digestDue is true at once after a change and then every digestInterval. A VM
// that has never listed a server stays silent.
func (c *Cataloger) digestDue(own digest, now zinniatide.Millis) bool {
	if own.Sequence == 0 || (own.Sequence == c.published && now < c.digestAt) {
		return false
	}
	c.published, c.digestAt = own.Sequence, now+digestInterval
	return true
}

// sendDigest tells all entry VMs the sequence of this VM's list.
func (c *Cataloger) sendDigest(configuration *zinniatide.Configuration, own digest) {
	for id, m := range configuration.Members {
		if m.Entry && id != c.o.VM {
			// A lost digest is repeated.
			_ = c.o.Linker.Send(id, zinniatide.KindCatalogDigest, own)
		}
	}
}

// assemble replaces the catalogue if it has changed.
func (c *Cataloger) assemble(configuration *zinniatide.Configuration, now zinniatide.Millis) {
	servers := c.assembly.merge(configuration, now)
	c.merged, c.dirty = configuration, false
	old := c.catalog.Load()
	same := slices.EqualFunc(old.Servers, servers, func(x, y zinniatide.ServerStatus) bool {
		return x.Server == y.Server && x.Owner == y.Owner && sameOffer(&x.Announcement, &y.Announcement)
	})
	if !same {
		c.catalog.Store(&zinniatide.Catalog{Sequence: old.Sequence + 1, Servers: servers})
		if c.o.Changed != nil {
			c.o.Changed()
		}
	}
}

// pull asks vm for its list unless that is being done already.
func (c *Cataloger) pull(vm zinniatide.VMID, d digest) {
	c.mu.Lock()
	_, busy := c.pulling[vm]
	wanted := !busy && c.assembly.behind(vm, d)
	if wanted {
		c.pulling[vm] = d
	}
	c.mu.Unlock()
	if !wanted {
		return
	}
	c.o.Linker.Call(vm, zinniatide.KindCatalogPull, struct{}{}, pullTimeout, func(body []byte, err error) {
		var l list
		if err == nil {
			l, err = decodeList(body)
		}
		c.mu.Lock()
		delete(c.pulling, vm)
		if err == nil && c.assembly.put(vm, l, c.o.Clock.Now()) {
			c.dirty = true
		}
		c.mu.Unlock()
		if err != nil {
			// The next digest starts another pull.
			klog.ErrorS(zinniatide.WrapStep(err, "pull catalogue", string(vm)), "catalogue stays behind", "step", "pull", "peer", vm)
			return
		}
		c.Tick()
	})
}
