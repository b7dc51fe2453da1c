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

// Guards against a process that stops because nobody reads its log, and against
// lines that vanish without a count.
func TestReaderThatStopsBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	w := New(writer, clock.NewManual(0, 0))
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2000 { // far beyond the bounds; a blocking Write would hang the test
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d bytes, error %v, want %d and none", n, err, len(line))
		}
	}
	if w.Omitted() == 0 {
		t.Error("got no line left out, want those beyond the bounds counted")
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	w.Close()
}

// lockedBuffer is a bytes.Buffer for two goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// settle waits until nothing is pending.
func (w *Writer) settle() {
	for pending := 1; pending > 0; runtime.Gosched() {
		w.mu.Lock()
		pending = len(w.pending)
		w.mu.Unlock()
	}
}

// Guards against a log without a bound on its volume: what comes beyond the
// burst is left out and told in the next line that is written.
func TestVolumeIsBounded(t *testing.T) {
	var out lockedBuffer
	clocks := clock.NewManual(0, 0)
	w := New(&out, clocks)
	line := bytes.Repeat([]byte("y"), 1023)
	line = append(line, '\n')
	for range 2 * burst / len(line) {
		_, _ = w.Write(line)
		w.settle() // so that only the rate bounds
	}
	clocks.Advance(60_000)
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	got := out.String()
	if len(got) > burst+1024 {
		t.Errorf("got %d bytes, want at most %d", len(got), burst+1024)
	}
	if !strings.Contains(got, "log lines left out") || !strings.HasSuffix(got, "last\n") {
		t.Errorf("got an end of %q, want a count and the last line", got[max(0, len(got)-120):])
	}
}
