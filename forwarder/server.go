package forwarder

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

const (
	// maxResultMessageBytes limits the total size of the bodies in a message of
	// several results.
	maxResultMessageBytes = 1 << 20
	// coalesceDelay is how long a result waits for other results to the same
	// coordinator. Without it, most messages contain a single result, and the link
	// uses as much CPU time as the connections to the backend servers.
	coalesceDelay = time.Millisecond
)

// batchServer implements the owner's side: it dispatches the sub-requests of received
// batches and sends the results to the coordinators. Results that become available
// at about the same time are sent in one message.
type batchServer struct {
	clock      zinniatide.Clock
	linker     zinniatide.Linker
	dispatcher zinniatide.Dispatcher

	mu      sync.Mutex
	batches map[batchKey]*servedBatch
	// unsent holds the results to be sent, by coordinator.
	unsent         map[coordinator][]resultItem
	flushRequested chan struct{}
	// flushScheduled is set from the first unsent result until the next flush.
	flushScheduled bool
}

// coordinator is the process that sent a batch.
type coordinator struct {
	vm      zinniatide.VMID
	process zinniatide.ProcessID
}

type batchKey struct {
	from   coordinator
	number uint64
}

// servedBatch is a received batch whose reply has not been sent. It is guarded by
// batchServer.mu.
type servedBatch struct {
	cancels     []func()
	finished    []bool
	outstanding int
	// inTransit is the number of results that flush has removed from unsent and is
	// sending. The reply must be sent after them, because it ends the batch.
	inTransit int
	reply     func(value any, err error)
}

func newBatchServer(o Options) *batchServer {
	return &batchServer{
		clock: o.Clock, linker: o.Linker, dispatcher: o.Dispatcher,
		batches:        map[batchKey]*servedBatch{},
		unsent:         map[coordinator][]resultItem{},
		flushRequested: make(chan struct{}, 1),
	}
}

// receiveBatch dispatches the sub-requests of a batch. The request body can be used
// after receiveBatch has returned, because decoding copies it.
func (s *batchServer) receiveBatch(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	m, err := decodeBatch(body)
	if err != nil || reply == nil {
		klog.ErrorS(zinniatide.WrapStep(err, "decode batch", string(from)), "rejecting batch of sub-requests", "step", "serve", "peer", from)
		if reply != nil {
			reply(nil, err)
		}
		return
	}
	key := batchKey{coordinator{from, m.Process}, m.Batch}
	b := &servedBatch{
		cancels: make([]func(), len(m.Items)), finished: make([]bool, len(m.Items)), outstanding: len(m.Items), reply: reply,
	}
	s.mu.Lock()
	_, duplicate := s.batches[key]
	if !duplicate {
		s.batches[key] = b
	}
	s.mu.Unlock()
	if duplicate {
		reply(nil, zinniatide.Refuse(zinniatide.CodeRequestIDReused, "batch %d runs already", m.Batch))
		return
	}
	now := s.clock.Now()
	for i := range m.Items {
		cancel := s.dispatcher.Dispatch(m.subRequest(i, now), func(r zinniatide.SubResult) { s.handleResult(key, b, i, r) })
		s.mu.Lock()
		b.cancels[i] = cancel
		s.mu.Unlock()
	}
}

// handleResult queues a result to be sent. The last result of a batch is sent in the
// reply, together with the unsent results of the batch.
func (s *batchServer) handleResult(key batchKey, b *servedBatch, i int, r zinniatide.SubResult) {
	item := newResultItem(key.number, i, r)
	s.mu.Lock()
	if b.finished[i] {
		s.mu.Unlock()
		return
	}
	b.finished[i] = true
	b.outstanding--
	s.unsent[key.from] = append(s.unsent[key.from], item)
	message := s.takeReply(key, b)
	requestFlush := message == nil && !s.flushScheduled
	s.flushScheduled = s.flushScheduled || requestFlush
	s.mu.Unlock()
	if message != nil {
		s.sendReply(key, b, message)
	}
	if requestFlush {
		// If a flush request is already pending, it covers this result too.
		select {
		case s.flushRequested <- struct{}{}:
		default:
		}
	}
}

// sendReply sends the reply to a batch. Results that would make it too large for a
// link are sent first in separate messages. The link preserves the order.
func (s *batchServer) sendReply(key batchKey, b *servedBatch, m *resultMessage) {
	n := countFitting(m.Items)
	for n < len(m.Items) {
		if !s.sendResults(key.from, m.Items[:n]) {
			break
		}
		m.Items = m.Items[n:]
		n = countFitting(m.Items)
	}
	b.reply(&resultMessage{Items: m.Items[:n], Process: key.from.process}, nil)
}

// sendResults sends results and reports whether the link accepted them.
func (s *batchServer) sendResults(to coordinator, items []resultItem) bool {
	err := s.linker.Send(to.vm, zinniatide.KindSubResult, &resultMessage{Items: items, Process: to.process})
	if err != nil {
		klog.V(2).InfoS("failed to send results", "step", "serve", "peer", to.vm, "err", err.Error())
	}
	return err == nil
}

// takeReply returns the reply to a batch and removes the batch, if all of its results
// have been sent or are in unsent. Otherwise it returns nil. s.mu must be held.
func (s *batchServer) takeReply(key batchKey, b *servedBatch) *resultMessage {
	if b.outstanding > 0 || b.inTransit > 0 || s.batches[key] != b {
		return nil
	}
	delete(s.batches, key)
	return &resultMessage{Items: s.takeUnsent(key)}
}

// takeUnsent removes and returns the unsent results of a batch. s.mu must be held.
func (s *batchServer) takeUnsent(key batchKey) (items []resultItem) {
	kept := s.unsent[key.from][:0]
	for _, item := range s.unsent[key.from] {
		if item.Batch == key.number {
			items = append(items, item)
		} else {
			kept = append(kept, item)
		}
	}
	clear(s.unsent[key.from][len(kept):])
	s.unsent[key.from] = kept
	return items
}

// sendLoop flushes unsent results until stop is closed, each time coalesceDelay after
// the first one was added. The last result of a batch does not wait: it is sent in the
// reply, together with the waiting results of the batch.
func (s *batchServer) sendLoop(stop <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-s.flushRequested:
			timer.Reset(coalesceDelay)
		case <-timer.C:
			s.flush()
		case <-stop:
			return
		}
	}
}

// flush sends all unsent results. If the link to a coordinator is lost, its results can
// be dropped, because its call has ended with OutcomeUnknown.
func (s *batchServer) flush() {
	s.mu.Lock()
	results := s.unsent
	s.unsent = make(map[coordinator][]resultItem, len(results))
	s.addInTransit(results, 1)
	s.flushScheduled = false
	s.mu.Unlock()
	for to, items := range results {
		for len(items) > 0 {
			n := countFitting(items)
			if !s.sendResults(to, items[:n]) {
				break
			}
			items = items[n:]
		}
	}
	s.replyToCompleted(results)
}

// addInTransit adds delta to inTransit of its batch for each result. s.mu must be held.
func (s *batchServer) addInTransit(results map[coordinator][]resultItem, delta int) {
	for from, items := range results {
		for i := range items {
			// The batch exists: takeReply removes a batch only together with its unsent
			// results, and not while results are in transit.
			s.batches[batchKey{from, items[i].Batch}].inTransit += delta
		}
	}
}

// replyToCompleted marks results as no longer in transit and replies to the batches
// that are complete as a consequence.
func (s *batchServer) replyToCompleted(results map[coordinator][]resultItem) {
	type completed struct {
		key     batchKey
		batch   *servedBatch
		message *resultMessage
	}
	var all []completed
	s.mu.Lock()
	s.addInTransit(results, -1)
	for from, items := range results {
		for i := range items {
			key := batchKey{from, items[i].Batch}
			if b := s.batches[key]; b != nil {
				if m := s.takeReply(key, b); m != nil {
					all = append(all, completed{key, b, m})
				}
			}
		}
	}
	s.mu.Unlock()
	for _, c := range all {
		s.sendReply(c.key, c.batch, c.message)
	}
}

// countFitting returns how many of the first items fit into one message. It is at least
// one, unless there are no items.
func countFitting(items []resultItem) int {
	size := 0
	for i := range items {
		size += len(items[i].Body)
		if i > 0 && size > maxResultMessageBytes {
			return i
		}
	}
	return len(items)
}

func (s *batchServer) receiveCancel(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	var m cancelMessage
	err := cbor.Unmarshal(body, &m)
	if err == nil {
		s.cancel(from, m)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

// cancel cancels one sub-request of a batch if the batch is still in progress.
func (s *batchServer) cancel(from zinniatide.VMID, m cancelMessage) {
	s.mu.Lock()
	var cancel func()
	if b := s.batches[batchKey{coordinator{from, m.Process}, m.Batch}]; b != nil && m.Index >= 0 && m.Index < len(b.cancels) {
		cancel = b.cancels[m.Index]
	}
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
