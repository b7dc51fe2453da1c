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

// transport writes the bytes of a link to the network. All methods except write
// and backlog may be called from any goroutine.
type transport interface {
	// wake schedules a call of flush on the link's event loop.
	wake()
	// write passes b to the operating system or buffers a copy of it. It is
	// called on the link's event loop.
	write(b []byte) error
	// backlog returns the number of buffered bytes that the operating system has
	// not accepted yet. It is called on the link's event loop.
	backlog() int
	close()
}

// link is one connection to a peer, served by the event loop of the connection.
type link struct {
	peer         zinniatide.VMID
	process      zinniatide.ProcessID
	dialled      bool   // this side dialled, so it must mask the frames it sends
	dial         uint64 // hello.Dial of the peer, 0 if this side dialled
	compresses   bool   // both sides support compressed payloads
	transport    transport
	linker       *Linker
	account      zinniatide.ClientConnection // of an accepted connection, nil without a budget
	established  zinniatide.Millis
	lastReceived atomic.Int64 // time of the last received byte
	lastPing     zinniatide.Millis
	// probedAt is when a probe was sent that has no answer yet, or 0.
	probedAt atomic.Int64

	// Used by the link's event loop only.
	headerReader headerReader
	frameHeader  frameHeader
	partialBytes int // received bytes of an incomplete message

	mu             sync.Mutex
	closed         bool
	closing        bool   // the queue ends with a close frame
	flushScheduled bool   // a call of flush is scheduled
	queue          []byte // not yet passed to the transport
	spareQueue     []byte // empty buffer, becomes queue at the next flush
	queuedMessages int    // in queue or in the transport's backlog
	backlogBytes   int    // size of the transport's backlog at the last flush
	queueOffset    uint64 // total bytes ever appended to queue
	writeOffset    uint64 // total bytes ever taken from queue to be written
	calls          map[uint64]pendingCall
	deadlines      deadlineHeap
}

// pendingCall is a call without a reply.
type pendingCall struct {
	done   func(body []byte, err error)
	offset uint64 // value of queueOffset before the message
}

// deadline is the time at which a call times out.
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

// compressor returns the compressor for messages to the peer, or nil if payloads
// on this link must not be compressed.
func (lk *link) compressor() *compressor.Compressor {
	if !lk.compresses {
		return nil
	}
	return lk.linker.compressor
}

// enqueue appends a message to the queue. If done is not nil, it registers a
// call, whose done is called exactly once unless enqueue returns an error.
func (lk *link) enqueue(message []byte, call uint64, until zinniatide.Millis, done func([]byte, error)) error {
	lk.mu.Lock()
	if lk.closed || lk.closing {
		lk.mu.Unlock()
		return fmt.Errorf("%w: link to %s is closed", zinniatide.ErrNotSent, lk.peer)
	}
	full := !lk.hasRoom(len(message))
	if !full {
		if done != nil {
			lk.calls[call] = pendingCall{done: done, offset: lk.queueOffset}
			heap.Push(&lk.deadlines, deadline{at: until, call: call})
		}
		lk.appendLocked(message)
	}
	// Flush a full queue too, because only flush updates the size of the
	// transport's backlog.
	wake := !lk.flushScheduled
	lk.flushScheduled = true
	lk.mu.Unlock()
	if wake {
		lk.transport.wake()
	}
	if full {
		lk.linker.metrics.rejected.Inc()
		return fmt.Errorf("%w: queue to %s is full", zinniatide.ErrNotSent, lk.peer)
	}
	return nil
}

// hasRoom reports whether a message of size bytes fits into the queue. The
// caller holds the lock.
func (lk *link) hasRoom(size int) bool {
	return lk.queuedMessages < lk.linker.config.QueueMessages && len(lk.queue)+lk.backlogBytes+size <= lk.linker.config.QueueBytes
}

// full reports whether the queue has no room for another message.
func (lk *link) full() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return !lk.hasRoom(1)
}

// appendLocked appends a message to the queue. The caller holds the lock.
func (lk *link) appendLocked(message []byte) {
	lk.queue = append(lk.queue, message...)
	lk.queueOffset += uint64(len(message))
	lk.queuedMessages++
}

// enqueueControl queues a WebSocket control frame. Control frames are exempt
// from the queue limits, because a link with a full queue must still ping.
func (lk *link) enqueueControl(op ws.OpCode, payload []byte) {
	message := controlMessage(op, payload, lk.dialled)
	lk.mu.Lock()
	if lk.closed {
		lk.mu.Unlock()
		return
	}
	lk.appendLocked(message)
	wake := !lk.flushScheduled
	lk.flushScheduled = true
	lk.mu.Unlock()
	if wake {
		lk.transport.wake()
	}
}

// deferWakeUps suppresses wake-ups for messages that are queued while a batch of
// received messages is handled. The next flush writes them all at once.
func (lk *link) deferWakeUps() {
	lk.mu.Lock()
	lk.flushScheduled = true
	lk.mu.Unlock()
}

// maxSpareQueue is the size in bytes of the largest queue buffer that a link
// keeps for reuse.
const maxSpareQueue = 1 << 20

// flush writes all queued messages to the transport in one write. It runs on
// the link's event loop.
func (lk *link) flush() {
	lk.mu.Lock()
	lk.flushScheduled = false
	if lk.closed {
		lk.mu.Unlock()
		return
	}
	batch, messages := lk.queue, lk.queuedMessages
	lk.queue, lk.spareQueue = lk.spareQueue[:0], nil
	lk.writeOffset += uint64(len(batch))
	lk.backlogBytes += len(batch)
	lk.mu.Unlock()

	if len(batch) > 0 {
		lk.linker.metrics.writes.Inc()
		lk.linker.metrics.sentBytes.Add(float64(len(batch)))
		if err := lk.transport.write(batch); err != nil {
			lk.linker.dropLink(lk, "write", err)
			return
		}
	}
	backlog := lk.transport.backlog()
	if backlog > 0 {
		lk.linker.ticker.ScheduleAt(lk.linker.clock.Now() + zinniatide.TickInterval) // tickLink then schedules the next flush
	}
	lk.mu.Lock()
	lk.backlogBytes = backlog
	if backlog == 0 {
		lk.queuedMessages -= messages
	}
	if cap(batch) <= maxSpareQueue {
		lk.spareQueue = batch[:0]
	}
	lk.mu.Unlock()
}

// completeCall passes a reply to its call. A reply to a call that has already
// ended is dropped.
func (lk *link) completeCall(h *frameHeader, body []byte) {
	lk.mu.Lock()
	call, ok := lk.calls[h.Call]
	delete(lk.calls, h.Call)
	lk.mu.Unlock()
	switch {
	case !ok:
		lk.linker.metrics.lateReplies.Inc()
	case h.Code != "":
		call.done(nil, h.decodeError(body))
	default:
		call.done(body, nil)
	}
}

// expireCalls ends timed-out calls and returns the time of the next timeout.
func (lk *link) expireCalls(now zinniatide.Millis) zinniatide.Millis {
	var expired []pendingCall
	next := now + zinniatide.LinkPingInterval
	lk.mu.Lock()
	for len(lk.deadlines) > 0 {
		first := lk.deadlines[0]
		call, open := lk.calls[first.call]
		if open && first.at > now {
			break
		}
		heap.Pop(&lk.deadlines)
		if open {
			expired = append(expired, call)
			delete(lk.calls, first.call)
		}
	}
	if len(lk.deadlines) > 0 {
		next = min(next, lk.deadlines[0].at)
	}
	lk.mu.Unlock()
	for _, call := range expired {
		lk.linker.metrics.timeouts.Inc()
		call.done(nil, zinniatide.ErrTimeout)
	}
	return next
}

// close closes the link and ends its calls. It reports whether the link was
// open. A call whose frame was passed to the transport may have reached the
// peer even if the write failed, so it ends with ErrLinkLost.
func (lk *link) close() (wasOpen bool) {
	lk.mu.Lock()
	if lk.closed {
		lk.mu.Unlock()
		return false
	}
	lk.closed = true
	calls, written := lk.calls, lk.writeOffset
	lk.calls, lk.deadlines, lk.queue, lk.spareQueue = nil, nil, nil, nil
	lk.mu.Unlock()
	for _, call := range calls {
		if call.offset >= written {
			call.done(nil, fmt.Errorf("%w: link to %s closed before the message left", zinniatide.ErrNotSent, lk.peer))
		} else {
			call.done(nil, zinniatide.ErrLinkLost)
		}
	}
	lk.transport.close()
	return true
}

// idle reports whether the queue and the transport's backlog are empty.
func (lk *link) idle() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.closed || len(lk.queue) == 0 && lk.backlogBytes == 0
}

// scheduleFlushIfStalled marks a flush as scheduled if the transport has a
// backlog and no flush is scheduled, and reports whether it did. The caller must
// then wake the event loop, whose flush updates the size of the backlog.
func (lk *link) scheduleFlushIfStalled() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.closed || lk.backlogBytes == 0 || lk.flushScheduled {
		return false
	}
	lk.flushScheduled = true
	return true
}

// connTransport is a transport over a gnet connection.
type connTransport struct{ conn gnet.Conn }

func (t connTransport) wake()                { _ = t.conn.Wake(nil) }
func (t connTransport) write(b []byte) error { _, err := t.conn.Write(b); return err }
func (t connTransport) backlog() int         { return t.conn.OutboundBuffered() }
func (t connTransport) close()               { _ = t.conn.Close() }
