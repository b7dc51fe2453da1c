// Package asyncwriter writes log lines without blocking the goroutines that log.
package asyncwriter

import (
	"fmt"
	"io"
	"sync"

	"zinniatide.example/zinniatide"
)

// Limits on buffered and written data.
const (
	// maxPendingBytes limits the data that is buffered for a slow reader.
	maxPendingBytes = 256 << 10
	// bytesPerSecond limits the average rate of written data, and burstBytes the
	// data written at once. At about 300 bytes per line the rate is about 200
	// lines per second, which costs an entry VM about 1% of a core.
	bytesPerSecond = 64 << 10
	burstBytes     = 512 << 10
)

// Writer is an io.Writer whose Write copies the line to a buffer and returns
// without blocking. Lines beyond the limits are dropped and counted.
type Writer struct {
	out   io.Writer
	clock zinniatide.Clock

	mu              sync.Mutex
	pending         []byte
	spareBuffer     []byte
	unreportedDrops int // lines dropped since the last notice
	totalDrops      uint64
	tokens          float64
	refilledAt      zinniatide.Millis
	closed          bool
	wake            chan struct{}
	done            chan struct{}
}

// New returns a Writer for out. A background goroutine writes to out until Close
// is called.
func New(out io.Writer, clock zinniatide.Clock) *Writer {
	w := &Writer{out: out, clock: clock, tokens: burstBytes, refilledAt: clock.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.tokens = min(burstBytes, w.tokens+float64(now-w.refilledAt)*bytesPerSecond/1000)
	w.refilledAt = now
	size := len(line)
	if w.closed || float64(size) > w.tokens || len(w.pending)+size > maxPendingBytes {
		w.unreportedDrops++
		w.totalDrops++
		return size, nil
	}
	if w.unreportedDrops > 0 {
		w.pending = fmt.Appendf(w.pending, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", w.unreportedDrops)
		w.unreportedDrops = 0
	}
	w.tokens -= float64(size)
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return size, nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		w.mu.Lock()
		out, closed := w.pending, w.closed
		w.pending, w.spareBuffer = w.spareBuffer[:0], nil
		w.mu.Unlock()
		if len(out) > 0 {
			_, _ = w.out.Write(out) // there is nowhere to report a failure of the log itself
		}
		w.mu.Lock()
		w.spareBuffer = out[:0]
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

// Close writes the buffered lines and stops the background goroutine.
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
