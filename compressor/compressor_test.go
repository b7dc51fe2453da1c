package compressor

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

func newCompressor(t testing.TB, limit int) *Compressor {
	t.Helper()
	c, err := New(limit)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func namesMessage(n int) []byte {
	var b []byte
	for i := range n {
		b = fmt.Appendf(b, `{"service":"booking-desk~%d","health-path":"/healthz"},`, i)
	}
	return b
}

// Guards against configurations that are sent uncompressed, and against messages
// that are changed by compression.
func TestRepeatedNamesAreCompressed(t *testing.T) {
	c := newCompressor(t, 1<<20)
	message := namesMessage(300)
	small, ok := c.Compress([]byte("dest"), message)
	if !ok || !bytes.HasPrefix(small, []byte("dest")) {
		t.Fatalf("got ok %v and prefix %q, want true and dest", ok, small[:4])
	}
	small = small[4:]
	if got, want := len(small), len(message)/5; got > want {
		t.Errorf("got %d bytes of %d, want %d at most", got, len(message), want)
	}
	if !c.IsCompressed(small) || c.IsCompressed(message) {
		t.Errorf("got compressed %v and %v, want true and false", c.IsCompressed(small), c.IsCompressed(message))
	}
	got, err := c.Decompress(small)
	if err != nil || !bytes.Equal(got, message) {
		t.Errorf("got %d bytes, %v, want the message of %d", len(got), err, len(message))
	}
}

// Guards against compressing small messages and messages that do not become
// smaller.
func TestIncompressibleMessagesAreKept(t *testing.T) {
	c := newCompressor(t, 1<<20)
	noise := make([]byte, 4*MinSize)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(noise)
	for _, message := range [][]byte{nil, namesMessage(1), noise} {
		if out, ok := c.Compress(nil, message); ok || len(out) > 0 {
			t.Errorf("got %d bytes, %v for a message of %d bytes, want none", len(out), ok, len(message))
		}
	}
}

// Guards against a small message that expands beyond the receiver's memory limit.
func TestDecompressLimit(t *testing.T) {
	large := bytes.Repeat([]byte("a"), 1<<20)
	small, ok := newCompressor(t, 1<<20).Compress(nil, large)
	if !ok {
		t.Fatal("message was not compressed")
	}
	if got, err := newCompressor(t, 1<<19).Decompress(small); err == nil {
		t.Errorf("got %d bytes, want an error", len(got))
	}
}

// Guards against corrupted messages that crash a receiver.
func FuzzDecompress(f *testing.F) {
	c := newCompressor(f, 1<<16)
	small, _ := c.Compress(nil, namesMessage(100))
	f.Add(small)
	f.Add(small[:len(small)/2])
	f.Add(zstdMagic)
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := c.Decompress(b); err == nil && len(got) > 1<<16 {
			t.Errorf("got %d bytes, want %d at most", len(got), 1<<16)
		}
	})
}
