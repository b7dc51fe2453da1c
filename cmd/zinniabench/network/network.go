// Package network injects delays and partitions into the links between the VMs
// of a measurement. Each link passes through a TCP proxy on loopback.
package network

import (
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Network proxies the links between VMs and injects faults into them.
type Network struct {
	delay time.Duration // one way

	mu          sync.Mutex
	partitioned map[zinniatide.VMID]bool
	proxies     map[linkKey]*linkProxy
	closed      bool
}

// linkKey identifies a proxy by the VM that dials and the VM that accepts.
type linkKey struct{ dialer, acceptor zinniatide.VMID }

// linkProxy accepts the connections of one VM to one peer and forwards them.
type linkProxy struct {
	network  *Network
	key      linkKey
	listener net.Listener
	target   string
	conns    map[*proxiedConn]struct{}
}

// proxiedConn is a link that passes through a proxy.
type proxiedConn struct {
	downstream, upstream net.Conn
	frozen               bool // guarded by Network.mu
}

// New returns a network that delays the data of each link by delay in each
// direction.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, partitioned: make(map[zinniatide.VMID]bool), proxies: make(map[linkKey]*linkProxy)}
}

// Route returns the address mapping of vm for linker.Config. It replaces the
// address of a peer by that of a proxy to the peer.
func (n *Network) Route(vm zinniatide.VMID) func(zinniatide.VMID, string) string {
	return func(peer zinniatide.VMID, address string) string {
		p, err := n.proxyFor(linkKey{dialer: vm, acceptor: peer}, address)
		if err != nil {
			klog.ErrorS(err, "cannot create a link proxy; the link has no injected delay or faults", "step", "relay", "peer", peer)
			return address
		}
		return p.listener.Addr().String()
	}
}

func (n *Network) proxyFor(key linkKey, target string) (*linkProxy, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.New("network is closed")
	}
	if p := n.proxies[key]; p != nil {
		p.target = target
		return p, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "listen", string(key.acceptor))
	}
	p := &linkProxy{network: n, key: key, listener: listener, target: target, conns: make(map[*proxiedConn]struct{})}
	n.proxies[key] = p
	go p.acceptLoop()
	return p, nil
}

// Partition drops all data on the current and future links of vm without closing
// any connection. It lasts until Heal.
func (n *Network) Partition(vm zinniatide.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[vm] = true
	for key, p := range n.proxies {
		if key.dialer != vm && key.acceptor != vm {
			continue
		}
		for c := range p.conns {
			c.frozen = true
		}
	}
}

// FreezeOpenLinks makes the open links of vm drop all data for good, without
// closing them, and returns their number. New links work.
func (n *Network) FreezeOpenLinks(vm zinniatide.VMID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for key, p := range n.proxies {
		if key.dialer != vm && key.acceptor != vm {
			continue
		}
		for c := range p.conns {
			c.frozen = true
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

// Close stops all proxies and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, p := range n.proxies {
		_ = p.listener.Close()
		for c := range p.conns {
			_ = c.downstream.Close()
			_ = c.upstream.Close()
		}
	}
}

func (p *linkProxy) acceptLoop() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConn(downstream)
	}
}

func (p *linkProxy) forwardConn(downstream net.Conn) {
	n := p.network
	n.mu.Lock()
	target := p.target
	n.mu.Unlock()
	upstream, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = downstream.Close()
		return
	}
	c := &proxiedConn{downstream: downstream, upstream: upstream}
	n.mu.Lock()
	c.frozen = n.partitioned[p.key.dialer] || n.partitioned[p.key.acceptor]
	p.conns[c] = struct{}{}
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.forward(c, downstream, upstream) }()
	go func() { defer both.Done(); n.forward(c, upstream, downstream) }()
	both.Wait()
	n.mu.Lock()
	delete(p.conns, c)
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
func (n *Network) forward(c *proxiedConn, from, to net.Conn) {
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
		if n.isFrozen(c) {
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

func (n *Network) isFrozen(c *proxiedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.frozen
}
