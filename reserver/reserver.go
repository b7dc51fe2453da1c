// Package reserver implements zinniatide.ClientBudget: it limits the memory and the
// descriptors that all clients of a process can occupy together, and decides which
// connection makes room when they run out.
package reserver

import (
	"cmp"
	"container/list"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// Config holds the limits of a Reserver. Zero values select those of a process whose
// settings do not state memory or descriptors.
type Config struct {
	// MemoryBytes is the memory that clients may occupy, those of the kernel's buffers
	// included.
	MemoryBytes int64
	// Connections is the number of connections that clients may open.
	Connections int
}

const (
	// memoryShare is the part of the memory of the machine that clients may occupy. The Go
	// runtime is limited to 0.6 of it; the rest of that is for routing tables,
	// links and the answers of backend servers, and for garbage.
	memoryShare = 0.3
	// reservedDescriptors are kept for files, as the platform states for max_fds.
	reservedDescriptors = 200
	// connectionShare is the part of the other descriptors that clients may occupy. The
	// rest is for connections to backend servers and to other VMs.
	connectionShare = 0.75
	// minMemoryBytes and minConnections keep a process with very low settings able to
	// serve.
	minMemoryBytes = 4 << 20
	minConnections = 16
	// defaultMemory and defaultDescriptors are those of platform.Settings.
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
)

// ConfigFor returns the limits for a process with the given memory and number of file
// descriptors.
func ConfigFor(memoryBytes int64, descriptors int) Config {
	return Config{
		MemoryBytes: max(int64(memoryShare*float64(memoryBytes)), minMemoryBytes),
		Connections: max(int(connectionShare*float64(descriptors-reservedDescriptors)), minConnections),
	}
}

const (
	// ConnectionBytes is counted for each connection: 4 KB read buffer, 8 KB stacks, 4 KB
	// for a small request and the state, 16 KB for the unsent part of an answer.
	ConnectionBytes = 32 << 10
	// UnsentBytes is what the kernel takes of an answer before the client has room for it
	// (TCP_NOTSENT_LOWAT). It takes one segment more, over loopback 64 KB.
	UnsentBytes = 16 << 10
	// SendBufferBytes limits what a client can leave without acknowledgement. The kernel
	// doubles it. With 32 KB, answers of 200 KB took 120 ms instead of 0.2 ms over
	// loopback, because each segment waited for a delayed acknowledgement.
	SendBufferBytes = 128 << 10
	// ReceiveBufferBytes is what the kernel takes before it is read, which it doubles. At
	// the 2.8 ms round trip between zones, a connection carries 91 Mbit/s with it, above
	// the 38 Mbit/s of a relay VM.
	ReceiveBufferBytes = 32 << 10
	// logInterval is the time between log lines on connections that were closed or
	// refused.
	logInterval zinniatide.Millis = 5000
)

// reason says what ran out.
type reason int

const (
	memory reason = iota
	connections
	reasonCount
)

var reasonNames = [reasonCount]string{"memory", "connections"}

// Reserver implements zinniatide.ClientBudget. It is safe for concurrent use.
type Reserver struct {
	cfg   Config
	clock zinniatide.Clock

	mu          sync.Mutex
	usedBytes   int64
	connections int
	sequence    uint64
	// light and heavy hold the connections with an unfinished request or an unread
	// answer in the order of their Begin. Those in heavy have reserved memory.
	light, heavy list.List // of *connection
	sources      map[string]*source

	closed, refused [reasonCount]prometheus.Counter
	// loggedAt is the time of the last log line, and closedSince and refusedSince count
	// from there.
	loggedAt                  zinniatide.Millis
	closedSince, refusedSince int
}

// source is an address from which clients have connected.
type source struct {
	connections int
	idle        list.List // of *connection, the one that is idle for longest first
}

// connection implements zinniatide.ClientConnection. All fields are guarded by the lock
// of the Reserver.
type connection struct {
	reserver  *Reserver
	peer      string
	source    *source
	closeConn func()
	reserved  int64
	sequence  uint64 // of Begin
	// list and element are set while the connection may be closed to make room.
	list    *list.List
	element *list.Element
	closed  bool
}

var (
	_ zinniatide.ClientBudget     = (*Reserver)(nil)
	_ zinniatide.ClientConnection = (*connection)(nil)
)

// New returns a Reserver without connections.
func New(cfg Config, clock zinniatide.Clock, registerer prometheus.Registerer) *Reserver {
	defaults := ConfigFor(defaultMemory, defaultDescriptors)
	cfg.MemoryBytes, cfg.Connections = cmp.Or(cfg.MemoryBytes, defaults.MemoryBytes), cmp.Or(cfg.Connections, defaults.Connections)
	r := &Reserver{cfg: cfg, clock: clock, sources: map[string]*source{}, loggedAt: -logInterval}
	gauge := func(name, help string, value func() float64) {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "zinniatide", Subsystem: "clients", Name: name, Help: help}, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value()
		}))
	}
	gauge("reserved_bytes", "Memory reserved for connections of clients.", func() float64 { return float64(r.usedBytes) })
	gauge("connections", "Open connections of clients.", func() float64 { return float64(r.connections) })
	gauge("limit_bytes", "Memory that clients may occupy.", func() float64 { return float64(cfg.MemoryBytes) })
	gauge("limit_connections", "Connections that clients may open.", func() float64 { return float64(cfg.Connections) })
	counters := func(name, help string) (out [reasonCount]prometheus.Counter) {
		vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "zinniatide", Subsystem: "clients", Name: name, Help: help}, []string{"reason"})
		registerer.MustRegister(vector)
		for i, label := range reasonNames {
			out[i] = vector.WithLabelValues(label)
		}
		return out
	}
	r.closed = counters("closed_total", "Connections of clients closed to make room for others, by what ran out.")
	r.refused = counters("refused_total", "Connections and requests of clients refused, by what ran out.")
	return r
}

// Open implements zinniatide.ClientBudget.
func (r *Reserver) Open(peer string, closeConn func()) (zinniatide.ClientConnection, bool) {
	r.mu.Lock()
	var victims []*connection
	defer func() { r.finish(victims) }()
	for r.connections >= r.cfg.Connections || r.usedBytes+ConnectionBytes > r.cfg.MemoryBytes {
		why := memory
		if r.connections >= r.cfg.Connections {
			why = connections
		}
		victim := r.selectVictim(why)
		if victim == nil {
			r.countRefused(why)
			return nil, false
		}
		victims = append(victims, r.evict(victim, why))
	}
	s := r.sources[peer]
	if s == nil {
		s = &source{}
		r.sources[peer] = s
	}
	s.connections++
	r.connections++
	r.usedBytes += ConnectionBytes
	c := &connection{reserver: r, peer: peer, source: s, closeConn: closeConn}
	c.begin()
	return c, true
}

// selectVictim returns the connection that is closed first, or nil if there is none. If
// memory has run out, it is the one that holds reserved memory for an unfinished request
// for longest, else the one whose request is unfinished for longest. After those come
// idle connections, of the source with the most connections.
func (r *Reserver) selectVictim(why reason) *connection {
	heavy, light := front(&r.heavy), front(&r.light)
	switch {
	case heavy != nil && (why == memory || light == nil || heavy.sequence < light.sequence):
		return heavy
	case light != nil:
		return light
	}
	var largest *source
	for _, s := range r.sources {
		if s.idle.Len() > 0 && (largest == nil || s.connections > largest.connections) {
			largest = s
		}
	}
	if largest == nil {
		return nil
	}
	return front(&largest.idle)
}

func front(l *list.List) *connection {
	if e := l.Front(); e != nil {
		return e.Value.(*connection)
	}
	return nil
}

// evict removes c. finish closes it later.
func (r *Reserver) evict(c *connection, why reason) *connection {
	c.remove()
	r.closed[why].Inc()
	r.closedSince++
	return c
}

func (r *Reserver) countRefused(why reason) {
	r.refused[why].Inc()
	r.refusedSince++
}

// finish releases the lock, closes the victims and writes the log line if it is due.
func (r *Reserver) finish(victims []*connection) {
	now := r.clock.Now()
	due := r.closedSince+r.refusedSince > 0 && now-r.loggedAt >= logInterval
	closed, refused, used, open := r.closedSince, r.refusedSince, r.usedBytes, r.connections
	if due {
		r.loggedAt, r.closedSince, r.refusedSince = now, 0, 0
	}
	r.mu.Unlock()
	for _, c := range victims {
		c.closeConn()
	}
	if due {
		klog.InfoS("clients exceed the budget of the process", "step", "reserve", "closed", closed, "refused", refused,
			"reserved-bytes", used, "limit-bytes", r.cfg.MemoryBytes, "connections", open, "limit-connections", r.cfg.Connections)
	}
}

// insert adds c to l in the order of sequence numbers.
func (c *connection) insert(l *list.List) {
	c.list = l
	for e := l.Back(); e != nil; e = e.Prev() {
		if e.Value.(*connection).sequence < c.sequence {
			c.element = l.InsertAfter(c, e)
			return
		}
	}
	c.element = l.PushFront(c)
}

// takeOut removes c from its list.
func (c *connection) takeOut() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// remove ends the accounting of c.
func (c *connection) remove() {
	r := c.reserver
	c.takeOut()
	c.closed = true
	r.connections--
	r.usedBytes -= ConnectionBytes + c.reserved
	c.reserved = 0
	c.source.connections--
	if c.source.connections == 0 {
		delete(r.sources, c.peer)
	}
}

func (c *connection) unfinished() bool {
	return c.element != nil && (c.list == &c.reserver.light || c.list == &c.reserver.heavy)
}

func (c *connection) begin() {
	r := c.reserver
	if c.closed || c.unfinished() {
		return
	}
	c.takeOut()
	r.sequence++
	c.sequence = r.sequence
	if c.reserved > 0 {
		c.insert(&r.heavy)
		return
	}
	c.insert(&r.light)
}

// Begin implements zinniatide.ClientConnection.
func (c *connection) Begin() {
	c.reserver.mu.Lock()
	defer c.reserver.mu.Unlock()
	c.begin()
}

// Run implements zinniatide.ClientConnection.
func (c *connection) Run() bool {
	c.reserver.mu.Lock()
	defer c.reserver.mu.Unlock()
	c.takeOut()
	return !c.closed
}

// Idle implements zinniatide.ClientConnection.
func (c *connection) Idle() {
	r := c.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.closed {
		return
	}
	c.takeOut()
	r.sequence++
	c.sequence = r.sequence
	c.insert(&c.source.idle)
}

// Reserve implements zinniatide.ClientConnection.
func (c *connection) Reserve(bytes int) bool {
	r := c.reserver
	r.mu.Lock()
	var victims []*connection
	defer func() { r.finish(victims) }()
	if c.closed {
		return false
	}
	for r.usedBytes+int64(bytes) > r.cfg.MemoryBytes {
		victim := r.selectVictim(memory)
		// A connection whose request has waited longest is refused itself, unless only
		// idle connections can make room.
		if victim == c {
			c.takeOut()
			victim = r.selectVictim(memory)
			c.insert(c.listForRequest())
			if victim != nil && victim.unfinished() {
				victim = nil
			}
		}
		if victim == nil {
			r.countRefused(memory)
			return false
		}
		victims = append(victims, r.evict(victim, memory))
	}
	r.usedBytes += int64(bytes)
	c.reserved += int64(bytes)
	if c.unfinished() {
		c.takeOut()
		c.insert(c.listForRequest())
	}
	return true
}

func (c *connection) listForRequest() *list.List {
	if c.reserved > 0 {
		return &c.reserver.heavy
	}
	return &c.reserver.light
}

// Release implements zinniatide.ClientConnection.
func (c *connection) Release(bytes int) {
	r := c.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.closed {
		return
	}
	released := min(int64(bytes), c.reserved)
	r.usedBytes -= released
	c.reserved -= released
	if c.unfinished() && c.reserved == 0 {
		c.takeOut()
		c.insert(&r.light)
	}
}

// Close implements zinniatide.ClientConnection.
func (c *connection) Close() {
	c.reserver.mu.Lock()
	defer c.reserver.mu.Unlock()
	if !c.closed {
		c.remove()
	}
}
