// Package asyncwriter writes log lines without ever blocking their source.
package asyncwriter

import (
	"fmt"
	"io"
	"sync"

	"zinniatide.example/zinniatide"
)

// Bounds of what is kept and written.
const (
	// maxPending bounds the bytes that wait for a slow reader.
	maxPending = 256 << 10
	// rate is the bytes a second that are written at most in the long run, and
	// burst what may come at once. At about 300 bytes a line this is 200 lines a
	// second, which costs an entry VM about a hundredth of a core.
	rate  = 64 << 10
	burst = 512 << 10
)

// Writer is an io.Writer whose Write copies and returns. Lines beyond the
// bounds are left out and counted.
type Writer struct {
	out   io.Writer
	clock zinniatide.Clock

	mu      sync.Mutex
	pending []byte
	spare   []byte
	omitted int // lines left out since the last note
	total   uint64
	tokens  float64
	at      zinniatide.Millis
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer on out, which one goroutine writes to until Close.
func New(out io.Writer, clock zinniatide.Clock) *Writer {
	w := &Writer{out: out, clock: clock, tokens: burst, at: clock.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.tokens = min(burst, w.tokens+float64(now-w.at)*rate/1000)
	w.at = now
	size := len(line)
	if w.closed || float64(size) > w.tokens || len(w.pending)+size > maxPending {
		w.omitted++
		w.total++
		return size, nil
	}
	if w.omitted > 0 {
		w.pending = fmt.Appendf(w.pending, "{\"msg\":\"log lines left out\",\"count\":%d}\n", w.omitted)
		w.omitted = 0
	}
	w.tokens -= float64(size)
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return size, nil
}

// Omitted returns how many lines have been left out.
func (w *Writer) Omitted() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		w.mu.Lock()
		out, closed := w.pending, w.closed
		w.pending, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		if len(out) > 0 {
			_, _ = w.out.Write(out) // nowhere to report a failure of the log itself
		}
		w.mu.Lock()
		w.spare = out[:0]
		w.mu.Unlock()
		if len(out) > 0 {
			continue
		}
		if closed {
			return
		}
		<-w.wake
	}
}

// Close writes what is pending and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	<-w.done
}
