package controller

import (
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// keptDeltas is how many epochs a VM may be behind before it gets the whole
// configuration. At 20,000 changes a day this covers more than an hour.
const keptDeltas = 1024

// pushCache holds the encoded deltas of the newest epochs and the encoded
// configuration. Each is encoded once and shared by the pushes to all VMs.
type pushCache struct {
	deltas        []cbor.RawMessage // the epochs up to configuration.Epoch
	configuration *zinniatide.Configuration
	full          cbor.RawMessage
	fullEpoch     zinniatide.Epoch
}

func (p *pushCache) add(c *zinniatide.Configuration, delta *registrar.Delta) {
	p.configuration = c
	if delta == nil {
		p.deltas = nil
		return
	}
	encoded, err := encoder.Marshal(delta)
	if err != nil {
		klog.ErrorS(err, "cannot encode a configuration delta", "step", "push", "epoch", delta.Epoch)
		p.deltas = nil
		return
	}
	p.deltas = append(p.deltas, encoded)
	if len(p.deltas) >= 2*keptDeltas {
		p.deltas = append([]cbor.RawMessage(nil), p.deltas[len(p.deltas)-keptDeltas:]...)
	}
}

// since returns what a VM with epoch installed needs, or nil when it is up to
// date.
func (p *pushCache) since(installed zinniatide.Epoch) *controlproto.ConfigurationPush {
	if p.configuration == nil || installed >= p.configuration.Epoch {
		return nil
	}
	behind := uint64(p.configuration.Epoch - installed)
	if installed > 0 && behind <= uint64(len(p.deltas)) {
		return &controlproto.ConfigurationPush{Deltas: p.deltas[len(p.deltas)-int(behind):]}
	}
	if p.full == nil || p.fullEpoch != p.configuration.Epoch {
		encoded, err := encoder.Marshal(p.configuration)
		if err != nil {
			klog.ErrorS(err, "cannot encode the configuration", "step", "push", "epoch", p.configuration.Epoch)
			return nil
		}
		p.full, p.fullEpoch = encoded, p.configuration.Epoch
	}
	return &controlproto.ConfigurationPush{Full: p.full}
}

// pushAll starts a push to every session that is behind.
func (c *Controller) pushAll() {
	now := c.clock.Now()
	for i := range c.sessions.rows {
		s := &c.sessions.rows[i]
		// Without a heartbeat the epoch of the VM is unknown, and a whole
		// configuration to each VM would follow every election.
		if s.contacted && !s.pushing && s.retryAt <= now {
			c.push(s, now)
		}
	}
}

// push sends s what it lacks. One push is under way at a time; its
// acknowledgement starts the next.
func (c *Controller) push(s *session, now zinniatide.Millis) {
	message := c.pushes.since(s.installed)
	if message == nil {
		return
	}
	s.pushing, s.pushed = true, now
	vm, incarnation := s.vm, s.incarnation
	c.links.Call(vm, zinniatide.KindControlPush, message, pushTimeout, func(body []byte, err error) {
		var ack controlproto.PushReply
		if err == nil {
			err = encoder.Unmarshal(body, &ack)
		}
		c.log.Post(func() { c.pushDone(vm, incarnation, ack, err) })
	})
}

func (c *Controller) pushDone(vm zinniatide.VMID, incarnation zinniatide.Incarnation, ack controlproto.PushReply, err error) {
	s := c.sessions.get(vm)
	if s == nil || s.incarnation != incarnation {
		return
	}
	s.pushing = false
	before := s.installed
	if err == nil && ack.Incarnation == incarnation {
		s.installed = max(s.installed, ack.Epoch)
	}
	now := c.clock.Now()
	if s.installed == before {
		c.metrics.pushFailures.Inc()
		s.retryAt = now + pushRetry
		return
	}
	c.push(s, now)
}

// notYetOn returns the members that may still run on a configuration older
// than epoch.
func (c *Controller) notYetOn(epoch zinniatide.Epoch) []zinniatide.VMID {
	var out []zinniatide.VMID
	for i := range c.sessions.rows {
		s := &c.sessions.rows[i]
		if s.installed < epoch && s.floor < epoch {
			out = append(out, s.vm)
		}
	}
	return out
}
