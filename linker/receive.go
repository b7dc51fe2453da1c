package linker

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
)

// errPeerClosed means that the peer sent a close frame.
var errPeerClosed = errors.New("peer closed the link")

// peeker gives access to received bytes without copying them. gnet.Conn
// implements it.
type peeker interface {
	Peek(n int) ([]byte, error)
	Discard(n int) (int, error)
	InboundBuffered() int
}

var _ peeker = gnet.Conn(nil)

// headerReader parses WebSocket headers. Each link has one, which saves an
// allocation per message.
type headerReader struct {
	bytes.Reader
	buf [ws.MaxHeaderSize]byte
}

// peekHeader parses the WebSocket header of the next message. It returns ok only
// if the whole message has been received. size includes the header.
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
	h, err = ws.ReadHeaderBuffer(r, r.buf[:])
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

// unmask unmasks the payload of a message in place and returns it.
func unmask(h *ws.Header, message []byte) []byte {
	payload := message[ws.HeaderSize(*h):]
	if h.Masked {
		ws.Cipher(payload, h.Mask, 0)
	}
	return payload
}

// readMessages handles all messages that have been received completely.
func (l *Linker) readMessages(c peeker, lk *link) error {
	state := ws.StateServerSide
	if lk.dialled || lk == l.local {
		state = ws.StateClientSide
	}
	for {
		h, size, ok, err := lk.headerReader.peekHeader(c, state, MaxMessageBytes)
		if err != nil || !ok {
			return err
		}
		message, err := c.Peek(size)
		if err != nil {
			return err
		}
		l.metrics.receivedBytes.Add(float64(size))
		if err := l.handlePayload(lk, h.OpCode, unmask(&h, message)); err != nil {
			return err
		}
		if _, err := c.Discard(size); err != nil {
			return err
		}
	}
}

func (l *Linker) handlePayload(lk *link, op ws.OpCode, payload []byte) error {
	switch op {
	case ws.OpBinary:
		return l.handleFrame(lk, payload)
	case ws.OpPing:
		// Skip the pong if the queue is full: the queued messages tell the peer
		// as well that this VM is alive, and a peer that sends pings without
		// reading must not make the queue grow.
		if !lk.full() {
			lk.enqueueControl(ws.OpPong, payload)
		}
	case ws.OpPong:
	case ws.OpClose:
		return errPeerClosed
	default:
		return fmt.Errorf("unsupported opcode %d", op)
	}
	return nil
}

func (lk *link) sendPing() { lk.enqueueControl(ws.OpPing, nil) }

// sendClose queues a close frame. No message can be queued after it.
func (lk *link) sendClose() {
	lk.mu.Lock()
	lk.closing = true
	lk.mu.Unlock()
	lk.enqueueControl(ws.OpClose, ws.NewCloseFrameBody(ws.StatusGoingAway, ""))
}
