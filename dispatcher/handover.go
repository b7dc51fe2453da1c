package dispatcher

import (
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

const (
	// warmStateTimeout bounds the wait for the next owner's acknowledgement.
	// Without it the bucket is released anyway, and its servers start cold.
	warmStateTimeout zinniatide.Millis = 500
	// warmStateLifetime is how long a received state waits for the bucket.
	warmStateLifetime zinniatide.Millis = 10_000
	// maxWarmServers bounds one message and the states that are kept.
	maxWarmServers = 1 << 16
)

// warmMessage is the body of KindWarmState. The reply is empty.
type warmMessage struct {
	Zone    zinniatide.ZoneID `json:"zone"`
	Index   int               `json:"index"`
	Servers []warmServer      `json:"servers"`
}

// warmServer is how far one incarnation of a server has warmed up.
type warmServer struct {
	Server      zinniatide.BackendServerID `json:"server"`
	Incarnation zinniatide.Incarnation     `json:"incarnation"`
	Level       uint8                      `json:"level"`
	Successes   uint32                     `json:"successes"`
	Warm        bool                       `json:"warm"`
	Baseline    float64                    `json:"baseline"` // milliseconds
}

// move is the hand-over of one bucket.
type move struct {
	next zinniatide.VMID
	sent bool
	// settled is set when the next owner has the warm state, or cannot be
	// reached.
	settled    atomic.Bool
	releasedAt zinniatide.Millis
}

// noteMoves records which owned buckets the configuration gives to another VM.
func (d *Dispatcher) noteMoves(c *zinniatide.Configuration) {
	old := d.moves
	d.moves = map[bucketKey]*move{}
	for key := range d.ownedSince {
		next := c.Buckets[key.zone][key.index].Next
		if next == "" {
			continue
		}
		m := old[key]
		if m == nil || m.next != next {
			m = &move{next: next}
		}
		d.moves[key] = m
	}
}

// handOver goes on with the moves.
func (d *Dispatcher) handOver(now zinniatide.Millis) {
	for key, m := range d.moves {
		d.advance(key, m, now)
	}
}

// advance takes one step of a hand-over: wait until nothing runs and all
// connections are closed, send the warm state, release.
func (d *Dispatcher) advance(key bucketKey, m *move, now zinniatide.Millis) {
	switch {
	case now < d.settled(d.seen.configuration, key):
		d.ticker.At(d.settled(d.seen.configuration, key))
	case !m.sent:
		if servers, ok := d.emptied(key); ok {
			m.sent = true
			d.sendWarmState(key, m, servers)
		}
	case m.settled.Load() && (m.releasedAt == 0 || now >= m.releasedAt+zinniatide.HeartbeatInterval):
		m.releasedAt = now
		d.o.Release(key.zone, key.index, d.seen.configuration.Epoch)
	}
}

// emptied returns the state of the bucket's servers once none of them has a
// request or a connection left.
func (d *Dispatcher) emptied(key bucketKey) (states []warmServer, ok bool) {
	for _, s := range d.closing {
		if s.bucket == key && !s.quiet() {
			return nil, false
		}
	}
	for _, s := range d.servers.Load().all {
		if s.bucket != key {
			continue
		}
		if !s.quiet() || s.pool.Open() > 0 {
			return nil, false
		}
		states = append(states, s.state())
	}
	return states, true
}

func (s *server) state() warmServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	level, successes, warm := s.ramp.State()
	return warmServer{
		Server: s.id, Incarnation: s.incarnation,
		Level: level, Successes: successes, Warm: warm, Baseline: s.health.Baseline(),
	}
}

func (d *Dispatcher) sendWarmState(key bucketKey, m *move, servers []warmServer) {
	if len(servers) == 0 {
		m.settled.Store(true)
		return
	}
	message := warmMessage{Zone: key.zone, Index: key.index, Servers: servers}
	d.o.Linker.Call(m.next, zinniatide.KindWarmState, message, warmStateTimeout, func(_ []byte, err error) {
		if err != nil {
			klog.ErrorS(zinniatide.WrapStep(err, "send warm state", string(m.next)),
				"next owner starts the bucket's servers cold", "step", "hand-over", "peer", m.next)
		}
		m.settled.Store(true)
	})
}

func (d *Dispatcher) receiveWarmState(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	var message warmMessage
	if err := encoder.Unmarshal(body, &message); err != nil {
		if reply != nil {
			reply(nil, zinniatide.WrapStep(err, "decode warm state", string(from)))
		}
		return
	}
	d.warmth.put(message.Servers)
	if reply != nil {
		reply(struct{}{}, nil)
	}
}

// warmth keeps received states until their bucket is owned.
type warmth struct {
	clock  zinniatide.Clock
	mu     sync.Mutex
	states map[zinniatide.BackendServerID]warmEntry
}

type warmEntry struct {
	warmServer
	expires zinniatide.Millis
}

func newWarmth(clock zinniatide.Clock) *warmth {
	return &warmth{clock: clock, states: map[zinniatide.BackendServerID]warmEntry{}}
}

func (w *warmth) put(servers []warmServer) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.states {
		if e.expires <= now {
			delete(w.states, id)
		}
	}
	for _, s := range servers {
		if len(w.states) >= maxWarmServers {
			return
		}
		w.states[s.Server] = warmEntry{s, now + warmStateLifetime}
	}
}

// take removes and returns the state of one incarnation of a server.
func (w *warmth) take(id zinniatide.BackendServerID, incarnation zinniatide.Incarnation) (warmServer, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.states[id]
	delete(w.states, id)
	return e.warmServer, ok && e.Incarnation == incarnation && w.clock.Now() < e.expires
}
