package linker

import (
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// peerState is the state of a peer. It is guarded by Linker.mu.
type peerState struct {
	address string
	// configured is set while the peer is in the table passed to SetPeers. Other
	// peers are known from their hello message only.
	configured bool
	// process is the process that had the last link.
	process zinniatide.ProcessID
	// dial is the number of the dial with which process last established a link, 0 if this
	// VM dialled.
	dial uint64
	// registered is the process that the table passed to SetPeers names, or 0.
	registered zinniatide.ProcessID
	// superseded are the last processes whose links were taken over by other
	// processes of the VM, oldest first.
	superseded  []zinniatide.ProcessID
	link        *link
	dialling    bool
	nextDial    zinniatide.Millis
	redialDelay zinniatide.Millis
	failures    int // failed dials since the last link
	lastError   string
}

// Redial timing. The delay doubles from minRedialDelay to maxRedialDelay. A random
// jitter of up to half the delay is subtracted, so that VMs that lost the same
// peer do not redial it at the same time.
const (
	minRedialDelay zinniatide.Millis = 50
	maxRedialDelay zinniatide.Millis = 2000
	// dialBackDelay is added to the redial delay of the side that can only ask
	// its peer to dial back. If both VMs know each other, the other side has
	// dialled by then.
	dialBackDelay zinniatide.Millis = 60
	// maxConcurrentDials limits the number of dials in progress.
	maxConcurrentDials = 64
	// maxUnconfiguredFailures is the number of consecutive failed dials after
	// which a peer that is not configured is removed.
	maxUnconfiguredFailures = 8
)

// reasonDecode is the reason, logged as the step, for closing a link that
// received an invalid message. It indicates a bug in one of the two VMs.
const reasonDecode = "decode"

// SetPeers implements zinniatide.Linker. It keeps existing links, also to peers
// that are no longer in the table, but those peers are not dialled again.
func (l *Linker) SetPeers(peers map[zinniatide.VMID]zinniatide.Peer) {
	defer l.ticker.Wake()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, peer := range peers {
		if id == l.config.Self {
			continue
		}
		p := l.peers[id]
		if p == nil {
			p = &peerState{}
			l.peers[id] = p
		}
		p.register(peer.Process)
		if p.address != peer.Address {
			p.address, p.redialDelay, p.nextDial = peer.Address, 0, l.clock.Now()
			if !l.dialsTo(id) {
				p.nextDial += dialBackDelay
			}
		}
		p.configured = true
	}
	for id, p := range l.peers {
		if _, ok := peers[id]; ok {
			continue
		}
		p.configured = false
		if p.link == nil && !p.dialling {
			delete(l.peers, id)
		}
	}
}

// scheduleDialBack schedules an immediate dial of a peer that dialled this VM
// although this VM is the one that dials in the pair. It stores the address from
// the peer's hello, unless the peer has a configured address.
func (l *Linker) scheduleDialBack(id zinniatide.VMID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[id]
	if p == nil {
		p = &peerState{}
		l.peers[id] = p
	}
	if !p.configured {
		p.address = address
	}
	p.nextDial, p.redialDelay, p.failures = 0, 0, 0
	l.ticker.Wake()
}

// maxSuperseded is the number of superseded processes that are remembered for each
// peer.
const maxSuperseded = 16

// register records the process that the configuration names. A change of it is newer
// than what this VM has concluded from the links of the peer.
func (p *peerState) register(process zinniatide.ProcessID) {
	if process == 0 || process == p.registered {
		return
	}
	p.registered = process
	p.superseded = slices.DeleteFunc(p.superseded, func(s zinniatide.ProcessID) bool { return s == process })
}

// checkProcess returns an error if a process may not take over the link to the peer:
// it was superseded, or another process still has the link and is not known to be
// dead. A superseded process gets the link back if nobody has it and the configuration
// names the process, because then another one had it by mistake.
func (p *peerState) checkProcess(process zinniatide.ProcessID) error {
	switch {
	case process == p.process:
		return nil
	case slices.Contains(p.superseded, process) && (p.link != nil || process != p.registered):
		return errSuperseded
	case p.link != nil && process != p.registered:
		return errOtherProcess
	}
	return nil
}

// check returns an error if lk may not become the link to the peer: see checkProcess, and
// a connection whose hello was delayed does not replace a newer one.
func (p *peerState) check(lk *link) error {
	if p.link != nil && lk.process == p.process && lk.dial != 0 && lk.dial < p.dial {
		return errOutdatedDial
	}
	return p.checkProcess(lk.process)
}

// take records that a process has the link to the peer.
func (p *peerState) take(process zinniatide.ProcessID) {
	if process == p.process {
		return
	}
	p.superseded = slices.DeleteFunc(p.superseded, func(s zinniatide.ProcessID) bool { return s == process })
	if p.process != 0 {
		p.superseded = append(p.superseded, p.process)
		p.superseded = p.superseded[max(len(p.superseded)-maxSuperseded, 0):]
	}
	p.process = process
}

// installLink makes lk the link to its peer and closes the link that lk replaces.
// See checkProcess for the links that it refuses.
func (l *Linker) installLink(lk *link) error {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return errClosing
	}
	p := l.peers[lk.peer]
	if p == nil {
		p = &peerState{}
		l.peers[lk.peer] = p
	}
	if err := p.check(lk); err != nil {
		old := p.link
		l.mu.Unlock()
		l.probe(old)
		return err
	}
	old := p.link
	p.take(lk.process)
	p.link, p.dial = lk, lk.dial
	p.failures, p.lastError = 0, ""
	l.mu.Unlock()
	l.ticker.Wake()
	l.metrics.links.Inc()
	if old != nil {
		l.dropLink(old, "replaced by a newer connection", nil)
	}
	klog.InfoS("link established", "step", "hello", "peer", lk.peer, "process", lk.process)
	return nil
}

// dropLink closes lk and schedules a redial of its peer.
func (l *Linker) dropLink(lk *link, reason string, err error) {
	l.mu.Lock()
	if p := l.peers[lk.peer]; p != nil && p.link == lk {
		p.link = nil
		// Reset the backoff only if the link lasted, so that a link that breaks at
		// once is redialled with growing delays.
		if l.clock.Now()-lk.established >= maxRedialDelay {
			p.redialDelay = 0
		}
		l.scheduleRedial(p, l.dialsTo(lk.peer))
		if !p.configured && !l.dialsTo(lk.peer) {
			delete(l.peers, lk.peer) // the peer is the one that dials again
		}
	}
	l.mu.Unlock()
	l.ticker.Wake()
	if !lk.close() {
		return
	}
	l.metrics.links.Dec()
	l.metrics.closed.Inc()
	if reason == reasonDecode {
		klog.ErrorS(err, "link closed because of an invalid message", "step", reason, "peer", lk.peer)
		return
	}
	klog.InfoS("link closed", "step", reason, "peer", lk.peer, "err", err)
}

// dialsTo reports whether this side dials peer. In each pair of VMs, the one with
// the smaller id dials.
func (l *Linker) dialsTo(peer zinniatide.VMID) bool { return l.config.Self < peer }

// scheduleRedial sets the time of the next dial with exponential backoff. The
// caller holds the lock.
func (l *Linker) scheduleRedial(p *peerState, dialsToPeer bool) {
	p.redialDelay = min(max(2*p.redialDelay, minRedialDelay), maxRedialDelay)
	half := int64(p.redialDelay / 2)
	p.nextDial = l.clock.Now() + p.redialDelay - zinniatide.Millis(l.config.Random.Int64N(half+1))
	if !dialsToPeer {
		p.nextDial += dialBackDelay
	}
}

// links returns the established links.
func (l *Linker) links() []*link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var links []*link
	for _, p := range l.peers {
		if p.link != nil {
			links = append(links, p.link)
		}
	}
	return links
}

// tick runs all timed work and returns the time of the next tick.
func (l *Linker) tick() zinniatide.Millis {
	now := l.clock.Now()
	next := now + zinniatide.LinkPingInterval
	for _, lk := range l.links() {
		next = min(next, l.tickLink(lk, now))
	}
	next = min(next, l.local.expireCalls(now))
	if l.server.closeOverdueHandshakes(now) {
		next = min(next, now+zinniatide.TickInterval)
	}
	return min(next, l.dialDuePeers(now))
}

// tickLink runs the timed work of one link and returns the time at which it is
// next due. It pings a peer that has sent nothing for a while. The ping also
// counts as received data at the peer, so the peer sends no ping of its own.
func (l *Linker) tickLink(lk *link, now zinniatide.Millis) zinniatide.Millis {
	received := zinniatide.Millis(lk.lastReceived.Load())
	silenceDeadline := received + zinniatide.LinkSilenceTimeout
	switch {
	case now >= silenceDeadline:
		l.dropLink(lk, "no byte received in time", nil)
		return now
	case lk.probeFailed(now, received):
		l.dropLink(lk, "no answer to a probe", nil)
		return now
	case now >= max(lk.lastPing, received)+zinniatide.LinkPingInterval-pingSlack:
		lk.lastPing = now
		lk.sendPing()
	}
	if probedAt := zinniatide.Millis(lk.probedAt.Load()); probedAt > 0 {
		silenceDeadline = min(silenceDeadline, probedAt+probeTimeout)
	}
	next := min(silenceDeadline, max(lk.lastPing, received)+zinniatide.LinkPingInterval, lk.expireCalls(now))
	if lk.scheduleFlushIfStalled() {
		lk.transport.wake()
		next = min(next, now+zinniatide.TickInterval)
	}
	return next
}

// probeTimeout is how long a peer has to answer a probe.
const probeTimeout zinniatide.Millis = 300

// probe pings the peer of a link that another process of the same VM wants to take
// over. The link is closed unless the peer answers within probeTimeout.
func (l *Linker) probe(lk *link) {
	if lk == nil || !lk.probedAt.CompareAndSwap(0, int64(l.clock.Now())) {
		return
	}
	lk.sendPing()
	l.ticker.ScheduleAt(l.clock.Now() + probeTimeout)
}

// probeFailed reports whether a probe had no answer in time. It ends a probe that was
// answered.
func (lk *link) probeFailed(now, received zinniatide.Millis) bool {
	probedAt := zinniatide.Millis(lk.probedAt.Load())
	if probedAt == 0 {
		return false
	}
	if received >= probedAt {
		lk.probedAt.Store(0)
		return false
	}
	return now >= probedAt+probeTimeout
}

// pingSlack is how much earlier than due a ping may be sent, so that one tick can
// send the pings of several links.
const pingSlack = zinniatide.LinkPingInterval / 4

// dialDuePeers starts all dials that are due and returns the time of the next
// one.
func (l *Linker) dialDuePeers(now zinniatide.Millis) zinniatide.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := now + zinniatide.LinkPingInterval
	if l.closing {
		return next
	}
	for id, p := range l.peers {
		if l.dials >= maxConcurrentDials {
			return next // finishDial wakes the ticker
		}
		if p.link != nil || p.dialling || p.address == "" {
			continue
		}
		if now < p.nextDial {
			next = min(next, p.nextDial)
			continue
		}
		p.dialling = true
		l.dials++
		l.running.Add(1)
		go l.dial(id, p.address)
	}
	return next
}

// finishDial records the result of a dial. A nil error means that the link is
// established or that the peer will dial back.
func (l *Linker) finishDial(id zinniatide.VMID, err error) {
	defer l.ticker.Wake()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials--
	p := l.peers[id]
	if p == nil {
		return
	}
	p.dialling = false
	if p.link != nil {
		return
	}
	l.scheduleRedial(p, l.dialsTo(id))
	if err == nil {
		return
	}
	l.metrics.failedDials.Inc()
	if errors.Is(err, errRefused) {
		l.metrics.refusedDials.Inc()
	}
	p.failures++
	if !p.configured && p.failures >= maxUnconfiguredFailures {
		delete(l.peers, id)
	}
	// Log repeated failures of a peer once per cause.
	if message := err.Error(); message != p.lastError {
		p.lastError = message
		klog.InfoS("failed to connect to peer", "step", "dial", "peer", id, "err", message)
	}
}
