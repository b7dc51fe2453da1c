package enroller

import (
	"sync"

	"zinniatide.example/zinniatide"
)

// quorum calls done once: with nil when the required number of control VMs have
// recorded an update, or with a refusal when that number can no longer be
// reached.
type quorum struct {
	mu           sync.Mutex
	required     int
	recorded     int
	pending      int  // requests without a reply
	allRequested bool // no further requests will be sent
	done         func(error)
}

func newQuorum(required int, done func(error)) *quorum {
	return &quorum{required: max(required, 1), done: done}
}

// addLocalRecord counts the record on this VM.
func (q *quorum) addLocalRecord() { q.update(func() { q.recorded++ }) }

// addRequest counts a request that is sent to another VM.
func (q *quorum) addRequest() { q.update(func() { q.pending++ }) }

// handleReply processes the reply to one request.
func (q *quorum) handleReply(err error) {
	q.update(func() {
		q.pending--
		if err == nil {
			q.recorded++
		}
	})
}

// finishRequests marks that all requests have been sent.
func (q *quorum) finishRequests() { q.update(func() { q.allRequested = true }) }

func (q *quorum) update(change func()) {
	q.mu.Lock()
	change()
	done := q.done
	reached := q.recorded >= q.required
	failed := q.allRequested && q.recorded+q.pending < q.required
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
