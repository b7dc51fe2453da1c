// Package network injects delays and partitions into the links between the VMs
// of a measurement. Each link passes through a TCP relay on loopback.
package network

import (
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Network relays the links between VMs and injects faults into them.
type Network struct {
	delay time.Duration // one way

	mu          sync.Mutex
	partitioned map[zinniatide.VMID]bool
	relays      map[linkKey]*relay
	closed      bool
}

// linkKey identifies a relay by the VM that dials and the VM that accepts.
type linkKey struct{ dialer, acceptor zinniatide.VMID }

// relay accepts the connections of one VM to one peer and forwards them.
type relay struct {
	network  *Network
	key      linkKey
	listener net.Listener
	target   string
	conns    map[*relayedConn]struct{}
}

// relayedConn is a link that passes through a relay.
type relayedConn struct {
	downstream, upstream net.Conn
	blackholed           bool // guarded by Network.mu
}

// New returns a network that delays the data of each link by delay in each
// direction.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, partitioned: make(map[zinniatide.VMID]bool), relays: make(map[linkKey]*relay)}
}

// Route returns the address mapping of vm for linker.Config. It replaces the
// address of a peer by that of a relay to the peer.
func (n *Network) Route(vm zinniatide.VMID) func(zinniatide.VMID, string) string {
	return func(peer zinniatide.VMID, address string) string {
		r, err := n.relayFor(linkKey{dialer: vm, acceptor: peer}, address)
		if err != nil {
			klog.ErrorS(err, "cannot create a relay; the link has no injected delay", "step", "relay", "peer", peer)
			return address
		}
		return r.listener.Addr().String()
	}
}

func (n *Network) relayFor(key linkKey, target string) (*relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("network is closed")
	}
	if r := n.relays[key]; r != nil {
		r.target = target
		return r, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "listen", string(key.acceptor))
	}
	r := &relay{network: n, key: key, listener: listener, target: target, conns: make(map[*relayedConn]struct{})}
	n.relays[key] = r
	go r.acceptLoop()
	return r, nil
}

// Partition drops all data on the current and future links of vm without closing
// any connection. It lasts until Heal.
func (n *Network) Partition(vm zinniatide.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[vm] = true
	for key, r := range n.relays {
		if key.dialer != vm && key.acceptor != vm {
			continue
		}
		for c := range r.conns {
			c.blackholed = true
		}
	}
}

// BlackholeOpenLinks permanently drops all data on the open links of vm and
// returns their number. The connections are not closed, and new links work.
func (n *Network) BlackholeOpenLinks(vm zinniatide.VMID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for key, r := range n.relays {
		if key.dialer != vm && key.acceptor != vm {
			continue
		}
		for c := range r.conns {
			c.blackholed = true
			count++
		}
	}
	return count
}

// Heal ends the partition of vm. New links work, but those that were open during
// the partition keep dropping data.
func (n *Network) Heal(vm zinniatide.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, vm)
}

// Close stops all relays and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, r := range n.relays {
		_ = r.listener.Close()
		for c := range r.conns {
			_ = c.downstream.Close()
			_ = c.upstream.Close()
		}
	}
}

func (r *relay) acceptLoop() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forwardConn(downstream)
	}
}

func (r *relay) forwardConn(downstream net.Conn) {
	n := r.network
	n.mu.Lock()
	target := r.target
	n.mu.Unlock()
	upstream, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = downstream.Close()
		return
	}
	c := &relayedConn{downstream: downstream, upstream: upstream}
	n.mu.Lock()
	c.blackholed = n.partitioned[r.key.dialer] || n.partitioned[r.key.acceptor]
	r.conns[c] = struct{}{}
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.forward(c, downstream, upstream) }()
	go func() { defer both.Done(); n.forward(c, upstream, downstream) }()
	both.Wait()
	n.mu.Lock()
	delete(r.conns, c)
	n.mu.Unlock()
}

// chunk is a block of data waiting for its delivery time.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

const (
	maxQueuedChunks = 1024
	chunkBytes      = 64 << 10
)

// forward copies data in one direction and delivers each chunk after the delay.
func (n *Network) forward(c *relayedConn, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, chunkBytes)
			size, err := from.Read(buffer)
			if err != nil {
				return
			}
			queue <- chunk{data: buffer[:size], deliverAt: time.Now().Add(n.delay)}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.deliverAt))
		if n.isBlackholed(c) {
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	for range queue { // unblocks the reading goroutine
	}
}

func (n *Network) isBlackholed(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.blackholed
}
