package linker

import (
	"sync"

	"k8s.io/klog/v2"
)

// loopback is the transport of the link from a VM to itself. Messages are encoded
// and handled as they are between VMs, so their bodies have the same lifetime and
// handlers run on a goroutine of the linker, not of the sender.
type loopback struct {
	link   *link
	signal chan struct{}
	done   chan struct{}
	once   sync.Once
}

func newLocalLink(l *Linker) *link {
	lk := newLink(l, l.config.Self, l.config.Process)
	t := &loopback{link: lk, signal: make(chan struct{}, 1), done: make(chan struct{})}
	lk.transport = t
	return lk
}

func (t *loopback) run() {
	defer t.link.linker.running.Done()
	for {
		select {
		case <-t.signal:
			t.link.flush()
		case <-t.done:
			return
		}
	}
}

func (t *loopback) wake() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

func (t *loopback) write(b []byte) error {
	// Both ends are the same link, so the written bytes are received directly.
	r := sliceReader{b}
	if err := t.link.linker.readMessages(&r, t.link); err != nil {
		klog.ErrorS(err, "invalid message on the loopback link", "step", "decode", "peer", t.link.peer)
	}
	return nil
}

func (t *loopback) backlog() int { return 0 }
func (t *loopback) close()       { t.once.Do(func() { close(t.done) }) }

// sliceReader implements peeker over a slice.
type sliceReader struct{ b []byte }

func (r *sliceReader) Peek(n int) ([]byte, error) { return r.b[:n], nil }
func (r *sliceReader) Discard(n int) (int, error) { r.b = r.b[n:]; return n, nil }
func (r *sliceReader) InboundBuffered() int       { return len(r.b) }
