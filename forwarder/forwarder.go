// Package forwarder carries sub-requests from the coordinator of a request to
// the owners of the backend servers, and the results back.
package forwarder

import (
	"errors"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
)

const (
	// TickInterval is how long before its deadline a sub-request without result
	// is ended, so that its caller still gets the answer in time.
	TickInterval zinniatide.Millis = 5
	// callGrace lets the owner's own report of a passed deadline arrive.
	callGrace zinniatide.Millis = 200
)

// Options are the dependencies of a Forwarder.
type Options struct {
	VM         zinniatide.VMID
	Clock      zinniatide.Clock
	Catalog    zinniatide.CatalogProvider
	Linker     zinniatide.Linker
	Dispatcher zinniatide.Dispatcher
	// FirstBatch is the number of the first batch. It must differ from those of
	// earlier processes of this VM, whose results may still arrive: the
	// incarnation shifted left by 32 bits does.
	FirstBatch uint64
}

// Forwarder implements zinniatide.Forwarder, and serves the sub-requests that
// other VMs send to this one.
type Forwarder struct {
	o      Options
	server *server
	last   atomic.Uint64 // number of the newest batch

	mu      sync.Mutex
	batches map[uint64]*batch  // sent and not finished
	calls   map[*call]struct{} // with results outstanding

	ticker  *ticker.Ticker
	stop    chan struct{}
	stopped sync.WaitGroup
}

var _ zinniatide.Forwarder = (*Forwarder)(nil)

// call is one DispatchAll.
type call struct {
	f        *Forwarder
	requests []zinniatide.SubRequest
	done     func(i int, result zinniatide.SubResult)
	slots    []slot
	open     atomic.Int64 // slots without result
	// earliest deadline of the slots without result, renewed by Tick.
	earliest zinniatide.Millis
}

// slot is the state of one sub-request.
type slot struct {
	ended  atomic.Bool
	local  func() // cancels a local sub-request
	batch  *batch // nil for a local one
	remote int    // index in batch
}

// batch is one message to one owner.
type batch struct {
	call    *call
	number  uint64
	owner   zinniatide.VMID
	indexes []int // of the call, by index in the batch
}

// New returns a forwarder that serves nothing until Start, and registers its
// link handlers.
func New(o Options) *Forwarder {
	f := &Forwarder{o: o, batches: map[uint64]*batch{}, calls: map[*call]struct{}{}, stop: make(chan struct{})}
	f.ticker = ticker.New(o.Clock, f.Tick)
	f.last.Store(o.FirstBatch)
	f.server = newServer(o)
	o.Linker.Handle(zinniatide.KindSubRequest, f.server.receiveBatch)
	o.Linker.Handle(zinniatide.KindSubCancel, f.server.receiveCancel)
	o.Linker.Handle(zinniatide.KindSubResult, f.receiveResults)
	return f
}

// Start runs Tick when a deadline is near, and sends results, until Close.
func (f *Forwarder) Start() {
	f.stopped.Add(2)
	go func() {
		defer f.stopped.Done()
		f.ticker.Run(f.stop)
	}()
	go func() {
		defer f.stopped.Done()
		f.server.send(f.stop)
	}()
}

// Close ends the goroutines of Start, and all open sub-requests as unknown.
// A Forwarder is closed once.
func (f *Forwarder) Close() {
	close(f.stop)
	f.stopped.Wait()
	for _, c := range f.openCalls() {
		for i := range c.slots {
			c.finish(i, unknown(zinniatide.CodeNotServing))
		}
	}
}

// DispatchAll implements zinniatide.Forwarder.
func (f *Forwarder) DispatchAll(rs []zinniatide.SubRequest, done func(i int, result zinniatide.SubResult)) (cancel func(i int)) {
	c := &call{f: f, requests: rs, done: done, slots: make([]slot, len(rs))}
	c.open.Store(int64(len(rs)))
	if len(rs) == 0 {
		return c.cancel
	}
	c.earliest = rs[0].Deadline
	for i := range rs {
		c.earliest = min(c.earliest, rs[i].Deadline)
	}
	due := c.earliest - TickInterval
	f.mu.Lock()
	f.calls[c] = struct{}{}
	f.mu.Unlock()
	f.ticker.At(due)
	local, batches := c.group(f.o.Catalog.Catalog())
	now := f.o.Clock.Now()
	for _, b := range batches {
		f.send(b, now)
	}
	for _, i := range local {
		c.slots[i].local = f.o.Dispatcher.Dispatch(rs[i], func(r zinniatide.SubResult) { c.finish(i, r) })
	}
	return c.cancel
}

// group sorts the sub-requests by owner. Those whose server is unknown or has no
// owner end at once.
func (c *call) group(catalog *zinniatide.Catalog) (local []int, batches []*batch) {
	for i := range c.requests {
		owner, code := ownerOf(catalog, c.requests[i].Server)
		switch {
		case code != "":
			c.finish(i, notRun(code))
		case owner == c.f.o.VM:
			local = append(local, i)
		default:
			batches = c.join(batches, owner, i)
		}
	}
	return local, batches
}

func (c *call) join(batches []*batch, owner zinniatide.VMID, i int) []*batch {
	at := slices.IndexFunc(batches, func(b *batch) bool {
		return b.owner == owner && len(b.indexes) < maxItems && shared(&c.requests[b.indexes[0]], &c.requests[i])
	})
	if at < 0 {
		at = len(batches)
		batches = append(batches, &batch{call: c, number: c.f.last.Add(1), owner: owner})
	}
	b := batches[at]
	c.slots[i].batch, c.slots[i].remote = b, len(b.indexes)
	b.indexes = append(b.indexes, i)
	return batches
}

// shared reports whether a and b can travel in one message.
func shared(a, b *zinniatide.SubRequest) bool {
	sameBody := len(a.Body) == len(b.Body) && (len(a.Body) == 0 || &a.Body[0] == &b.Body[0])
	return sameBody && a.Operation == b.Operation && a.RequestID == b.RequestID && a.Service == b.Service &&
		a.Version == b.Version && a.Tenant == b.Tenant && a.Class == b.Class &&
		a.Fingerprint == b.Fingerprint && a.Deadline == b.Deadline
}

// ownerOf returns the owner of a server, or why there is none.
func ownerOf(catalog *zinniatide.Catalog, id zinniatide.BackendServerID) (zinniatide.VMID, zinniatide.Code) {
	i, ok := slices.BinarySearchFunc(catalog.Servers, id, func(s zinniatide.ServerStatus, id zinniatide.BackendServerID) int {
		return strings.Compare(string(s.Server), string(id))
	})
	if !ok {
		return "", zinniatide.CodeNoServer
	}
	if owner := catalog.Servers[i].Owner; owner != "" {
		return owner, ""
	}
	return "", zinniatide.CodeNotOwner
}

// send sends one batch to its owner.
func (f *Forwarder) send(b *batch, now zinniatide.Millis) {
	r := &b.call.requests[b.indexes[0]]
	remaining := min(r.Deadline-now, maxRemaining)
	if remaining <= 0 {
		b.finishAll(notRun(zinniatide.CodeDeadlinePassed))
		return
	}
	m := batchMessage{
		Batch: b.number, Operation: r.Operation, RequestID: r.RequestID, Service: r.Service, Version: r.Version,
		Tenant: r.Tenant, Class: r.Class, Fingerprint: r.Fingerprint, Remaining: remaining, Body: r.Body,
		Items: make([]batchItem, len(b.indexes)),
	}
	for k, i := range b.indexes {
		item := &b.call.requests[i]
		m.Items[k] = batchItem{Server: item.Server, First: item.Range.First, Last: item.Range.Last, Wait: item.MaxWait}
	}
	f.mu.Lock()
	f.batches[b.number] = b
	f.mu.Unlock()
	f.o.Linker.Call(b.owner, zinniatide.KindSubRequest, &m, remaining+callGrace, func(body []byte, err error) {
		f.replied(b, body, err)
	})
}

// replied ends a batch. What has no result by then is unknown, unless the
// message was never sent.
func (f *Forwarder) replied(b *batch, body []byte, err error) {
	f.mu.Lock()
	delete(f.batches, b.number)
	f.mu.Unlock()
	switch {
	case err == nil:
		m, err := decodeResults(body)
		if err == nil {
			b.take(m.Items)
		}
		b.finishAll(unknown(zinniatide.CodeInternal))
	case errors.Is(err, zinniatide.ErrNotSent):
		b.finishAll(notRun(zinniatide.CodePeerLost))
	case errors.Is(err, zinniatide.ErrTimeout):
		b.finishAll(unknown(zinniatide.CodeDeadlinePassed))
	default:
		b.finishAll(unknown(zinniatide.CodePeerLost))
	}
}

// receiveResults takes results that arrive before the reply to their batch.
// Those of a batch that is finished, or that this owner was not asked, are
// dropped.
func (f *Forwarder) receiveResults(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	m, err := decodeResults(body)
	if reply != nil {
		reply(struct{}{}, err)
	}
	if err != nil {
		return
	}
	for i := range m.Items {
		f.mu.Lock()
		b := f.batches[m.Items[i].Batch]
		f.mu.Unlock()
		if b != nil && b.owner == from {
			b.take(m.Items[i : i+1])
		}
	}
}

func (b *batch) take(items []resultItem) {
	for k := range items {
		if items[k].Batch == b.number && items[k].Index >= 0 && items[k].Index < len(b.indexes) {
			b.call.finish(b.indexes[items[k].Index], items[k].result())
		}
	}
}

func (b *batch) finishAll(r zinniatide.SubResult) {
	for _, i := range b.indexes {
		b.call.finish(i, r)
	}
}

// finish reports the first result of a sub-request and drops later ones.
func (c *call) finish(i int, r zinniatide.SubResult) {
	if c.slots[i].ended.CompareAndSwap(false, true) {
		last := c.open.Add(-1) == 0
		c.done(i, r)
		if last {
			c.f.mu.Lock()
			delete(c.f.calls, c)
			c.f.mu.Unlock()
		}
	}
}

// cancel implements the cancel function of DispatchAll.
func (c *call) cancel(i int) {
	if i < 0 || i >= len(c.slots) || c.slots[i].ended.Load() {
		return
	}
	s := &c.slots[i]
	if s.local != nil {
		s.local()
		return
	}
	if s.batch != nil {
		// If the message is lost, the sub-request ends at its deadline.
		_ = c.f.o.Linker.Send(s.batch.owner, zinniatide.KindSubCancel, cancelMessage{s.batch.number, s.remote})
	}
}

// openCalls returns the calls with results outstanding.
func (f *Forwarder) openCalls() []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.calls))
}

// Tick ends sub-requests whose deadline is TickInterval away. It returns when
// the next ones are due.
func (f *Forwarder) Tick() zinniatide.Millis {
	now := f.o.Clock.Now()
	next := now + ticker.Longest
	for _, c := range f.openCalls() {
		if c.earliest <= now+TickInterval {
			c.expire(now + TickInterval)
		}
		next = min(next, c.earliest-TickInterval)
	}
	return next
}

// expire ends the sub-requests that are due and finds the next deadline.
func (c *call) expire(due zinniatide.Millis) {
	c.earliest = math.MaxInt64
	for i := range c.slots {
		switch {
		case c.slots[i].ended.Load():
		case c.requests[i].Deadline <= due:
			c.finish(i, unknown(zinniatide.CodeDeadlinePassed))
		default:
			c.earliest = min(c.earliest, c.requests[i].Deadline)
		}
	}
}

func notRun(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func unknown(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code}
}
