package forwarder

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

const (
	// maxResultBytes is the size at which a message of results is closed.
	maxResultBytes = 1 << 20
	// gatherTime is how long a result waits for others to the same coordinator.
	// A message costs both VMs several times what a further result in it does.
	gatherTime zinniatide.Millis = 1
)

// server is the owner's side: it dispatches the batches that arrive, and
// sends results as they come, several in one message when they come together.
type server struct {
	clock      zinniatide.Clock
	linker     zinniatide.Linker
	dispatcher zinniatide.Dispatcher

	mu      sync.Mutex
	batches map[batchKey]*servedBatch
	// ready holds results to be sent, by coordinator.
	ready map[zinniatide.VMID][]resultItem
	wake  chan struct{}
}

type batchKey struct {
	from   zinniatide.VMID
	number uint64
}

// servedBatch is a batch with results outstanding. It is guarded by the
// server's lock.
type servedBatch struct {
	cancels     []func()
	ended       []bool
	outstanding int
	// sending counts results that flush has taken and not sent yet. The reply
	// must follow them, because it ends the batch.
	sending int
	reply   func(value any, err error)
}

func newServer(o Options) *server {
	return &server{
		clock: o.Clock, linker: o.Linker, dispatcher: o.Dispatcher,
		batches: map[batchKey]*servedBatch{},
		ready:   map[zinniatide.VMID][]resultItem{},
		wake:    make(chan struct{}, 1),
	}
}

// receiveBatch starts the sub-requests of a batch. Decoding copies the body, so
// that it outlives the handler.
func (s *server) receiveBatch(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	m, err := decodeBatch(body)
	if err != nil || reply == nil {
		klog.ErrorS(zinniatide.WrapStep(err, "decode batch", string(from)), "batch refused", "step", "serve", "peer", from)
		if reply != nil {
			reply(nil, err)
		}
		return
	}
	key := batchKey{from, m.Batch}
	b := &servedBatch{
		cancels: make([]func(), len(m.Items)), ended: make([]bool, len(m.Items)), outstanding: len(m.Items), reply: reply,
	}
	s.mu.Lock()
	_, doubled := s.batches[key]
	if !doubled {
		s.batches[key] = b
	}
	s.mu.Unlock()
	if doubled {
		reply(nil, zinniatide.Refuse(zinniatide.CodeRequestIDReused, "batch %d runs already", m.Batch))
		return
	}
	now := s.clock.Now()
	for i := range m.Items {
		cancel := s.dispatcher.Dispatch(m.request(i, now), func(r zinniatide.SubResult) { s.ended(key, b, i, r) })
		s.mu.Lock()
		b.cancels[i] = cancel
		s.mu.Unlock()
	}
}

// ended takes a result. The last one of a batch goes into its reply, together
// with those of the batch that have not been sent yet.
func (s *server) ended(key batchKey, b *servedBatch, i int, r zinniatide.SubResult) {
	item := newResultItem(key.number, i, r)
	s.mu.Lock()
	if b.ended[i] {
		s.mu.Unlock()
		return
	}
	b.ended[i] = true
	b.outstanding--
	s.ready[key.from] = append(s.ready[key.from], item)
	message := s.complete(key, b)
	s.mu.Unlock()
	if message != nil {
		b.reply(message, nil)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// complete returns the reply to a batch all of whose results have been sent or
// wait to be sent, and forgets the batch. It returns nil for other batches.
func (s *server) complete(key batchKey, b *servedBatch) *resultMessage {
	if b.outstanding > 0 || b.sending > 0 || s.batches[key] != b {
		return nil
	}
	delete(s.batches, key)
	return &resultMessage{Items: s.takeReady(key)}
}

// takeReady removes the unsent results of one batch.
func (s *server) takeReady(key batchKey) (items []resultItem) {
	kept := s.ready[key.from][:0]
	for _, item := range s.ready[key.from] {
		if item.Batch == key.number {
			items = append(items, item)
		} else {
			kept = append(kept, item)
		}
	}
	clear(s.ready[key.from][len(kept):])
	s.ready[key.from] = kept
	return items
}

// send sends results until stop is closed.
func (s *server) send(stop <-chan struct{}) {
	for {
		select {
		case <-s.wake:
			time.Sleep(gatherTime.Duration())
			s.flush()
		case <-stop:
			return
		}
	}
}

// flush sends what is ready. If the link to a coordinator is lost, its call
// has ended as unknown, so that the results may be dropped.
func (s *server) flush() {
	s.mu.Lock()
	ready := s.ready
	s.ready = make(map[zinniatide.VMID][]resultItem, len(ready))
	s.count(ready, 1)
	s.mu.Unlock()
	for vm, items := range ready {
		for len(items) > 0 {
			n := fitting(items)
			if err := s.linker.Send(vm, zinniatide.KindSubResult, &resultMessage{Items: items[:n]}); err != nil {
				klog.V(2).InfoS("results dropped", "step", "serve", "peer", vm, "err", err.Error())
				break
			}
			items = items[n:]
		}
	}
	s.sent(ready)
}

// count adds n to sending for each result.
func (s *server) count(ready map[zinniatide.VMID][]resultItem, n int) {
	for vm, items := range ready {
		for i := range items {
			s.batches[batchKey{vm, items[i].Batch}].sending += n
		}
	}
}

// sent replies to the batches that are complete now.
func (s *server) sent(ready map[zinniatide.VMID][]resultItem) {
	type completed struct {
		batch   *servedBatch
		message *resultMessage
	}
	var all []completed
	s.mu.Lock()
	s.count(ready, -1)
	for vm, items := range ready {
		for i := range items {
			key := batchKey{vm, items[i].Batch}
			if b := s.batches[key]; b != nil {
				if m := s.complete(key, b); m != nil {
					all = append(all, completed{b, m})
				}
			}
		}
	}
	s.mu.Unlock()
	for _, c := range all {
		c.batch.reply(c.message, nil)
	}
}

// fitting returns how many items go into one message, at least one.
func fitting(items []resultItem) int {
	size := 0
	for i := range items {
		size += len(items[i].Body)
		if i > 0 && size > maxResultBytes {
			return i
		}
	}
	return len(items)
}

func (s *server) receiveCancel(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	var m cancelMessage
	err := cbor.Unmarshal(body, &m)
	if err == nil {
		s.cancel(from, m)
	}
	if reply != nil {
		reply(struct{}{}, err)
	}
}

func (s *server) cancel(from zinniatide.VMID, m cancelMessage) {
	s.mu.Lock()
	var cancel func()
	if b := s.batches[batchKey{from, m.Batch}]; b != nil && m.Index >= 0 && m.Index < len(b.cancels) {
		cancel = b.cancels[m.Index]
	}
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
