package linker

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
)

// errGoodbye ends a link that the peer closed as planned.
var errGoodbye = errors.New("peer closed the link")

// peeker gives access to received bytes without copying them. gnet.Conn is
// one.
type peeker interface {
	Peek(n int) ([]byte, error)
	Discard(n int) (int, error)
	InboundBuffered() int
}

var _ peeker = gnet.Conn(nil)

// headerReader reads WebSocket headers. Each link has one, so that a message
// costs no allocation for it.
type headerReader struct {
	bytes.Reader
	room [ws.MaxHeaderSize]byte
}

// peekHeader reads the WebSocket header of the next message. It reports false
// while the message is incomplete. Size includes the header.
func (r *headerReader) peekHeader(c peeker, state ws.State, limit int64) (h ws.Header, size int, ok bool, err error) {
	available := c.InboundBuffered()
	if available < ws.MinHeaderSize {
		return h, 0, false, nil
	}
	start, err := c.Peek(min(available, ws.MaxHeaderSize))
	if err != nil {
		return h, 0, false, err
	}
	r.Reset(start)
	h, err = ws.ReadHeaderBuffer(r, r.room[:])
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return h, 0, false, nil
	}
	if err == nil {
		err = ws.CheckHeader(h, state)
	}
	if err != nil {
		return h, 0, false, err
	}
	if !h.Fin || h.OpCode == ws.OpContinuation {
		return h, 0, false, errors.New("message is fragmented")
	}
	if h.Length > limit {
		return h, 0, false, fmt.Errorf("message of %d bytes exceeds the limit of %d", h.Length, limit)
	}
	size = ws.HeaderSize(h) + int(h.Length)
	return h, size, available >= size, nil
}

// unmask returns the payload of a message, unmasked in place.
func unmask(h *ws.Header, message []byte) []byte {
	payload := message[ws.HeaderSize(*h):]
	if h.Masked {
		ws.Cipher(payload, h.Mask, 0)
	}
	return payload
}

// drain handles all messages that have arrived in full.
func (l *Linker) drain(c peeker, k *link) error {
	state := ws.StateServerSide
	if k.dialled || k == l.local {
		state = ws.StateClientSide
	}
	for {
		h, size, ok, err := k.headers.peekHeader(c, state, MaxMessage)
		if err != nil || !ok {
			return err
		}
		message, err := c.Peek(size)
		if err != nil {
			return err
		}
		l.metrics.receivedBytes.Add(float64(size))
		if err := l.dispatch(k, h.OpCode, unmask(&h, message)); err != nil {
			return err
		}
		if _, err := c.Discard(size); err != nil {
			return err
		}
	}
}

func (l *Linker) dispatch(k *link, op ws.OpCode, payload []byte) error {
	switch op {
	case ws.OpBinary:
		return l.receive(k, payload)
	case ws.OpPing:
		// A full queue shows the peer as much life as a pong, and a peer that
		// pings without reading must not make the queue grow.
		if !k.full() {
			k.enqueueControl(ws.OpPong, payload)
		}
	case ws.OpPong:
	case ws.OpClose:
		return errGoodbye
	default:
		return fmt.Errorf("message with opcode %d", op)
	}
	return nil
}

func (k *link) ping() { k.enqueueControl(ws.OpPing, nil) }

// sayGoodbye ends the queue with a close message. Nothing is queued after it.
func (k *link) sayGoodbye() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.enqueueControl(ws.OpClose, ws.NewCloseFrameBody(ws.StatusGoingAway, ""))
}
