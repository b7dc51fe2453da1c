package linker

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// peerState is what is known of a peer. It is guarded by Linker.mu.
type peerState struct {
	address string
	// configured is set while the peer is in the table given to SetPeers. A
	// peer that is not may have introduced itself by a hello.
	configured  bool
	incarnation zinniatide.Incarnation // highest seen
	link        *link
	dialling    bool
	nextDial    zinniatide.Millis
	delay       zinniatide.Millis
	failures    int // since the last link
	lastError   string
}

// Redial timing. The delay doubles from the first to the last value and each
// delay is shortened by a random part of up to half, so that VMs which lost
// the same peer do not return together.
const (
	firstDelay zinniatide.Millis = 50
	lastDelay  zinniatide.Millis = 2000
	// dialBackDelay is how much longer the side waits that can only ask its
	// peer to dial. It is not needed when both know each other.
	dialBackDelay zinniatide.Millis = 200
	// maxDials bounds the connections being set up at once.
	maxDials = 64
	// maxLearnedFailures is the number of failed dials after which a peer
	// that only introduced itself is forgotten.
	maxLearnedFailures = 8
)

// stepDecode is the step of a link that ends with damaged input, which is a
// fault of one of the two VMs.
const stepDecode = "decode"

// SetPeers implements zinniatide.Linker. Links that are up stay up, also to
// peers that are no longer in the table; they are not dialled again.
func (l *Linker) SetPeers(peers map[zinniatide.VMID]string) {
	defer l.ticker.Wake()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, address := range peers {
		if id == l.config.Self {
			continue
		}
		p := l.peers[id]
		if p == nil {
			p = &peerState{}
			l.peers[id] = p
		}
		if p.address != address {
			p.address, p.delay, p.nextDial = address, 0, l.clock.Now()
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

// learn notes the address that an unknown peer gave of itself and has it
// dialled.
func (l *Linker) learn(id zinniatide.VMID, address string) {
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
	p.nextDial, p.delay, p.failures = 0, 0, 0
	l.ticker.Wake()
}

// install makes k the link to its peer. It refuses the link of an older
// incarnation and closes the one that k replaces.
func (l *Linker) install(k *link) error {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return errClosing
	}
	p := l.peers[k.peer]
	if p == nil {
		p = &peerState{}
		l.peers[k.peer] = p
	}
	if k.incarnation < p.incarnation {
		l.mu.Unlock()
		return errStale
	}
	old := p.link
	p.link, p.incarnation = k, k.incarnation
	p.failures, p.lastError = 0, ""
	l.mu.Unlock()
	l.ticker.Wake()
	l.metrics.links.Inc()
	if old != nil {
		l.drop(old, "replaced by a newer connection", nil)
	}
	klog.InfoS("link established", "step", "hello", "peer", k.peer, "incarnation", k.incarnation)
	return nil
}

// drop closes k and has its peer dialled again.
func (l *Linker) drop(k *link, step string, err error) {
	l.mu.Lock()
	if p := l.peers[k.peer]; p != nil && p.link == k {
		p.link = nil
		if l.clock.Now()-k.established >= lastDelay {
			p.delay = 0
		}
		l.postpone(p, l.dialsTo(k.peer))
		if !p.configured && !l.dialsTo(k.peer) {
			delete(l.peers, k.peer)
		}
	}
	l.mu.Unlock()
	l.ticker.Wake()
	if !k.fail() {
		return
	}
	l.metrics.links.Dec()
	l.metrics.closed.Inc()
	if step == stepDecode {
		klog.ErrorS(err, "link closed because a message was not understood", "step", step, "peer", k.peer)
		return
	}
	klog.InfoS("link closed", "step", step, "peer", k.peer, "err", err)
}

// dialsTo reports whether this side sets up the connection to peer.
func (l *Linker) dialsTo(peer zinniatide.VMID) bool { return l.config.Self < peer }

// postpone sets the time of the next dial. The caller holds the lock.
func (l *Linker) postpone(p *peerState, dials bool) {
	p.delay = min(max(2*p.delay, firstDelay), lastDelay)
	half := int64(p.delay / 2)
	p.nextDial = l.clock.Now() + p.delay - zinniatide.Millis(l.config.Random.Int64N(half+1))
	if !dials {
		p.nextDial += dialBackDelay
	}
}

// links returns the links that are up.
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

// tick does the timed work and returns when it is due again.
func (l *Linker) tick() zinniatide.Millis {
	now := l.clock.Now()
	next := now + zinniatide.LinkPingInterval
	for _, k := range l.links() {
		next = min(next, l.tickLink(k, now))
	}
	next = min(next, l.local.expire(now))
	if l.server.expire(now) {
		next = min(next, now+zinniatide.TickInterval)
	}
	return min(next, l.dialDue(now))
}

// tickLink does the timed work of one link. It pings a peer of which nothing has
// been received for a while. The ping spares the peer its own.
func (l *Linker) tickLink(k *link, now zinniatide.Millis) zinniatide.Millis {
	received := zinniatide.Millis(k.received.Load())
	silent := received + zinniatide.LinkSilenceTimeout
	switch {
	case now >= silent:
		l.drop(k, "no byte received in time", nil)
		return now
	case now >= max(k.pinged, received)+zinniatide.LinkPingInterval-pingSlack:
		k.pinged = now
		k.ping()
	}
	next := min(silent, max(k.pinged, received)+zinniatide.LinkPingInterval, k.expire(now))
	if k.stalled() {
		k.transport.wake()
		next = min(next, now+zinniatide.TickInterval)
	}
	return next
}

// pingSlack is how early a ping may be sent, so that the pings of several
// links share one tick.
const pingSlack = zinniatide.LinkPingInterval / 4

// dialDue starts the dials whose time has come and returns when the next ones
// are due.
func (l *Linker) dialDue(now zinniatide.Millis) zinniatide.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := now + zinniatide.LinkPingInterval
	if l.closing {
		return next
	}
	for id, p := range l.peers {
		if l.dials >= maxDials {
			return next // dialEnded wakes the tick
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

// dialEnded notes how a dial ended. A nil error means that the link is up or
// that the peer will dial.
func (l *Linker) dialEnded(id zinniatide.VMID, err error) {
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
	l.postpone(p, l.dialsTo(id))
	if err == nil {
		return
	}
	l.metrics.failedDials.Inc()
	p.failures++
	if !p.configured && p.failures >= maxLearnedFailures {
		delete(l.peers, id)
	}
	// A peer that stays away is logged once per cause.
	if message := err.Error(); message != p.lastError {
		p.lastError = message
		klog.InfoS("peer cannot be reached", "step", "dial", "peer", id, "err", message)
	}
}
