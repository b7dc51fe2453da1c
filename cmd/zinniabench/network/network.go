// Package network gives the links between the VMs of a measurement a delay,
// and cuts VMs off silently. Each link runs through a relay on loopback.
package network

import (
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Network relays the links between VMs.
type Network struct {
	delay time.Duration // one way

	mu     sync.Mutex
	cutOff map[zinniatide.VMID]bool
	relays map[pair]*relay
	closed bool
}

// pair is the side that dials and the side that accepts.
type pair struct{ from, to zinniatide.VMID }

// relay listens for the dials of one VM to one peer.
type relay struct {
	network  *Network
	pair     pair
	listener net.Listener
	target   string
	conns    map[*relayed]struct{}
}

// relayed is one link on its way through a relay.
type relayed struct {
	outer, inner net.Conn
	silent       bool // guarded by the network's lock
}

// New returns a network whose links delay each direction by delay.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, cutOff: make(map[zinniatide.VMID]bool), relays: make(map[pair]*relay)}
}

// Route returns the routing function of vm for linker.Config.
func (n *Network) Route(vm zinniatide.VMID) func(zinniatide.VMID, string) string {
	return func(peer zinniatide.VMID, address string) string {
		r, err := n.relayFor(pair{from: vm, to: peer}, address)
		if err != nil {
			klog.ErrorS(err, "no relay; the link is not delayed", "step", "relay", "peer", peer)
			return address
		}
		return r.listener.Addr().String()
	}
}

func (n *Network) relayFor(p pair, target string) (*relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("network is closed")
	}
	if r := n.relays[p]; r != nil {
		r.target = target
		return r, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "listen", string(p.to))
	}
	r := &relay{network: n, pair: p, listener: listener, target: target, conns: make(map[*relayed]struct{})}
	n.relays[p] = r
	go r.serve()
	return r, nil
}

// CutOff makes every link of vm silent, also those that are dialled later. No
// connection is closed.
func (n *Network) CutOff(vm zinniatide.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[vm] = true
	for p, r := range n.relays {
		if p.from != vm && p.to != vm {
			continue
		}
		for c := range r.conns {
			c.silent = true
		}
	}
}

// Silence makes the open links of vm silent for good and returns their number.
// No connection is closed, and links that are dialled later work.
func (n *Network) Silence(vm zinniatide.VMID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silenced := 0
	for p, r := range n.relays {
		if p.from != vm && p.to != vm {
			continue
		}
		for c := range r.conns {
			c.silent = true
			silenced++
		}
	}
	return silenced
}

// Heal ends a cut. Links that were silent stay so; new ones work.
func (n *Network) Heal(vm zinniatide.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cutOff, vm)
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, r := range n.relays {
		_ = r.listener.Close()
		for c := range r.conns {
			_ = c.outer.Close()
			_ = c.inner.Close()
		}
	}
}

func (r *relay) serve() {
	for {
		outer, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(outer)
	}
}

func (r *relay) relay(outer net.Conn) {
	n := r.network
	n.mu.Lock()
	target := r.target
	n.mu.Unlock()
	inner, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = outer.Close()
		return
	}
	c := &relayed{outer: outer, inner: inner}
	n.mu.Lock()
	c.silent = n.cutOff[r.pair.from] || n.cutOff[r.pair.to]
	r.conns[c] = struct{}{}
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.carry(c, outer, inner) }()
	go func() { defer both.Done(); n.carry(c, inner, outer) }()
	both.Wait()
	n.mu.Lock()
	delete(r.conns, c)
	n.mu.Unlock()
}

// chunk is a piece of data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	queuedChunks = 1024
	chunkSize    = 64 << 10
)

// carry moves data from one side to the other, each piece after the delay.
func (n *Network) carry(c *relayed, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, chunkSize)
			size, err := from.Read(buffer)
			if err != nil {
				return
			}
			queue <- chunk{data: buffer[:size], due: time.Now().Add(n.delay)}
		}
	}()
	for piece := range queue {
		time.Sleep(time.Until(piece.due))
		if n.silent(c) {
			continue
		}
		if _, err := to.Write(piece.data); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	for range queue { // lets the reader end
	}
}

func (n *Network) silent(c *relayed) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.silent
}
