// Package enroller keeps what backend servers say of themselves by heartbeats.
// Control VMs take the heartbeats in and spread them to all VMs; every VM holds
// the merged table. Nothing is stored on disk: after a restart the table is
// filled by peers and by the next heartbeats.
package enroller

import (
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
	"zinniatide.example/zinniatide/encoder"
)

// Timing.
const (
	// digestInterval spaces the comparison of tables between VMs. It bounds how
	// long a lost message leaves a VM behind, and is well below the 3 s within
	// which a leaving server gets no new work.
	digestInterval zinniatide.Millis = 1000
	// pullTimeout bounds the wait for a table.
	pullTimeout zinniatide.Millis = 1000
	// spreadTimeout bounds the wait for other control VMs to record a leave. A
	// backend server asks another VM after one second.
	spreadTimeout zinniatide.Millis = 700
	// goneRetention is how long ended processes are remembered against late
	// heartbeats.
	goneRetention zinniatide.Millis = 120_000
)

// Dependencies of an Enroller.
type Dependencies struct {
	VM             zinniatide.VMID
	Control        bool
	Clock          zinniatide.Clock
	Linker         zinniatide.Linker
	Configurations zinniatide.ConfigurationProvider
	Registerer     prometheus.Registerer
	// Changed is called without locks after the table has changed.
	Changed func()
}

// Enroller implements zinniatide.Enroller. It is safe for concurrent use.
type Enroller struct {
	d       Dependencies
	ticker  *ticker.Ticker
	stop    chan struct{}
	done    sync.WaitGroup
	metrics *metrics
	ticks   uint64 // used by the ticker only

	mu      sync.Mutex
	table   table
	pulling bool
}

var _ zinniatide.Enroller = (*Enroller)(nil)

// digest describes a table.
type digest struct {
	Rows int    `cbor:"1,keyasint"`
	Sum  uint64 `cbor:"2,keyasint"`
}

// New returns an Enroller. It registers its handlers with the Linker, so it is
// called before the Linker is started.
func New(d Dependencies) *Enroller {
	e := &Enroller{d: d, table: newTable(), stop: make(chan struct{}), metrics: newMetrics(d.Registerer)}
	e.ticker = ticker.New(d.Clock, e.tick)
	d.Linker.Handle(zinniatide.KindEnroll, e.handleEnroll)
	d.Linker.Handle(zinniatide.KindEnrollDigest, e.handleDigest)
	d.Linker.Handle(zinniatide.KindEnrollPull, e.handlePull)
	return e
}

// Start begins the comparison of tables.
func (e *Enroller) Start() {
	if !e.d.Control {
		return
	}
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		e.ticker.Run(e.stop)
	}()
}

// Wake has tables compared soon, as after a change of the members.
func (e *Enroller) Wake() { e.ticker.Wake() }

// Close stops it.
func (e *Enroller) Close() {
	close(e.stop)
	e.done.Wait()
}

// Table returns all known processes, ended ones included, in the order of
// their ids.
func (e *Enroller) Table() []zinniatide.Enrollment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.all()
}

// Enroll implements zinniatide.Enroller.
func (e *Enroller) Enroll(en zinniatide.Enrollment, done func(error)) {
	changed := e.merge([]zinniatide.Enrollment{en}, "")
	if en.State == zinniatide.StateLeaving {
		// Repeated heartbeats of a leaving server wait as well: the answer to
		// the first may have been an error.
		e.spread([]zinniatide.Enrollment{en}, done)
		return
	}
	if len(changed) > 0 {
		e.spread(changed, nil)
	}
	done(nil)
}

// Withdraw implements zinniatide.Enroller. A process that is not known needs
// no record.
func (e *Enroller) Withdraw(server zinniatide.BackendServerID, born zinniatide.Millis, done func(error)) {
	e.mu.Lock()
	r := e.table.rows[server]
	if r == nil || born != 0 && born < r.Born {
		e.mu.Unlock()
		done(nil)
		return
	}
	gone := r.Enrollment
	e.mu.Unlock()
	if born != 0 {
		gone.Born = born
	}
	gone.Gone = true
	e.merge([]zinniatide.Enrollment{gone}, "")
	e.spread([]zinniatide.Enrollment{gone}, done)
}

// merge takes in enrollments and returns those that changed the table.
func (e *Enroller) merge(list []zinniatide.Enrollment, from zinniatide.VMID) []zinniatide.Enrollment {
	now := e.d.Clock.Now()
	var changed []zinniatide.Enrollment
	e.mu.Lock()
	for i := range list {
		if e.table.merge(&list[i], now) {
			changed = append(changed, list[i])
		}
	}
	rows := len(e.table.rows)
	e.mu.Unlock()
	if len(changed) == 0 {
		return nil
	}
	e.metrics.rows.Set(float64(rows))
	e.metrics.changes.Add(float64(len(changed)))
	if from == "" || len(changed) == 1 {
		for i := range changed {
			c := &changed[i]
			klog.InfoS("backend server changed", "step", "enroll", "server", c.Server, "service", c.Service,
				"address", c.Address, "state", c.State, "gone", c.Gone, "born", c.Born, "sequence", c.Sequence,
				"cold-ms", c.ColdLeft, "peer", from)
		}
	} else {
		klog.InfoS("backend servers changed", "step", "enroll", "changed", len(changed), "rows", rows, "peer", from)
	}
	if e.d.Changed != nil {
		e.d.Changed()
	}
	return changed
}

// spread sends enrollments to all members. With done set, it waits until a
// majority of the control VMs, this one included, has recorded them.
func (e *Enroller) spread(list []zinniatide.Enrollment, done func(error)) {
	c := e.d.Configurations.Configuration()
	a := newAudience(e.d.VM, c, e.d.Linker.Connected)
	q := newQuorum(len(c.ControlVMs)/2+1, done)
	if a.control || len(c.ControlVMs) == 0 {
		q.granted()
	}
	e.send(a.near, list)
	for _, vm := range a.peers {
		q.asked()
		e.d.Linker.Call(vm, zinniatide.KindEnroll, list, spreadTimeout, func(_ []byte, err error) { q.answered(err) })
	}
	q.closed()
}

// send passes enrollments on. The digest finds what is lost.
func (e *Enroller) send(to []zinniatide.VMID, list []zinniatide.Enrollment) {
	for _, vm := range to {
		_ = e.d.Linker.Send(vm, zinniatide.KindEnroll, list)
	}
}

func (e *Enroller) handleEnroll(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var list []zinniatide.Enrollment
	err := encoder.Unmarshal(body, &list)
	if err != nil {
		klog.ErrorS(err, "enrollments dropped", "step", "decode enrollments", "peer", from)
	} else if changed := e.merge(list, from); len(changed) > 0 && e.d.Control {
		e.send(newAudience(e.d.VM, e.d.Configurations.Configuration(), e.d.Linker.Connected).near, changed)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

func (e *Enroller) handlePull(_ zinniatide.VMID, _ []byte, reply func(any, error)) {
	if reply != nil {
		reply(e.Table(), nil)
	}
}

// handleDigest pulls the sender's table when it differs from this VM's.
func (e *Enroller) handleDigest(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var d digest
	if err := encoder.Unmarshal(body, &d); err != nil {
		klog.ErrorS(err, "digest dropped", "step", "decode digest", "peer", from)
		return
	}
	e.mu.Lock()
	differs := d != e.digest()
	pull := differs && !e.pulling
	e.pulling = e.pulling || pull
	e.mu.Unlock()
	if !pull {
		return
	}
	e.d.Linker.Call(from, zinniatide.KindEnrollPull, struct{}{}, pullTimeout, func(body []byte, err error) {
		e.mu.Lock()
		e.pulling = false
		e.mu.Unlock()
		var list []zinniatide.Enrollment
		if err == nil {
			err = encoder.Unmarshal(body, &list)
		}
		if err != nil {
			klog.InfoS("table of backend servers not pulled", "step", "pull", "peer", from, "err", err.Error())
			return
		}
		e.merge(list, from)
	})
}

// digest describes the table. The lock is held.
func (e *Enroller) digest() digest {
	d := digest{Sum: e.table.sum}
	for _, r := range e.table.rows {
		if !r.Gone {
			d.Rows++
		}
	}
	return d
}

// tick sends the digest to the other control VMs and to members nearby, and at
// every few ticks to a member that has a control VM of its own zone. Such a
// member still hears from all of them, as its own may be cut off or suspended.
func (e *Enroller) tick() zinniatide.Millis {
	now := e.d.Clock.Now()
	e.mu.Lock()
	e.table.dropGone(now - goneRetention)
	d := e.digest()
	e.mu.Unlock()
	a := newAudience(e.d.VM, e.d.Configurations.Configuration(), e.d.Linker.Connected)
	for _, vm := range slices.Concat(a.peers, a.near, a.farAt(e.ticks)) {
		_ = e.d.Linker.Send(vm, zinniatide.KindEnrollDigest, d) // sent again at a later tick
	}
	e.ticks++
	return now + digestInterval
}
