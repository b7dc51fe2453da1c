package dispatcher

import (
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

const (
	// warmStateTimeout limits the wait for the next owner's acknowledgement.
	// Without one the bucket is released anyway and its servers start cold.
	warmStateTimeout zinniatide.Millis = 500
	// warmStateTTL is how long a received warm state is kept until this VM owns
	// the bucket.
	warmStateTTL zinniatide.Millis = 10_000
	// maxWarmStates is the maximum number of received warm states that are kept,
	// from one or several messages.
	maxWarmStates = 1 << 16
)

// warmStateMessage is the body of KindWarmState. The reply is empty.
type warmStateMessage struct {
	Zone    zinniatide.ZoneID `json:"zone"`
	Index   int               `json:"index"`
	Servers []warmState       `json:"servers"`
}

// warmState is the warm-up progress of one incarnation of a server.
type warmState struct {
	Server      zinniatide.BackendServerID `json:"server"`
	Incarnation zinniatide.Incarnation     `json:"incarnation"`
	Level       uint8                      `json:"level"`
	Successes   uint32                     `json:"successes"`
	Warm        bool                       `json:"warm"`
	Baseline    float64                    `json:"baseline"` // milliseconds
}

// handover is the state of moving one bucket to its next owner.
type handover struct {
	nextOwner zinniatide.VMID
	stateSent bool
	// stateDone is set when the next owner has acknowledged the warm state, when
	// sending it has failed or when there is none to send.
	stateDone  atomic.Bool
	releasedAt zinniatide.Millis
}

// updateHandovers tracks the owned buckets that the configuration assigns to
// another VM.
func (d *Dispatcher) updateHandovers(c *zinniatide.Configuration) {
	old := d.handovers
	d.handovers = map[bucketKey]*handover{}
	for key := range d.ownedSince {
		next := c.Buckets[key.zone][key.index].NextOwner
		if next == "" {
			continue
		}
		h := old[key]
		if h == nil || h.nextOwner != next {
			h = &handover{nextOwner: next}
		}
		d.handovers[key] = h
	}
}

func (d *Dispatcher) advanceHandovers(now zinniatide.Millis) {
	for key, h := range d.handovers {
		d.advanceHandover(key, h, now)
	}
}

// advanceHandover does the next step of a handover: wait until no request runs
// and all connections are closed, send the warm state, release the bucket.
func (d *Dispatcher) advanceHandover(key bucketKey, h *handover, now zinniatide.Millis) {
	switch {
	case now < d.previousOwnerDoneAt(d.reconciled.configuration, key):
		d.ticker.ScheduleAt(d.previousOwnerDoneAt(d.reconciled.configuration, key))
	case !h.stateSent:
		if servers, ok := d.drainedServerStates(key); ok {
			h.stateSent = true
			d.sendWarmState(key, h, servers)
		}
	case h.stateDone.Load() && (h.releasedAt == 0 || now >= h.releasedAt+zinniatide.HeartbeatInterval):
		h.releasedAt = now
		d.options.Release(key.zone, key.index, d.reconciled.configuration.Epoch)
	}
}

// drainedServerStates returns the warm states of the bucket's servers. ok is
// false while one of them still has a request or a connection.
func (d *Dispatcher) drainedServerStates(key bucketKey) (states []warmState, ok bool) {
	for _, s := range d.retired {
		if s.bucket == key && !s.idle() {
			return nil, false
		}
	}
	for _, s := range d.servers.Load().all {
		if s.bucket != key {
			continue
		}
		if !s.idle() || s.pool.NumOpen() > 0 {
			return nil, false
		}
		states = append(states, s.warmState())
	}
	return states, true
}

func (s *server) warmState() warmState {
	s.mu.Lock()
	defer s.mu.Unlock()
	level, successes, warm := s.ramp.State()
	return warmState{
		Server: s.id, Incarnation: s.incarnation,
		Level: level, Successes: successes, Warm: warm, Baseline: s.detector.Baseline(),
	}
}

func (d *Dispatcher) sendWarmState(key bucketKey, h *handover, servers []warmState) {
	if len(servers) == 0 {
		h.stateDone.Store(true)
		return
	}
	message := warmStateMessage{Zone: key.zone, Index: key.index, Servers: servers}
	d.options.Linker.Call(h.nextOwner, zinniatide.KindWarmState, message, warmStateTimeout, func(_ []byte, err error) {
		if err != nil {
			klog.ErrorS(zinniatide.WrapStep(err, "send warm state", string(h.nextOwner)),
				"sending warm state failed; the next owner will start the bucket's servers cold", "step", "hand-over", "peer", h.nextOwner)
		}
		h.stateDone.Store(true)
	})
}

func (d *Dispatcher) receiveWarmState(from zinniatide.VMID, body []byte, reply func(value any, err error)) {
	var message warmStateMessage
	if err := encoder.Unmarshal(body, &message); err != nil {
		if reply != nil {
			reply(nil, zinniatide.WrapStep(err, "decode warm state", string(from)))
		}
		return
	}
	d.warmStates.put(message.Servers)
	if reply != nil {
		reply(struct{}{}, nil)
	}
}

// warmStateStore keeps received warm states until this VM owns the bucket.
type warmStateStore struct {
	clock  zinniatide.Clock
	mu     sync.Mutex
	states map[zinniatide.BackendServerID]storedWarmState
}

type storedWarmState struct {
	warmState
	expires zinniatide.Millis
}

func newWarmStateStore(clock zinniatide.Clock) *warmStateStore {
	return &warmStateStore{clock: clock, states: map[zinniatide.BackendServerID]storedWarmState{}}
}

func (w *warmStateStore) put(servers []warmState) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.states {
		if e.expires <= now {
			delete(w.states, id)
		}
	}
	for _, s := range servers {
		if len(w.states) >= maxWarmStates {
			return
		}
		w.states[s.Server] = storedWarmState{s, now + warmStateTTL}
	}
}

// take removes the state of a server and returns it. ok is false if the state
// belongs to another incarnation or has expired.
func (w *warmStateStore) take(id zinniatide.BackendServerID, incarnation zinniatide.Incarnation) (state warmState, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, found := w.states[id]
	delete(w.states, id)
	return e.warmState, found && e.Incarnation == incarnation && w.clock.Now() < e.expires
}
