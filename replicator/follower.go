package replicator

import (
	"fmt"

	"zinniatide.example/zinniatide"
)

// incomingSnapshot assembles the chunks of a snapshot.
type incomingSnapshot struct {
	from        zinniatide.Voter
	index, term uint64
	total       uint64
	data        []byte
}

// fail records the first violation of a safety guarantee.
func (r *Replicator) fail(format string, args ...any) {
	if r.failure == nil {
		r.failure = fmt.Errorf(format, args...)
	}
}

// acknowledgeAppend acknowledges the log up to match once it is durable.
func (r *Replicator) acknowledgeAppend(m Message, match uint64) {
	r.sendWhenDurable(Message{
		Kind: MessageAppendReply, To: m.From, Term: r.term, Index: m.Index,
		Match: match, Round: m.Round, SentAt: m.SentAt,
	}, match)
}

func (r *Replicator) handleAppend(m Message) {
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term || (e.Kind == EntryMembership) != (e.Membership != nil) {
			return
		}
	}
	// The committed prefix is identical on all VMs and need not be compared.
	if m.Index < r.commitIndex {
		skip := r.commitIndex - m.Index
		if skip >= uint64(len(m.Entries)) {
			r.acknowledgeAppend(m, r.commitIndex)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = r.commitIndex
		m.LogTerm, _ = r.log.term(r.commitIndex)
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		r.rejectAppend(m)
		return
	}
	end := m.Index + uint64(len(m.Entries))
	r.storeEntries(m.Entries)
	r.commitIndex = max(r.commitIndex, min(m.Commit, end))
	r.acknowledgeAppend(m, end)
}

// rejectAppend rejects an append whose preceding entry does not match. The reply
// contains the highest index at which the two logs may still match, for the
// leader's next attempt. Entries whose term is higher than that of the leader's
// entry are skipped, since they cannot match.
func (r *Replicator) rejectAppend(m Message) {
	hint := min(m.Index-1, r.log.lastIndex())
	for hint > r.commitIndex {
		if term, ok := r.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	r.sendWhenDurable(Message{
		Kind: MessageAppendReply, To: m.From, Term: r.term, Index: m.Index,
		Match: hint, Reject: true, Round: m.Round, SentAt: m.SentAt,
	}, 0)
}

// storeEntries appends the entries that are not in the log yet. It first
// truncates an uncommitted suffix that conflicts with them.
func (r *Replicator) storeEntries(entries []Entry) {
	for i := range entries {
		term, ok := r.log.term(entries[i].Index)
		if ok && term == entries[i].Term {
			continue
		}
		if ok {
			if entries[i].Index <= r.commitIndex {
				r.fail("the leader's entry %d differs from the committed one", entries[i].Index)
				return
			}
			r.truncate(entries[i].Index)
		}
		r.appendEntries(entries[i:]...)
		return
	}
}

func (r *Replicator) handleSnapshot(m Message) {
	if m.Membership == nil || m.Offset+uint64(len(m.Chunk)) > m.Total {
		return
	}
	if m.Index <= r.commitIndex {
		r.incoming = nil
		r.acknowledgeAppend(m, r.commitIndex)
		return
	}
	in := r.incoming
	if in == nil || in.from != m.From || in.index != m.Index || in.term != m.LogTerm || in.total != m.Total {
		in = &incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm, total: m.Total}
		r.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) == in.total {
		r.installSnapshot(&Snapshot{Index: in.index, Term: in.term, Membership: *m.Membership, Data: in.data})
		r.acknowledgeAppend(m, m.Index)
		return
	}
	r.sendWhenDurable(Message{
		Kind: MessageSnapshotReply, To: m.From, Term: r.term, Index: m.Index,
		Offset: uint64(len(in.data)), Round: m.Round, SentAt: m.SentAt,
	}, 0)
}

// installSnapshot replaces the log up to the snapshot's index. Entries after that
// index are kept only if the log matches the snapshot at that index.
func (r *Replicator) installSnapshot(s *Snapshot) {
	r.incoming = nil
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		r.log.compact(s.Index)
	} else {
		r.log = memoryLog{baseIndex: s.Index, baseTerm: s.Term}
		r.memberships = nil
	}
	r.memberships = append([]indexedMembership{{s.Index, s.Membership}}, r.membershipsAfter(s.Index)...)
	r.snapshot, r.restore = s, s
	r.commitIndex, r.emittedIndex = s.Index, s.Index
	r.unwrittenEntries, r.needsRewrite = nil, true
	// No entry counts as durable until the rewritten log is synced.
	r.durableIndex = 0
	for i := range r.pendingWrites {
		r.pendingWrites[i].lastIndex = 0
	}
}
