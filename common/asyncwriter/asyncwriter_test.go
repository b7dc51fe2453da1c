package asyncwriter

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"

	"zinniatide.example/zinniatide/common/clock"
)

// A process must not block when nothing reads its log, and dropped lines must be
// counted.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	reader, writer := io.Pipe()
	w := New(writer, clock.NewManual(0, 0))
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2000 { // far beyond the limits; a blocking Write would hang the test
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d bytes, error %v, want %d and none", n, err, len(line))
		}
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want those beyond the limits counted")
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	w.Close()
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// waitUntilTaken waits until the background goroutine has taken all pending
// lines.
func (w *Writer) waitUntilTaken() {
	for pending := 1; pending > 0; runtime.Gosched() {
		w.mu.Lock()
		pending = len(w.pending)
		w.mu.Unlock()
	}
}

// The log volume must be limited: lines beyond the burst are dropped, and the
// next line that is written is preceded by the number of dropped lines.
func TestLogVolumeIsBounded(t *testing.T) {
	var out lockedBuffer
	manual := clock.NewManual(0, 0)
	w := New(&out, manual)
	line := bytes.Repeat([]byte("y"), 1023)
	line = append(line, '\n')
	for range 2 * burstBytes / len(line) {
		_, _ = w.Write(line)
		w.waitUntilTaken() // keeps maxPendingBytes from being the limit
	}
	manual.Advance(60_000)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	got := out.String()
	if len(got) > burstBytes+1024 {
		t.Errorf("got %d bytes, want at most %d", len(got), burstBytes+1024)
	}
	if !strings.Contains(got, "log lines dropped") || !strings.HasSuffix(got, "last\n") {
		t.Errorf("log ends with %q, want the notice with the count and the last line", got[max(0, len(got)-120):])
	}
}
