package enroller

import (
	"sync"

	"zinniatide.example/zinniatide"
)

// quorum calls done once: with nil after enough control VMs have recorded
// something, or with a refusal once that can no longer be.
type quorum struct {
	mu     sync.Mutex
	needed int
	grants int
	open   int  // answers that are awaited
	sealed bool // no more VMs are asked
	done   func(error)
}

func newQuorum(needed int, done func(error)) *quorum {
	return &quorum{needed: max(needed, 1), done: done}
}

// granted counts a record on this VM.
func (q *quorum) granted() { q.update(func() { q.grants++ }) }

// asked counts a VM whose answer is awaited.
func (q *quorum) asked() { q.update(func() { q.open++ }) }

// answered takes the answer of a VM.
func (q *quorum) answered(err error) {
	q.update(func() {
		q.open--
		if err == nil {
			q.grants++
		}
	})
}

// closed tells that all VMs have been asked.
func (q *quorum) closed() { q.update(func() { q.sealed = true }) }

func (q *quorum) update(change func()) {
	q.mu.Lock()
	change()
	done := q.done
	reached := q.grants >= q.needed
	failed := q.sealed && q.grants+q.open < q.needed
	if done != nil && (reached || failed) {
		q.done = nil
	}
	q.mu.Unlock()
	switch {
	case done == nil:
	case reached:
		done(nil)
	case failed:
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "too few control VMs answer"))
	}
}
