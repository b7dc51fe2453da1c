package linker

import (
	"container/list"

	"github.com/panjf2000/gnet/v2"

	"zinniatide.example/zinniatide"
)

// handshake is the state of an accepted connection before its hello message.
type handshake struct {
	conn gnet.Conn
	// address is kept here because gnet forgets it once the connection is closed,
	// also if a failed write closes it in the middle of a callback.
	address    string
	acceptedAt zinniatide.Millis
	sequence   uint64 // order of acceptance
	upgraded   bool
	// closing is set, with the server's lock held, once the connection is to be closed.
	// gnet does so later, and may deliver the hello before.
	closing bool
	element *list.Element // in handshakeQueue, nil outside
	account zinniatide.ClientConnection
}

// close has the connection closed. The caller holds the server's lock.
func (hs *handshake) close() {
	hs.closing = true
	_ = hs.conn.Close() // done later by the event loop, which reports nothing
}

// handshakeQueue holds the connections without a hello in order of their acceptance.
// Adding and removing take constant time, so that many silent connections do not hold
// up the event loop that accepts connections.
type handshakeQueue struct {
	order    list.List // of *handshake
	accepted uint64    // connections accepted so far
}

func (q *handshakeQueue) len() int { return q.order.Len() }

// accept adds a new connection.
func (q *handshakeQueue) accept(hs *handshake) {
	q.accepted++
	hs.sequence = q.accepted
	hs.element = q.order.PushBack(hs)
}

// add adds a connection that was removed before, at its place.
func (q *handshakeQueue) add(hs *handshake) {
	for e := q.order.Back(); e != nil; e = e.Prev() {
		if e.Value.(*handshake).sequence < hs.sequence {
			hs.element = q.order.InsertAfter(hs, e)
			return
		}
	}
	hs.element = q.order.PushFront(hs)
}

func (q *handshakeQueue) remove(hs *handshake) {
	if hs.element != nil {
		q.order.Remove(hs.element)
		hs.element = nil
	}
}

// oldest returns the connection that has waited longest, or nil.
func (q *handshakeQueue) oldest() *handshake {
	if e := q.order.Front(); e != nil {
		return e.Value.(*handshake)
	}
	return nil
}
