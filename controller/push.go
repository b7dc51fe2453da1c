package controller

import (
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// minCachedDeltas is the number of newest deltas that are kept once there are as many,
// unless they take more than maxCachedDeltaBytes. A VM gets the full configuration only
// if it lacks more epochs than the kept deltas cover, or has none installed. At 20,000
// configuration changes a day, the kept deltas cover more than an hour.
const (
	minCachedDeltas     = 1024
	maxCachedDeltaBytes = 8 << 20
)

// pushCache holds the encoded deltas of the newest epochs and the encoded
// configuration. Each is encoded once and shared by the pushes to all VMs.
type pushCache struct {
	deltas        []cbor.RawMessage // consecutive epochs up to configuration.Epoch
	deltaBytes    int               // total size of deltas
	configuration *zinniatide.Configuration
	full          cbor.RawMessage
	fullEpoch     zinniatide.Epoch
}

func (p *pushCache) add(c *zinniatide.Configuration, delta *registrar.Delta) {
	p.configuration = c
	if delta == nil {
		p.deltas, p.deltaBytes = nil, 0
		return
	}
	encoded, err := encoder.Marshal(delta)
	if err != nil {
		klog.ErrorS(err, "failed to encode configuration delta", "step", "push", "epoch", delta.Epoch)
		p.deltas, p.deltaBytes = nil, 0
		return
	}
	p.deltas = append(p.deltas, encoded)
	p.deltaBytes += len(encoded)
	if len(p.deltas) >= 2*minCachedDeltas || p.deltaBytes > maxCachedDeltaBytes {
		p.dropOldest()
	}
}

// dropOldest keeps the newest minCachedDeltas deltas, or fewer if they take more than
// half of maxCachedDeltaBytes.
func (p *pushCache) dropOldest() {
	kept, size := 0, 0
	for kept < min(len(p.deltas), minCachedDeltas) {
		size += len(p.deltas[len(p.deltas)-1-kept])
		if size > maxCachedDeltaBytes/2 {
			break
		}
		kept++
	}
	p.deltas = append([]cbor.RawMessage(nil), p.deltas[len(p.deltas)-kept:]...)
	p.deltaBytes = 0
	for _, delta := range p.deltas {
		p.deltaBytes += len(delta)
	}
}

// since returns the push for a VM whose installed epoch is given, or nil if it
// is up to date.
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
			klog.ErrorS(err, "failed to encode configuration", "step", "push", "epoch", p.configuration.Epoch)
			return nil
		}
		p.full, p.fullEpoch = encoded, p.configuration.Epoch
	}
	return &controlproto.ConfigurationPush{Full: p.full}
}

// pushToOutdated starts a push to every VM with an outdated configuration.
func (c *Controller) pushToOutdated() {
	now := c.clock.Now()
	for i := range c.sessions.entries {
		s := &c.sessions.entries[i]
		// Before the first heartbeat the epoch of the VM is unknown. Pushing then
		// would send the full configuration to every VM after each election.
		if s.heartbeatSeen && !s.pushInFlight && s.nextPushAt <= now {
			c.pushNext(s, now)
		}
	}
}

// pushNext sends s the epochs that it lacks. One push is in flight per session;
// its acknowledgement triggers the next.
func (c *Controller) pushNext(s *session, now zinniatide.Millis) {
	message := c.pushes.since(s.installedEpoch)
	if message == nil {
		return
	}
	s.pushInFlight, s.pushedAt = true, now
	vm, process := s.vm, s.process
	c.links.Call(vm, zinniatide.KindControlPush, message, pushTimeout, func(body []byte, err error) {
		var ack controlproto.PushReply
		if err == nil {
			err = encoder.Unmarshal(body, &ack)
		}
		c.log.Post(func() { c.handlePushReply(vm, process, ack, err) })
	})
}

// handlePushReply records the acknowledged epoch and continues with the next
// push, or schedules a retry if the VM made no progress.
func (c *Controller) handlePushReply(vm zinniatide.VMID, process zinniatide.ProcessID, ack controlproto.PushReply, err error) {
	s := c.sessions.get(vm)
	if s == nil || s.process != process {
		return
	}
	s.pushInFlight = false
	before := s.installedEpoch
	if err == nil && ack.Process == process {
		s.setInstalled(ack.Epoch, c.clock.Now())
		c.finishInstallWaits()
	}
	now := c.clock.Now()
	if s.installedEpoch == before {
		c.metrics.pushFailures.Inc()
		s.nextPushAt = now + pushRetryDelay
		return
	}
	c.pushNext(s, now)
}

// membersBehind returns the members that may still use a configuration older
// than epoch.
func (c *Controller) membersBehind(epoch zinniatide.Epoch) []zinniatide.VMID {
	var out []zinniatide.VMID
	for i := range c.sessions.entries {
		s := &c.sessions.entries[i]
		if s.installedEpoch < epoch && s.joinEpoch < epoch {
			out = append(out, s.vm)
		}
	}
	return out
}
