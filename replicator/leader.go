package replicator

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// leaderState is reset whenever the VM starts or ceases to lead.
type leaderState struct {
	peers []*peer // voters but this VM, and learners
	// firstIndex is the no-op entry of this term. Nothing may be read and no
	// membership changed before it is committed.
	firstIndex    uint64
	electedAt     zinniatide.Millis
	nextHeartbeat zinniatide.Millis
	round         uint64
	wantRound     bool
	barriers      []barrier
	transfer      transferState
}

// peer is the leader's view of another replicator.
type peer struct {
	id          zinniatide.Voter
	match, next uint64
	// probing is set while the peer's log position is unknown. Then only
	// heartbeats are sent.
	probing bool
	probed  bool // a probe is on its way
	sending *Snapshot
	offset  uint64 // bytes of sending that the peer has
	// ackedRound and ackedAt are of the newest message that was answered;
	// ackedAt is when it was sent.
	ackedRound uint64
	ackedAt    zinniatide.Millis
	answered   bool // has answered this leader
	heard      zinniatide.Millis
}

type barrier struct {
	id, index, round uint64
}

func (r *Replicator) becomeLeader() {
	r.role, r.leader, r.votes = Leader, r.self, nil
	r.leaderState = leaderState{
		electedAt: r.now, nextHeartbeat: r.now, firstIndex: r.log.last() + 1,
	}
	r.rebuildPeers()
	r.appendEntries(Entry{Index: r.firstIndex, Term: r.term, Kind: EntryNoop})
}

// rebuildPeers follows a change of the membership and keeps known progress.
func (r *Replicator) rebuildPeers() {
	for _, v := range r.Membership().Voters {
		if v != r.self && r.findPeer(v) == nil {
			r.addPeer(v)
		}
	}
}

func (r *Replicator) addPeer(id zinniatide.Voter) {
	r.peers = append(r.peers, &peer{id: id, next: r.log.last() + 1, probing: true, ackedAt: r.electedAt, heard: r.now})
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
	if r.now-r.quorumAckedAt() >= r.cfg.ElectionTimeout {
		r.becomeFollower(r.term, zinniatide.Voter{})
		return
	}
	r.tickTransfer()
	if r.role != Leader {
		return
	}
	if r.now >= r.nextHeartbeat {
		r.wantRound = true
	}
	r.dropPeers()
	r.changeMembership()
}

// Propose appends a command. It reports false when this VM does not lead or
// is handing over leadership.
func (r *Replicator) Propose(data []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.transfer.to != (zinniatide.Voter{}) {
		return 0, 0, false
	}
	e := Entry{Index: r.log.last() + 1, Term: r.term, Kind: EntryCommand, Data: data}
	r.appendEntries(e)
	return e.Index, e.Term, true
}

// Barrier starts a linearizable read. Its Read appears in an output. It
// reports false when this VM is not a leader with a quorum.
func (r *Replicator) Barrier(now zinniatide.Millis) (id uint64, ok bool) {
	r.now = max(r.now, now)
	if !r.quorate() {
		return 0, false
	}
	r.nextBarrier++
	// The round that confirms the barrier starts with the next flush.
	r.barriers = append(r.barriers, barrier{r.nextBarrier, r.commit, r.round + 1})
	r.wantRound = true
	return r.nextBarrier, true
}

func (r *Replicator) quorate() bool {
	return r.role == Leader && r.commit >= r.firstIndex && r.now-r.quorumAckedAt() < r.cfg.ElectionTimeout && !r.transfer.sent
}

// quorumValue returns the highest value that a quorum of the voters reaches.
func quorumValue[T uint64 | zinniatide.Millis](r *Replicator, self T, of func(*peer) T) T {
	voters := r.Membership().Voters
	values := make([]T, 0, len(voters))
	for _, v := range voters {
		if v == r.self {
			values = append(values, self)
		} else if p := r.findPeer(v); p != nil {
			values = append(values, of(p))
		} else {
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-quorum(len(values))]
}

func quorum(voters int) int { return voters/2 + 1 }

// quorumAckedAt is the latest time such that a quorum has answered a message
// sent then or later.
func (r *Replicator) quorumAckedAt() zinniatide.Millis {
	return quorumValue(r, r.now, func(p *peer) zinniatide.Millis { return p.ackedAt })
}

// flush sends what the peers lack, and a heartbeat round when one is due.
func (r *Replicator) flush() {
	round := r.wantRound
	if round {
		r.round++
		r.wantRound = false
		r.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
	}
	for _, p := range r.peers {
		r.replicate(p, round)
	}
	r.finishBarriers()
}

// replicate sends a peer the entries it lacks. With heartbeat set, at least
// one message is sent, which also repeats what may have been lost.
func (r *Replicator) replicate(p *peer, heartbeat bool) {
	if heartbeat {
		p.probed = false
	}
	if _, ok := r.log.term(p.next - 1); !ok && p.sending == nil {
		p.sending, p.offset = r.snapshot, 0
		heartbeat = true
	}
	if p.sending != nil {
		if heartbeat {
			r.sendChunk(p)
		}
		return
	}
	if p.probing {
		if !p.probed {
			p.probed = true
			r.sendAppend(p, nil)
		}
		return
	}
	sent := false
	for p.next <= r.log.last() && p.next-p.match <= maxInFlight {
		entries := r.log.slice(p.next, r.log.last(), maxAppendBytes)
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
		Commit: r.commit, Entries: entries, Round: r.round, SentAt: r.now,
	})
}

func (r *Replicator) sendChunk(p *peer) {
	s := p.sending
	end := min(p.offset+snapshotChunk, uint64(len(s.Data)))
	r.send(Message{
		Kind: MessageSnapshot, To: p.id, Term: r.term, Index: s.Index, LogTerm: s.Term, Commit: r.commit,
		Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end], Membership: &s.Membership,
		Round: r.round, SentAt: r.now,
	})
}

// acknowledge notes the answer to a message and returns its sender. It
// returns nil when this VM does not lead or does not know the sender.
func (r *Replicator) acknowledge(m Message) *peer {
	if r.role != Leader {
		return nil
	}
	p := r.findPeer(m.From)
	if p == nil || m.Round > r.round || m.SentAt > r.now {
		return nil
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	p.ackedAt = max(p.ackedAt, m.SentAt)
	p.heard, p.answered = r.now, true
	return p
}

func (r *Replicator) handleAppendReply(m Message) {
	p := r.acknowledge(m)
	if p == nil || m.Match > r.log.last() {
		return
	}
	if m.Reject {
		if p.sending == nil && m.Index > p.match && (!p.probing || m.Index == p.next-1) {
			p.next = max(p.match, m.Match) + 1
			p.probing, p.probed = true, false
		}
		return
	}
	if p.sending != nil && m.Match >= p.sending.Index {
		p.sending = nil
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	if p.probing && p.sending == nil {
		p.probing, p.next = false, p.match+1
	}
	r.advanceCommit()
	r.advanceTransfer()
}

func (r *Replicator) handleSnapshotReply(m Message) {
	p := r.acknowledge(m)
	if p == nil || p.sending == nil || m.Index != p.sending.Index || m.Offset > uint64(len(p.sending.Data)) {
		return
	}
	if m.Offset != p.offset {
		p.offset = m.Offset
		r.sendChunk(p)
	}
}

// advanceCommit commits what is durable on a quorum. Entries of older terms
// are committed only by an entry of this term that follows them.
func (r *Replicator) advanceCommit() {
	match := quorumValue(r, r.durable, func(p *peer) uint64 { return p.match })
	if term, ok := r.log.term(match); !ok || match <= r.commit || term != r.term {
		return
	}
	r.commit = match
	r.changeMembership()
}

func (r *Replicator) finishBarriers() {
	if len(r.barriers) == 0 {
		return
	}
	confirmed := quorumValue(r, r.round, func(p *peer) uint64 { return p.ackedRound })
	n := 0
	for n < len(r.barriers) && r.barriers[n].round <= confirmed {
		r.reads = append(r.reads, Read{ID: r.barriers[n].id, Index: r.barriers[n].index, OK: true})
		n++
	}
	r.barriers = r.barriers[n:]
}

// dropReads fails the barriers that are open when leadership ends.
func (r *Replicator) dropReads() {
	for _, b := range r.barriers {
		r.reads = append(r.reads, Read{ID: b.id})
	}
}
