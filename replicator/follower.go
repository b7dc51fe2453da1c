package replicator

import (
	"fmt"

	"zinniatide.example/zinniatide"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from        zinniatide.Voter
	index, term uint64
	total       uint64
	data        []byte
}

func (r *Replicator) fail(format string, args ...any) {
	if r.failure == nil {
		r.failure = fmt.Errorf(format, args...)
	}
}

// replyAppend acknowledges the log up to match once it is durable.
func (r *Replicator) replyAppend(m Message, match uint64) {
	r.sendAfterSync(Message{
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
	// The committed prefix is equal on all VMs and need not be compared.
	if m.Index < r.commit {
		skip := r.commit - m.Index
		if skip >= uint64(len(m.Entries)) {
			r.replyAppend(m, r.commit)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = r.commit
		m.LogTerm, _ = r.log.term(r.commit)
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		r.rejectAppend(m)
		return
	}
	end := m.Index + uint64(len(m.Entries))
	r.mergeEntries(m.Entries)
	r.commit = max(r.commit, min(m.Commit, end))
	r.replyAppend(m, end)
}

// rejectAppend hints at the last entry that may still be equal, skipping the
// entries of terms that the leader's log cannot have there.
func (r *Replicator) rejectAppend(m Message) {
	hint := min(m.Index-1, r.log.last())
	for hint > r.commit {
		if term, ok := r.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	r.sendAfterSync(Message{
		Kind: MessageAppendReply, To: m.From, Term: r.term, Index: m.Index,
		Match: hint, Reject: true, Round: m.Round, SentAt: m.SentAt,
	}, 0)
}

// mergeEntries appends what is new, after dropping an uncommitted suffix that
// differs.
func (r *Replicator) mergeEntries(entries []Entry) {
	for i := range entries {
		term, ok := r.log.term(entries[i].Index)
		if ok && term == entries[i].Term {
			continue
		}
		if ok {
			if entries[i].Index <= r.commit {
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
	if m.Index <= r.commit {
		r.incoming = nil
		r.replyAppend(m, r.commit)
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
		r.install(&Snapshot{Index: in.index, Term: in.term, Membership: *m.Membership, Data: in.data})
		r.replyAppend(m, m.Index)
		return
	}
	r.sendAfterSync(Message{
		Kind: MessageSnapshotReply, To: m.From, Term: r.term, Index: m.Index,
		Offset: uint64(len(in.data)), Round: m.Round, SentAt: m.SentAt,
	}, 0)
}

// install replaces the log up to the snapshot. Entries after it are kept only
// if the log agrees with the snapshot at its position.
func (r *Replicator) install(s *Snapshot) {
	r.incoming = nil
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		r.log.compact(s.Index)
	} else {
		r.log = memoryLog{base: s.Index, baseTerm: s.Term}
		r.memberships = nil
	}
	r.memberships = append([]indexedMembership{{s.Index, s.Membership}}, r.membershipsAfter(s.Index)...)
	r.snapshot, r.restore = s, s
	r.commit, r.emitted = s.Index, s.Index
	r.unwritten, r.rewrite = nil, true
	// Nothing counts as durable until the rewritten log is.
	r.durable = 0
	for i := range r.writes {
		r.writes[i].last = 0
	}
}
