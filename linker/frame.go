package linker

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/gobwas/ws"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/compressor"
	"zinniatide.example/zinniatide/encoder"
)

// MaxMessage is the largest WebSocket message accepted or sent, in bytes. It
// holds a backend server's answer twice over.
const MaxMessage = 8 << 20

// kindHello is the kind of the first frame in each direction.
const kindHello zinniatide.MessageKind = 1

// frameHeader starts each frame. The body, one CBOR item, follows it, so that
// a handler reads the body where it was received.
type frameHeader struct {
	_    struct{} `cbor:",toarray"`
	Kind zinniatide.MessageKind
	// Call numbers the calls of the sender of the request. It is zero for
	// one-way messages.
	Call  uint64
	Reply bool
	// Code is set on a reply whose body is a failure.
	Code zinniatide.Code
}

// failure is the body of an error reply.
type failure struct {
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

// errorOf turns an error reply into the error that its caller gets.
func (h *frameHeader) errorOf(body []byte) error {
	var f failure
	if err := encoder.Unmarshal(body, &f); err != nil {
		return &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown,
			Message: "error reply not understood: " + err.Error()}
	}
	return &zinniatide.Refusal{Code: h.Code, Outcome: f.Outcome, Message: f.Message}
}

// refusalOf gives the code, outcome and message that err has on the wire.
func refusalOf(err error) (zinniatide.Code, failure) {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) && refusal.Code != "" {
		return refusal.Code, failure{Outcome: refusal.Outcome, Message: refusal.Message}
	}
	return zinniatide.CodeInternal, failure{Outcome: zinniatide.OutcomeUnknown, Message: err.Error()}
}

// parseFrame splits a message into its header, which it stores in h, and its
// body.
func parseFrame(message []byte, h *frameHeader) ([]byte, error) {
	*h = frameHeader{}
	body, err := encoder.UnmarshalFirst(message, h)
	if err != nil {
		return nil, err
	}
	if h.Reply && h.Call == 0 {
		return nil, errors.New("reply without a call number")
	}
	if h.Code != "" && !h.Reply {
		return nil, errors.New("error code outside a reply")
	}
	if len(body) == 0 {
		return nil, errors.New("frame without a body")
	}
	return body, nil
}

// scratch holds one frame while it is encoded.
type scratch struct {
	bytes.Buffer
	header headerWriter
}

// headerWriter writes a WebSocket header to a slice. As a part of a scratch
// it costs no allocation for each message.
type headerWriter struct {
	room [ws.MaxHeaderSize]byte
	out  []byte
}

func (w *headerWriter) Write(p []byte) (int, error) {
	w.out = append(w.out, p...)
	return len(p), nil
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// maxScratch is the largest buffer kept for reuse. A rare large message does
// not hold its memory for good.
const maxScratch = 256 << 10

func (s *scratch) release() {
	if s.Cap() <= maxScratch {
		scratches.Put(s)
	}
}

// encodeFrame returns a WebSocket message in a buffer from the pool, which
// the caller releases. Masked is required of the side that dialled. With a
// compressor, the payload is compressed where that makes it smaller.
func encodeFrame(h *frameHeader, body any, masked bool, c *compressor.Compressor) (*scratch, []byte, error) {
	s := scratches.Get().(*scratch)
	s.Reset()
	s.Write(s.header.room[:]) // place for the WebSocket header
	err := encoder.MarshalTo(&s.Buffer, h)
	if err == nil {
		err = encoder.MarshalTo(&s.Buffer, body)
	}
	if err != nil {
		s.release()
		return nil, nil, fmt.Errorf("encode message of kind %d: %w", h.Kind, err)
	}
	if size := s.Len() - ws.MaxHeaderSize; size > MaxMessage {
		s.release()
		return nil, nil, fmt.Errorf("message of kind %d has %d bytes, more than the limit of %d", h.Kind, size, MaxMessage)
	}
	if c != nil && s.Len()-ws.MaxHeaderSize >= compressor.Least {
		s = s.compress(c)
	}
	return s, s.wrap(ws.OpBinary, masked), nil
}

// compress returns the buffer to send, which is s when its payload does not
// become smaller.
func (s *scratch) compress(c *compressor.Compressor) *scratch {
	smaller := scratches.Get().(*scratch)
	smaller.Reset()
	smaller.Grow(s.Len())
	smaller.Write(smaller.header.room[:])
	out, ok := c.Compress(smaller.Bytes()[ws.MaxHeaderSize:], s.Bytes()[ws.MaxHeaderSize:])
	if !ok {
		smaller.release()
		return s
	}
	smaller.Write(out)
	s.release()
	return smaller
}

// wrap writes the WebSocket header in front of the payload, which starts at
// ws.MaxHeaderSize in s, and masks the payload in place.
func (s *scratch) wrap(op ws.OpCode, masked bool) []byte {
	buffer := s.Bytes()
	payload := buffer[ws.MaxHeaderSize:]
	h := ws.Header{Fin: true, OpCode: op, Masked: masked, Length: int64(len(payload))}
	if masked {
		mask := rand.Uint32() //nolint:gosec // masking guards against proxies, not readers
		h.Mask = [4]byte{byte(mask), byte(mask >> 8), byte(mask >> 16), byte(mask >> 24)}
		ws.Cipher(payload, h.Mask, 0)
	}
	start := ws.MaxHeaderSize - ws.HeaderSize(h)
	s.header.out = buffer[start:start]
	_ = ws.WriteHeaderBuffer(&s.header, h, s.header.room[:]) // the writer cannot fail and the length is bounded
	return buffer[start:]
}

// controlMessage returns a WebSocket control message such as a ping.
func controlMessage(op ws.OpCode, payload []byte, masked bool) []byte {
	var s scratch
	s.Write(s.header.room[:])
	s.Write(payload)
	return s.wrap(op, masked)
}
