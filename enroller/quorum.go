package enroller

import (
	"slices"
	"sync"

	"zinniatide.example/zinniatide"
)

// quorum calls done once: with nil when a majority of each set of control VMs has
// recorded an update, or with a refusal when that is no longer possible.
type quorum struct {
	mu       sync.Mutex
	sets     [][]zinniatide.VMID
	recorded map[zinniatide.VMID]bool
	failed   map[zinniatide.VMID]bool
	done     func(error)
}

func newQuorum(done func(error), sets ...[]zinniatide.VMID) *quorum {
	return &quorum{sets: sets, done: done, recorded: map[zinniatide.VMID]bool{}, failed: map[zinniatide.VMID]bool{}}
}

// update takes the result of the record on one VM.
func (q *quorum) update(vm zinniatide.VMID, err error) {
	q.mu.Lock()
	if err == nil {
		q.recorded[vm] = true
	} else {
		q.failed[vm] = true
	}
	recorded, failed := true, false
	for _, set := range q.sets {
		recorded = recorded && q.isMajority(set, q.recorded)
		failed = failed || q.isBlocked(set)
	}
	done := q.done
	if recorded || failed {
		q.done = nil
	}
	q.mu.Unlock()
	switch {
	case done == nil:
	case recorded:
		done(nil)
	case failed:
		done(zinniatide.Refuse(zinniatide.CodeNoQuorum, "too few control VMs answer"))
	}
}

func (q *quorum) isMajority(set []zinniatide.VMID, in map[zinniatide.VMID]bool) bool {
	return 2*count(set, in) > len(set)
}

// isBlocked reports whether too many VMs of the set have failed for a majority.
func (q *quorum) isBlocked(set []zinniatide.VMID) bool {
	return 2*(len(set)-count(set, q.failed)) <= len(set)
}

func count(set []zinniatide.VMID, in map[zinniatide.VMID]bool) int {
	n := 0
	for _, vm := range set {
		if in[vm] {
			n++
		}
	}
	return n
}

// unionOf returns the VMs of both sets, each once.
func unionOf(a, b []zinniatide.VMID) []zinniatide.VMID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
