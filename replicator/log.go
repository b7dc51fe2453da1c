package replicator

import (
	"fmt"
	"slices"
)

// memoryLog holds the entries after baseIndex. Of the entry at baseIndex, only
// the term is kept.
type memoryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
}

// newMemoryLog builds the log from a stored state and checks it for gaps.
func newMemoryLog(s PersistentState) (memoryLog, error) {
	var l memoryLog
	entries := s.Entries
	if s.Snapshot != nil {
		l.baseIndex, l.baseTerm = s.Snapshot.Index, s.Snapshot.Term
		if len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
			l.baseIndex, l.baseTerm = entries[0].Index, entries[0].Term
			entries = entries[1:]
		}
	}
	l.entries = slices.Clone(entries)
	for i := range l.entries {
		if got, want := l.entries[i].Index, l.baseIndex+1+uint64(i); got != want {
			return l, fmt.Errorf("stored log contains entry %d at the position of entry %d", got, want)
		}
	}
	if s.Snapshot != nil && l.lastIndex() < s.Snapshot.Index {
		return l, fmt.Errorf("stored log ends at entry %d, before its snapshot at entry %d", l.lastIndex(), s.Snapshot.Index)
	}
	return l, nil
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of entry i. It returns false if the entry was compacted
// or does not exist yet.
func (l *memoryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns a copy of the entries from first up to last, limited to about
// maxBytes in total. It always returns at least one entry.
func (l *memoryLog) slice(first, last uint64, maxBytes int) []Entry {
	all := l.entries[first-l.baseIndex-1 : last-l.baseIndex]
	n, size := 0, 0
	for n < len(all) {
		size += len(all[n].Data) + entryOverheadBytes
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return slices.Clone(all[:n])
}

func (l *memoryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes entry first and all entries after it.
func (l *memoryLog) truncate(first uint64) {
	l.entries = slices.Clip(l.entries[:first-l.baseIndex-1])
}

// size returns the approximate size in bytes of the entries from first up to last.
func (l *memoryLog) size(first, last uint64) int {
	n := 0
	for i := max(first, l.baseIndex+1); i <= min(last, l.lastIndex()); i++ {
		n += len(l.entries[i-l.baseIndex-1].Data) + entryOverheadBytes
	}
	return n
}

// firstWithin returns the first of the entries up to last that together take at
// most maxBytes. It is last+1 if not even entry last does.
func (l *memoryLog) firstWithin(last uint64, maxBytes int) uint64 {
	first := last + 1
	for size := 0; first > l.baseIndex+1; first-- {
		size += len(l.entries[first-l.baseIndex-2].Data) + entryOverheadBytes
		if size > maxBytes {
			break
		}
	}
	return first
}

// compact removes the entries up to and including to.
func (l *memoryLog) compact(to uint64) {
	term, ok := l.term(to)
	if !ok || to <= l.baseIndex {
		return
	}
	l.entries = slices.Clone(l.entries[to-l.baseIndex:])
	l.baseIndex, l.baseTerm = to, term
}
