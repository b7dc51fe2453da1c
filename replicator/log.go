package replicator

import (
	"fmt"
	"slices"
)

// memoryLog holds the entries after base. The entry at base itself is known
// only by its term.
type memoryLog struct {
	base, baseTerm uint64
	entries        []Entry
}

// newMemoryLog builds the log of a stored state and checks that it has no gaps.
func newMemoryLog(s State) (memoryLog, error) {
	var l memoryLog
	entries := s.Entries
	if s.Snapshot != nil {
		l.base, l.baseTerm = s.Snapshot.Index, s.Snapshot.Term
		if len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
			l.base, l.baseTerm = entries[0].Index, entries[0].Term
			entries = entries[1:]
		}
	}
	l.entries = slices.Clone(entries)
	for i := range l.entries {
		if got, want := l.entries[i].Index, l.base+1+uint64(i); got != want {
			return l, fmt.Errorf("stored log has entry %d where entry %d belongs", got, want)
		}
	}
	if s.Snapshot != nil && l.last() < s.Snapshot.Index {
		return l, fmt.Errorf("stored log ends at entry %d before its snapshot at %d", l.last(), s.Snapshot.Index)
	}
	return l, nil
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of entry i. It reports false when the entry was
// compacted or does not exist yet.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns a copy of the entries from first on, at least one and not
// more than maxBytes of data after it.
func (l *memoryLog) slice(first, last uint64, maxBytes int) []Entry {
	all := l.entries[first-l.base-1 : last-l.base]
	n, size := 0, 0
	for n < len(all) {
		size += len(all[n].Data) + entryOverhead
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return slices.Clone(all[:n])
}

func (l *memoryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops entry first and everything after it.
func (l *memoryLog) truncate(first uint64) {
	l.entries = slices.Clip(l.entries[:first-l.base-1])
}

// compact forgets the entries up to and including to.
func (l *memoryLog) compact(to uint64) {
	term, ok := l.term(to)
	if !ok || to <= l.base {
		return
	}
	l.entries = slices.Clone(l.entries[to-l.base:])
	l.base, l.baseTerm = to, term
}
