package linker

import (
	"container/heap"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/compressor"
)

// transport moves the bytes of a link. All methods but write and backlog may
// be called from any goroutine.
type transport interface {
	// wake has the link's thread call pump soon.
	wake()
	// write hands bytes over, on the link's thread. It keeps no reference.
	write(b []byte) error
	// backlog is the number of bytes handed over but not yet taken by the
	// operating system. It is called on the link's thread.
	backlog() int
	close()
}

// link is one connection to a peer. Its thread is the event loop of the
// connection.
type link struct {
	peer        zinniatide.VMID
	incarnation zinniatide.Incarnation
	dialled     bool // this side dialled, so it masks what it sends
	compresses  bool // the peer understands compressed payloads
	transport   transport
	owner       *Linker
	established zinniatide.Millis
	received    atomic.Int64 // clock time of the last byte
	pinged      zinniatide.Millis

	// Used by the link's thread only.
	headers  headerReader
	frame    frameHeader
	leftover int // bytes of an incomplete message

	mu        sync.Mutex
	closed    bool
	leaving   bool   // a goodbye ends the queue
	scheduled bool   // pump is due
	out       []byte // queued, not yet handed to the transport
	spare     []byte
	messages  int    // queued or in the transport's backlog
	pending   int    // bytes in the transport's backlog
	queued    uint64 // bytes ever queued
	handed    uint64 // bytes ever handed to the transport
	calls     map[uint64]pendingCall
	deadlines deadlineHeap
}

// pendingCall waits for a reply.
type pendingCall struct {
	done  func(body []byte, err error)
	start uint64 // position of the frame among the bytes queued
}

// deadline orders calls by the time at which they end without an answer.
type deadline struct {
	at   zinniatide.Millis
	call uint64
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// compressor returns what compresses messages to the peer, or nil.
func (k *link) compressor() *compressor.Compressor {
	if !k.compresses {
		return nil
	}
	return k.owner.compressor
}

// enqueue appends a message to the queue. For a call it registers done, which
// is then called exactly once, unless enqueue returns an error.
func (k *link) enqueue(message []byte, call uint64, until zinniatide.Millis, done func([]byte, error)) error {
	k.mu.Lock()
	if k.closed || k.leaving {
		k.mu.Unlock()
		return fmt.Errorf("%w: link to %s is closed", zinniatide.ErrNotSent, k.peer)
	}
	full := !k.hasRoom(len(message))
	if !full {
		if done != nil {
			k.calls[call] = pendingCall{done: done, start: k.queued}
			heap.Push(&k.deadlines, deadline{at: until, call: call})
		}
		k.append(message)
	}
	// A full queue is pumped too, because the count of the bytes that the
	// operating system has not taken is only renewed there.
	wake := !k.scheduled
	k.scheduled = true
	k.mu.Unlock()
	if wake {
		k.transport.wake()
	}
	if full {
		k.owner.metrics.rejected.Inc()
		return fmt.Errorf("%w: queue to %s is full", zinniatide.ErrNotSent, k.peer)
	}
	return nil
}

// hasRoom reports whether the queue takes a message of size bytes. The caller
// holds the lock.
func (k *link) hasRoom(size int) bool {
	return k.messages < k.owner.config.QueueMessages && len(k.out)+k.pending+size <= k.owner.config.QueueBytes
}

// full reports whether the queue takes no further message.
func (k *link) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.hasRoom(1)
}

// append queues a message. The caller holds the lock.
func (k *link) append(message []byte) {
	k.out = append(k.out, message...)
	k.queued += uint64(len(message))
	k.messages++
}

// enqueueControl queues a WebSocket control message. It is exempt from the
// limits, as a link whose queue is full must still ping.
func (k *link) enqueueControl(op ws.OpCode, payload []byte) {
	message := controlMessage(op, payload, k.dialled)
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return
	}
	k.append(message)
	wake := !k.scheduled
	k.scheduled = true
	k.mu.Unlock()
	if wake {
		k.transport.wake()
	}
}

// hold defers the wake-ups for messages queued while a batch of received
// messages is handled. pump ends it.
func (k *link) hold() {
	k.mu.Lock()
	k.scheduled = true
	k.mu.Unlock()
}

// maxSpare is the largest queue buffer that an idle link keeps.
const maxSpare = 1 << 20

// pump hands everything queued to the transport in one write. It runs on the
// link's thread.
func (k *link) pump() {
	k.mu.Lock()
	k.scheduled = false
	if k.closed {
		k.mu.Unlock()
		return
	}
	batch, messages := k.out, k.messages
	k.out, k.spare = k.spare[:0], nil
	k.handed += uint64(len(batch))
	k.pending += len(batch)
	k.mu.Unlock()

	if len(batch) > 0 {
		k.owner.metrics.writes.Inc()
		k.owner.metrics.sentBytes.Add(float64(len(batch)))
		if err := k.transport.write(batch); err != nil {
			k.owner.drop(k, "write", err)
			return
		}
	}
	backlog := k.transport.backlog()
	if backlog > 0 {
		k.owner.ticker.At(k.owner.clock.Now() + zinniatide.TickInterval) // stalled asks for the next pump
	}
	k.mu.Lock()
	k.pending = backlog
	if backlog == 0 {
		k.messages -= messages
	}
	if cap(batch) <= maxSpare {
		k.spare = batch[:0]
	}
	k.mu.Unlock()
}

// finish ends the call of a reply. A reply to a call that has ended is late.
func (k *link) finish(h *frameHeader, body []byte) {
	k.mu.Lock()
	call, ok := k.calls[h.Call]
	delete(k.calls, h.Call)
	k.mu.Unlock()
	switch {
	case !ok:
		k.owner.metrics.lateReplies.Inc()
	case h.Code != "":
		call.done(nil, h.errorOf(body))
	default:
		call.done(body, nil)
	}
}

// expire ends the calls whose time is up and returns when the next one is due.
func (k *link) expire(now zinniatide.Millis) zinniatide.Millis {
	var expired []pendingCall
	next := now + zinniatide.LinkPingInterval
	k.mu.Lock()
	for len(k.deadlines) > 0 {
		first := k.deadlines[0]
		call, open := k.calls[first.call]
		if open && first.at > now {
			break
		}
		heap.Pop(&k.deadlines)
		if open {
			expired = append(expired, call)
			delete(k.calls, first.call)
		}
	}
	if len(k.deadlines) > 0 {
		next = min(next, k.deadlines[0].at)
	}
	k.mu.Unlock()
	for _, call := range expired {
		k.owner.metrics.timeouts.Inc()
		call.done(nil, zinniatide.ErrTimeout)
	}
	return next
}

// fail closes the link and ends its calls. A call whose frame was handed to
// the transport may have reached the peer, even if the write then failed.
func (k *link) fail() (first bool) {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return false
	}
	k.closed = true
	calls, handed := k.calls, k.handed
	k.calls, k.deadlines, k.out, k.spare = nil, nil, nil, nil
	k.mu.Unlock()
	for _, call := range calls {
		if call.start >= handed {
			call.done(nil, fmt.Errorf("%w: link to %s closed before the message left", zinniatide.ErrNotSent, k.peer))
		} else {
			call.done(nil, zinniatide.ErrLinkLost)
		}
	}
	k.transport.close()
	return true
}

// idle reports whether nothing is queued or in the transport's backlog.
func (k *link) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed || len(k.out) == 0 && k.pending == 0
}

// stalled reports whether the transport holds bytes back, so that the count
// of them must be renewed.
func (k *link) stalled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.pending == 0 || k.scheduled {
		return false
	}
	k.scheduled = true
	return true
}

// connTransport is a connection of the event engine.
type connTransport struct{ conn gnet.Conn }

func (t connTransport) wake()                { _ = t.conn.Wake(nil) }
func (t connTransport) write(b []byte) error { _, err := t.conn.Write(b); return err }
func (t connTransport) backlog() int         { return t.conn.OutboundBuffered() }
func (t connTransport) close()               { _ = t.conn.Close() }
