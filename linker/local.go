package linker

import (
	"sync"

	"k8s.io/klog/v2"
)

// loopback is the transport of the link of a VM to itself. Messages take the
// same path as between VMs, so their bodies have the same lifetime and
// handlers run on a thread of the linker, not of the sender.
type loopback struct {
	link   *link
	signal chan struct{}
	done   chan struct{}
	once   sync.Once
}

func newLocalLink(l *Linker) *link {
	k := newLink(l, l.config.Self, l.config.Incarnation)
	t := &loopback{link: k, signal: make(chan struct{}, 1), done: make(chan struct{})}
	k.transport = t
	return k
}

func (t *loopback) run() {
	defer t.link.owner.running.Done()
	for {
		select {
		case <-t.signal:
			t.link.pump()
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
	// The link has a queue at one end only, so it reads what it wrote.
	r := sliceReader{b}
	if err := t.link.owner.drain(&r, t.link); err != nil {
		klog.ErrorS(err, "message of this VM to itself not understood", "step", "decode", "peer", t.link.peer)
	}
	return nil
}

func (t *loopback) backlog() int { return 0 }
func (t *loopback) close()       { t.once.Do(func() { close(t.done) }) }

// sliceReader is a peeker over a slice.
type sliceReader struct{ b []byte }

func (r *sliceReader) Peek(n int) ([]byte, error) { return r.b[:n], nil }
func (r *sliceReader) Discard(n int) (int, error) { r.b = r.b[n:]; return n, nil }
func (r *sliceReader) InboundBuffered() int       { return len(r.b) }
