package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// leaderState is reset whenever this VM becomes leader or stops leading.
type leaderState struct {
	peers []*peer // all other voters, and the learners
	// firstIndex is the index of this term's no-op entry. Until it is committed,
	// the leader serves no reads and changes no membership.
	firstIndex     uint64
	electedAt      zinniatide.Millis
	nextHeartbeat  zinniatide.Millis
	heartbeatRound uint64
	heartbeatDue   bool
	barriers       []barrier
	transfer       transferState
}

// peer is the leader's record of another replicator's progress.
type peer struct {
	id          zinniatide.Voter
	match, next uint64
	// probing is set while the peer's log position is unknown. The leader then
	// sends appends without entries.
	probing         bool
	probeSent       bool // a probe was sent since the last heartbeat
	sendingSnapshot *Snapshot
	snapshotOffset  uint64 // bytes of sendingSnapshot that the peer has received
	// ackedRound is the newest heartbeat round that the peer replied to.
	// ackedSentAt is the send time of the newest message that it replied to.
	ackedRound  uint64
	ackedSentAt zinniatide.Millis
	hasReplied  bool // has replied in this leader's term
	lastHeardAt zinniatide.Millis
}

type barrier struct {
	id, index, round uint64
}

func (r *Replicator) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.self, nil
	r.leaderState = leaderState{
		electedAt: r.now, nextHeartbeat: r.now, firstIndex: r.log.lastIndex() + 1,
	}
	r.addVoterPeers()
	r.appendEntries(Entry{Index: r.firstIndex, Term: r.term, Kind: EntryNoop})
}

// addVoterPeers starts tracking voters that have no peer yet. The progress of
// existing peers is kept.
func (r *Replicator) addVoterPeers() {
	for _, v := range r.Membership().Voters {
		if v != r.self && r.findPeer(v) == nil {
			r.addPeer(v)
		}
	}
}

func (r *Replicator) addPeer(id zinniatide.Voter) {
	r.peers = append(r.peers, &peer{id: id, next: r.log.lastIndex() + 1, probing: true, ackedSentAt: r.electedAt, lastHeardAt: r.now})
}

func (r *Replicator) findPeer(id zinniatide.Voter) *peer {
	for _, p := range r.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (r *Replicator) tickLeader() {
	if r.now-r.leaseStart() >= r.cfg.ElectionTimeout {
		r.failBarriers()
		if r.now-max(r.leaseStart(), r.resumedAt) >= stepDownTimeouts*r.cfg.ElectionTimeout {
			r.becomeFollower(r.term, zinniatide.Voter{})
			return
		}
	}
	r.checkTransferTimeout()
	if r.role != Leader {
		return
	}
	if r.now >= r.nextHeartbeat {
		r.heartbeatDue = true
	}
	r.dropStalePeers()
	r.changeMembership()
}

// Propose appends a command to the log. It returns false if this VM is not the
// leader or is transferring leadership.
func (r *Replicator) Propose(data []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.transfer.target != (zinniatide.Voter{}) {
		return 0, 0, false
	}
	e := Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: EntryCommand, Data: data}
	r.appendEntries(e)
	return e.Index, e.Term, true
}

// Barrier starts a linearizable read. Its result is returned in
// Output.BarrierResults. It returns false if this VM does not hold the leader's
// lease.
func (r *Replicator) Barrier(now zinniatide.Millis) (id uint64, ok bool) {
	r.now = max(r.now, now)
	if !r.hasLease() {
		return 0, false
	}
	r.lastBarrierID++
	// The next replicateAll starts the round that confirms the barrier.
	r.barriers = append(r.barriers, barrier{r.lastBarrierID, r.commitIndex, r.heartbeatRound + 1})
	r.heartbeatDue = true
	return r.lastBarrierID, true
}

// hasLease reports whether this VM leads with a valid lease. A leader that told
// a transfer target to campaign has none.
func (r *Replicator) hasLease() bool {
	return r.role == Leader && r.commitIndex >= r.firstIndex && r.now-r.leaseStart() < r.cfg.ElectionTimeout && !r.transfer.timeoutNowSent
}

// quorumValue returns the highest value that a quorum of the voters has reached.
func quorumValue[T uint64 | zinniatide.Millis](r *Replicator, selfValue T, peerValue func(*peer) T) T {
	voters := r.Membership().Voters
	values := make([]T, 0, len(voters))
	for _, v := range voters {
		if v == r.self {
			values = append(values, selfValue)
		} else if p := r.findPeer(v); p != nil {
			values = append(values, peerValue(p))
		} else {
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

func quorumSize(voters int) int { return voters/2 + 1 }

// leaseStart returns the latest time t such that a quorum has replied to messages
// sent at t or later.
func (r *Replicator) leaseStart() zinniatide.Millis {
	return quorumValue(r, r.now, func(p *peer) zinniatide.Millis { return p.ackedSentAt })
}

// replicateAll sends missing entries to all peers, and starts a heartbeat round
// if one is due.
func (r *Replicator) replicateAll() {
	heartbeat := r.heartbeatDue
	if heartbeat {
		r.heartbeatRound++
		r.heartbeatDue = false
		r.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
	}
	for _, p := range r.peers {
		r.replicate(p, heartbeat)
	}
	r.completeBarriers()
}

// replicate sends a peer the entries that it is missing. With heartbeat set, it
// sends at least one message, so that lost messages are detected and resent.
func (r *Replicator) replicate(p *peer, heartbeat bool) {
	if heartbeat {
		p.probeSent = false
	}
	if _, ok := r.log.term(p.next - 1); !ok && p.sendingSnapshot == nil {
		// The log no longer holds the entries that the peer needs: send a
		// snapshot, its first chunk immediately.
		p.sendingSnapshot, p.snapshotOffset = r.snapshot, 0
		heartbeat = true
	}
	if p.sendingSnapshot != nil {
		if heartbeat {
			r.sendSnapshotChunk(p)
		}
		return
	}
	if p.probing {
		if !p.probeSent {
			p.probeSent = true
			r.sendAppend(p, nil)
		}
		return
	}
	sent := false
	for p.next <= r.log.lastIndex() && p.next-p.match <= maxInFlightEntries {
		entries := r.log.slice(p.next, r.log.lastIndex(), maxBatchBytes)
		if p.next > p.match+1 && r.log.size(p.match+1, entries[len(entries)-1].Index) > maxInFlightBytes {
			break
		}
		r.sendAppend(p, entries)
		p.next += uint64(len(entries))
		sent = true
	}
	if heartbeat && !sent {
		r.sendAppend(p, nil)
	}
}

func (r *Replicator) sendAppend(p *peer, entries []Entry) {
	term, _ := r.log.term(p.next - 1)
	r.send(Message{
		Kind: MessageAppend, To: p.id, Term: r.term, Index: p.next - 1, LogTerm: term,
		Commit: r.commitIndex, Entries: entries, Round: r.heartbeatRound, SentAt: r.now,
	})
}

func (r *Replicator) sendSnapshotChunk(p *peer) {
	s := p.sendingSnapshot
	end := min(p.snapshotOffset+snapshotChunkBytes, uint64(len(s.Data)))
	r.send(Message{
		Kind: MessageSnapshot, To: p.id, Term: r.term, Index: s.Index, LogTerm: s.Term, Commit: r.commitIndex,
		Offset: p.snapshotOffset, Total: uint64(len(s.Data)), Chunk: s.Data[p.snapshotOffset:end], Membership: &s.Membership,
		Round: r.heartbeatRound, SentAt: r.now,
	})
}

// recordReply updates the sender's progress from a reply and returns its peer.
// It returns nil if this VM is not the leader, does not track the sender, or
// cannot have sent the message that the reply refers to.
func (r *Replicator) recordReply(m Message) *peer {
	if r.role != Leader {
		return nil
	}
	p := r.findPeer(m.From)
	if p == nil || m.Round > r.heartbeatRound || m.SentAt > r.now {
		return nil
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.lastHeardAt, p.hasReplied = r.now, true
	return p
}

func (r *Replicator) handleAppendReply(m Message) {
	p := r.recordReply(m)
	if p == nil || m.Match > r.log.lastIndex() {
		return
	}
	if m.Reject {
		if p.sendingSnapshot == nil && m.Index > p.match && (!p.probing || m.Index == p.next-1) {
			p.next = max(p.match, m.Match) + 1
			p.probing, p.probeSent = true, false
		}
		return
	}
	if p.sendingSnapshot != nil && m.Match >= p.sendingSnapshot.Index {
		p.sendingSnapshot = nil
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	if p.probing && p.sendingSnapshot == nil {
		p.probing, p.next = false, p.match+1
	}
	r.advanceCommit()
	r.sendTimeoutNowWhenCaughtUp()
}

func (r *Replicator) handleSnapshotReply(m Message) {
	p := r.recordReply(m)
	if p == nil || p.sendingSnapshot == nil || m.Index != p.sendingSnapshot.Index || m.Offset > uint64(len(p.sendingSnapshot.Data)) {
		return
	}
	if m.Offset != p.snapshotOffset {
		p.snapshotOffset = m.Offset
		r.sendSnapshotChunk(p)
	}
}

// advanceCommit commits the entries that are durable on a quorum. Entries of
// earlier terms are committed only indirectly, together with a later entry of
// the current term.
func (r *Replicator) advanceCommit() {
	match := quorumValue(r, r.durableIndex, func(p *peer) uint64 { return p.match })
	if term, ok := r.log.term(match); !ok || match <= r.commitIndex || term != r.term {
		return
	}
	r.commitIndex = match
	r.changeMembership()
}

func (r *Replicator) completeBarriers() {
	if len(r.barriers) == 0 {
		return
	}
	confirmed := quorumValue(r, r.heartbeatRound, func(p *peer) uint64 { return p.ackedRound })
	n := 0
	for n < len(r.barriers) && r.barriers[n].round <= confirmed {
		r.reads = append(r.reads, BarrierResult{ID: r.barriers[n].id, Index: r.barriers[n].index, OK: true})
		n++
	}
	r.barriers = r.barriers[n:]
}

// failBarriers fails the open barriers when the lease or the leadership ends.
func (r *Replicator) failBarriers() {
	for _, b := range r.barriers {
		r.reads = append(r.reads, BarrierResult{ID: b.id})
	}
	r.barriers = nil
}
