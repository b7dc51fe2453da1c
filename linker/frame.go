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

// MaxMessageBytes is the maximum payload of a WebSocket message in bytes, twice
// the maximum size of a backend server's answer.
const MaxMessageBytes = 8 << 20

// kindHello is the kind of the first message in each direction.
const kindHello zinniatide.MessageKind = 1

// A frame consists of two CBOR items, a header and a body. It is the payload of
// one WebSocket message and may be compressed. frameHeader is the first item; the
// body is separate, so that handlers can decode it from the receive buffer
// without a copy.
type frameHeader struct {
	_    struct{} `cbor:",toarray"`
	Kind zinniatide.MessageKind
	// Call is the id that the sender of the request gave to the call. It is 0
	// for one-way messages.
	Call  uint64
	Reply bool
	// Code is set in error replies. Their body is an errorBody.
	Code zinniatide.Code
}

// errorBody is the body of an error reply.
type errorBody struct {
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

// decodeError returns the error that an error reply carries.
func (h *frameHeader) decodeError(body []byte) error {
	var e errorBody
	if err := encoder.Unmarshal(body, &e); err != nil {
		return &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown,
			Message: "error reply not understood: " + err.Error()}
	}
	return &zinniatide.Refusal{Code: h.Code, Outcome: e.Outcome, Message: e.Message}
}

// errorReply returns the code and the body of the error reply for err.
func errorReply(err error) (zinniatide.Code, errorBody) {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) && refusal.Code != "" {
		return refusal.Code, errorBody{Outcome: refusal.Outcome, Message: refusal.Message}
	}
	return zinniatide.CodeInternal, errorBody{Outcome: zinniatide.OutcomeUnknown, Message: err.Error()}
}

// parseFrame decodes the header of an uncompressed frame into h and returns the
// body.
func parseFrame(frame []byte, h *frameHeader) ([]byte, error) {
	*h = frameHeader{}
	body, err := encoder.UnmarshalFirst(frame, h)
	if err != nil {
		return nil, err
	}
	if h.Reply && h.Call == 0 {
		return nil, errors.New("reply has no call id")
	}
	if h.Code != "" && !h.Reply {
		return nil, errors.New("error code in a message that is not a reply")
	}
	if len(body) == 0 {
		return nil, errors.New("frame has no body")
	}
	return body, nil
}

// frameBuffer is a reusable buffer that a frame is encoded into.
type frameBuffer struct {
	bytes.Buffer
	header headerWriter
}

// headerWriter writes a WebSocket header to a slice. It is a field of
// frameBuffer, which saves an allocation per message.
type headerWriter struct {
	buf [ws.MaxHeaderSize]byte
	out []byte
}

func (w *headerWriter) Write(p []byte) (int, error) {
	w.out = append(w.out, p...)
	return len(p), nil
}

var frameBuffers = sync.Pool{New: func() any { return new(frameBuffer) }}

// maxPooledBuffer is the capacity in bytes of the largest buffer kept for reuse,
// so that a rare large message does not occupy memory permanently.
const maxPooledBuffer = 256 << 10

func (b *frameBuffer) release() {
	if b.Cap() <= maxPooledBuffer {
		frameBuffers.Put(b)
	}
}

// encodeFrame encodes a frame as a WebSocket message in a pooled buffer, which the
// caller must release. The dialling side must mask its messages. If c is not nil,
// the frame is compressed if that makes it smaller.
func encodeFrame(h *frameHeader, body any, masked bool, c *compressor.Compressor) (*frameBuffer, []byte, error) {
	b := frameBuffers.Get().(*frameBuffer)
	b.Reset()
	b.Write(b.header.buf[:]) // reserve space for the WebSocket header
	err := encoder.MarshalTo(&b.Buffer, h)
	if err == nil {
		err = encoder.MarshalTo(&b.Buffer, body)
	}
	if err != nil {
		b.release()
		return nil, nil, fmt.Errorf("encode message of kind %d: %w", h.Kind, err)
	}
	if size := b.Len() - ws.MaxHeaderSize; size > MaxMessageBytes {
		b.release()
		return nil, nil, fmt.Errorf("message of kind %d has %d bytes, more than the limit of %d", h.Kind, size, MaxMessageBytes)
	}
	if c != nil && b.Len()-ws.MaxHeaderSize >= compressor.MinSize {
		b = b.compress(c)
	}
	return b, b.addWebSocketHeader(ws.OpBinary, masked), nil
}

// compress returns a buffer with the compressed payload of b and releases b. It
// returns b if compression does not make the payload smaller.
func (b *frameBuffer) compress(c *compressor.Compressor) *frameBuffer {
	compressed := frameBuffers.Get().(*frameBuffer)
	compressed.Reset()
	compressed.Grow(b.Len())
	compressed.Write(compressed.header.buf[:])
	out, ok := c.Compress(compressed.Bytes()[ws.MaxHeaderSize:], b.Bytes()[ws.MaxHeaderSize:])
	if !ok {
		compressed.release()
		return b
	}
	compressed.Write(out) // only sets the length if out already lies in the free capacity of compressed, as it usually does
	b.release()
	return compressed
}

// addWebSocketHeader writes the WebSocket header in front of the payload, which
// starts at ws.MaxHeaderSize in b, masks the payload in place if required and
// returns the message.
func (b *frameBuffer) addWebSocketHeader(op ws.OpCode, masked bool) []byte {
	buffer := b.Bytes()
	payload := buffer[ws.MaxHeaderSize:]
	h := ws.Header{Fin: true, OpCode: op, Masked: masked, Length: int64(len(payload))}
	if masked {
		mask := rand.Uint32() //nolint:gosec // the mask protects against broken proxies, it is not a secret
		h.Mask = [4]byte{byte(mask), byte(mask >> 8), byte(mask >> 16), byte(mask >> 24)}
		ws.Cipher(payload, h.Mask, 0)
	}
	start := ws.MaxHeaderSize - ws.HeaderSize(h)
	b.header.out = buffer[start:start]
	_ = ws.WriteHeaderBuffer(&b.header, h, b.header.buf[:]) // the writer cannot fail and the length is bounded
	return buffer[start:]
}

// controlMessage returns a WebSocket control frame such as a ping.
func controlMessage(op ws.OpCode, payload []byte, masked bool) []byte {
	var b frameBuffer
	b.Write(b.header.buf[:])
	b.Write(payload)
	return b.addWebSocketHeader(op, masked)
}
