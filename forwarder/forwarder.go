// Package forwarder sends sub-requests from the VM that coordinates a request to the
// VMs that own the backend servers, and returns the results.
package forwarder

import (
	"errors"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/ticker"
)

const (
	// deadlineMargin is how long before its deadline a sub-request without a result
	// is ended, so that the caller still gets a response in time.
	deadlineMargin zinniatide.Millis = 5
	// replyGracePeriod is how long after the deadline the owner's reply is awaited,
	// so that its own report of the expired deadline can arrive.
	replyGracePeriod zinniatide.Millis = 200
)

// Options are the dependencies of a Forwarder.
type Options struct {
	VM         zinniatide.VMID
	Process    zinniatide.ProcessID
	Clock      zinniatide.Clock
	Catalog    zinniatide.CatalogProvider
	Linker     zinniatide.Linker
	Dispatcher zinniatide.Dispatcher
}

// Forwarder implements zinniatide.Forwarder. It also runs the sub-requests that
// other VMs send to this VM.
type Forwarder struct {
	options   Options
	server    *batchServer
	lastBatch atomic.Uint64 // number of the last batch created

	mu      sync.Mutex
	batches map[uint64]*batch  // sent, reply outstanding
	calls   map[*call]struct{} // without all results yet

	ticker     *ticker.Ticker
	stop       chan struct{}
	goroutines sync.WaitGroup
}

var _ zinniatide.Forwarder = (*Forwarder)(nil)

// call is one call of DispatchAll.
type call struct {
	forwarder  *Forwarder
	requests   []zinniatide.SubRequest
	done       func(i int, result zinniatide.SubResult)
	states     []requestState
	unfinished atomic.Int64 // number of sub-requests without a result
	// earliestDeadline is the earliest deadline of the sub-requests without a result,
	// as of the last expireRequests.
	earliestDeadline zinniatide.Millis
}

// requestState is the state of one sub-request.
type requestState struct {
	finished    atomic.Bool
	cancelLocal func() // set for a sub-request to a server of this VM
	batch       *batch // nil for a sub-request to a server of this VM
	batchIndex  int    // index within batch
}

// batch is a group of sub-requests sent to one owner in a single message.
type batch struct {
	call           *call
	number         uint64
	owner          zinniatide.VMID
	requestIndexes []int // indexes into call.requests, in the order of the message
}

// New returns a Forwarder and registers its link handlers. Call Start before it is used.
func New(o Options) *Forwarder {
	f := &Forwarder{options: o, batches: map[uint64]*batch{}, calls: map[*call]struct{}{}, stop: make(chan struct{})}
	f.ticker = ticker.New(o.Clock, f.expireCalls)
	f.server = newBatchServer(o)
	o.Linker.Handle(zinniatide.KindSubRequest, f.server.receiveBatch)
	o.Linker.Handle(zinniatide.KindSubCancel, f.server.receiveCancel)
	o.Linker.Handle(zinniatide.KindSubResult, f.receiveResults)
	return f
}

// Start runs the goroutines that expire sub-requests and send results until Close is
// called.
func (f *Forwarder) Start() {
	f.goroutines.Add(2)
	go func() {
		defer f.goroutines.Done()
		f.ticker.Run(f.stop)
	}()
	go func() {
		defer f.goroutines.Done()
		f.server.sendLoop(f.stop)
	}()
}

// Close stops the goroutines of Start and ends all unfinished sub-requests with
// OutcomeUnknown. It must be called only once.
func (f *Forwarder) Close() {
	close(f.stop)
	f.goroutines.Wait()
	for _, c := range f.unfinishedCalls() {
		for i := range c.states {
			c.finish(i, unknown(zinniatide.CodeNotServing))
		}
	}
}

// DispatchAll implements zinniatide.Forwarder.
func (f *Forwarder) DispatchAll(requests []zinniatide.SubRequest, done func(i int, result zinniatide.SubResult)) (cancel func(i int)) {
	c := &call{forwarder: f, requests: requests, done: done, states: make([]requestState, len(requests))}
	c.unfinished.Store(int64(len(requests)))
	if len(requests) == 0 {
		return c.cancel
	}
	c.earliestDeadline = requests[0].Deadline
	for i := range requests {
		c.earliestDeadline = min(c.earliestDeadline, requests[i].Deadline)
	}
	due := c.earliestDeadline - deadlineMargin
	f.mu.Lock()
	f.calls[c] = struct{}{}
	f.mu.Unlock()
	f.ticker.ScheduleAt(due)
	local, batches := c.groupByOwner(f.options.Catalog.Catalog())
	now := f.options.Clock.Now()
	for _, b := range batches {
		f.sendBatch(b, now)
	}
	for _, i := range local {
		c.states[i].cancelLocal = f.options.Dispatcher.Dispatch(requests[i], func(r zinniatide.SubResult) { c.finish(i, r) })
	}
	return c.cancel
}

// groupByOwner groups the sub-requests by owner: it returns the indexes of those whose
// server this VM owns, and batches for the other owners. Sub-requests whose server is
// unknown or has no owner are ended immediately.
func (c *call) groupByOwner(catalog *zinniatide.Catalog) (local []int, batches []*batch) {
	for i := range c.requests {
		owner, code := ownerOf(catalog, c.requests[i].Server)
		switch {
		case code != "":
			c.finish(i, notRun(code))
		case owner == c.forwarder.options.VM:
			local = append(local, i)
		default:
			batches = c.addToBatch(batches, owner, i)
		}
	}
	return local, batches
}

// addToBatch adds sub-request i to a batch for owner, or to a new batch if it does not
// fit into an existing one.
func (c *call) addToBatch(batches []*batch, owner zinniatide.VMID, i int) []*batch {
	at := slices.IndexFunc(batches, func(b *batch) bool {
		return b.owner == owner && len(b.requestIndexes) < maxBatchItems && canShareBatch(&c.requests[b.requestIndexes[0]], &c.requests[i])
	})
	if at < 0 {
		at = len(batches)
		batches = append(batches, &batch{call: c, number: c.forwarder.lastBatch.Add(1), owner: owner})
	}
	b := batches[at]
	c.states[i].batch, c.states[i].batchIndex = b, len(b.requestIndexes)
	b.requestIndexes = append(b.requestIndexes, i)
	return batches
}

// canShareBatch reports whether a and b can be sent in one batch, which requires that
// they differ only in server, range and MaxWait.
func canShareBatch(a, b *zinniatide.SubRequest) bool {
	// Compare addresses, not bytes: the sub-requests of one request share their
	// body, and comparing large bodies would be slow.
	sameBody := len(a.Body) == len(b.Body) && (len(a.Body) == 0 || &a.Body[0] == &b.Body[0])
	return sameBody && a.Operation == b.Operation && a.RequestID == b.RequestID && a.Service == b.Service &&
		a.Version == b.Version && a.Workspace == b.Workspace && a.Class == b.Class &&
		a.Fingerprint == b.Fingerprint && a.Deadline == b.Deadline
}

// ownerOf returns the owner of a server, or an error code if there is none.
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

// sendBatch sends a batch to its owner.
func (f *Forwarder) sendBatch(b *batch, now zinniatide.Millis) {
	r := &b.call.requests[b.requestIndexes[0]]
	remaining := min(r.Deadline-now, maxRemainingTime)
	if remaining <= 0 {
		b.finishAll(notRun(zinniatide.CodeDeadlinePassed))
		return
	}
	m := batchMessage{
		Process: f.options.Process,
		Batch:   b.number, Operation: r.Operation, RequestID: r.RequestID, Service: r.Service, Version: r.Version,
		Workspace: r.Workspace, Class: r.Class, Fingerprint: r.Fingerprint, Remaining: remaining, Body: r.Body,
		Items: make([]batchItem, len(b.requestIndexes)),
	}
	for k, i := range b.requestIndexes {
		item := &b.call.requests[i]
		m.Items[k] = batchItem{Server: item.Server, FirstKey: item.Range.First, LastKey: item.Range.End, MaxWait: item.MaxWait}
	}
	f.mu.Lock()
	f.batches[b.number] = b
	f.mu.Unlock()
	f.options.Linker.Call(b.owner, zinniatide.KindSubRequest, &m, remaining+replyGracePeriod, func(body []byte, err error) {
		f.handleReply(b, body, err)
	})
}

// handleReply ends a batch. Sub-requests still without a result end with OutcomeUnknown,
// or with OutcomeNotRun if the message was never sent.
func (f *Forwarder) handleReply(b *batch, body []byte, err error) {
	f.mu.Lock()
	delete(f.batches, b.number)
	f.mu.Unlock()
	switch {
	case err == nil:
		if m, err := decodeResults(body); err == nil && f.isForThisProcess(b.owner, &m) {
			b.applyResults(m.Items)
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

// receiveResults handles results that arrive before the reply to their batch. It
// ignores results of batches that have ended or that were sent to another VM.
func (f *Forwarder) receiveResults(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	m, err := decodeResults(body)
	if reply != nil {
		reply(struct{}{}, err)
	}
	if err != nil || !f.isForThisProcess(from, &m) {
		return
	}
	for i := range m.Items {
		f.mu.Lock()
		b := f.batches[m.Items[i].Batch]
		f.mu.Unlock()
		if b != nil && b.owner == from {
			b.applyResults(m.Items[i : i+1])
		}
	}
}

// isForThisProcess reports whether results belong to batches of this process. The owner
// may still have some for an earlier process of this VM, which used the same numbers.
func (f *Forwarder) isForThisProcess(owner zinniatide.VMID, m *resultMessage) bool {
	if m.Process == f.options.Process {
		return true
	}
	klog.InfoS("dropped results for an earlier process of this VM", "step", "receive results", "peer", owner, "results", len(m.Items))
	return false
}

func (b *batch) applyResults(items []resultItem) {
	for k := range items {
		if items[k].Batch == b.number && items[k].Index >= 0 && items[k].Index < len(b.requestIndexes) {
			b.call.finish(b.requestIndexes[items[k].Index], items[k].subResult())
		}
	}
}

func (b *batch) finishAll(r zinniatide.SubResult) {
	for _, i := range b.requestIndexes {
		b.call.finish(i, r)
	}
}

// finish reports the first result of a sub-request and ignores later ones.
func (c *call) finish(i int, r zinniatide.SubResult) {
	if c.states[i].finished.CompareAndSwap(false, true) {
		last := c.unfinished.Add(-1) == 0
		c.done(i, r)
		if last {
			c.forwarder.mu.Lock()
			delete(c.forwarder.calls, c)
			c.forwarder.mu.Unlock()
		}
	}
}

// cancel implements the cancel function of DispatchAll.
func (c *call) cancel(i int) {
	if i < 0 || i >= len(c.states) || c.states[i].finished.Load() {
		return
	}
	s := &c.states[i]
	if s.cancelLocal != nil {
		s.cancelLocal()
		return
	}
	if s.batch != nil {
		// The error is ignored: if the message is lost, the sub-request still ends at
		// its deadline.
		_ = c.forwarder.options.Linker.Send(s.batch.owner, zinniatide.KindSubCancel, cancelMessage{c.forwarder.options.Process, s.batch.number, s.batchIndex})
	}
}

// unfinishedCalls returns the calls that still lack results.
func (f *Forwarder) unfinishedCalls() []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.calls))
}

// expireCalls ends the sub-requests whose deadline is at most deadlineMargin away. It
// returns the time at which it must run again.
func (f *Forwarder) expireCalls() zinniatide.Millis {
	now := f.options.Clock.Now()
	next := now + ticker.MaxInterval
	for _, c := range f.unfinishedCalls() {
		if c.earliestDeadline <= now+deadlineMargin {
			c.expireRequests(now + deadlineMargin)
		}
		next = min(next, c.earliestDeadline-deadlineMargin)
	}
	return next
}

// expireRequests ends the sub-requests whose deadline is not after due, and updates
// earliestDeadline.
func (c *call) expireRequests(due zinniatide.Millis) {
	c.earliestDeadline = math.MaxInt64
	for i := range c.states {
		switch {
		case c.states[i].finished.Load():
		case c.requests[i].Deadline <= due:
			c.finish(i, unknown(zinniatide.CodeDeadlinePassed))
		default:
			c.earliestDeadline = min(c.earliestDeadline, c.requests[i].Deadline)
		}
	}
}

func notRun(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeNotRun, Code: code}
}

func unknown(code zinniatide.Code) zinniatide.SubResult {
	return zinniatide.SubResult{Outcome: zinniatide.OutcomeUnknown, Code: code}
}
