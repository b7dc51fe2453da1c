package subscriber

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// pushHandler installs a push and acknowledges the epoch that is installed after
// it.
func (s *Subscriber) pushHandler(_ zinniatide.VMID, body []byte, reply func(any, error)) {
	body = bytes.Clone(body)
	s.post(func() {
		var push controlproto.ConfigurationPush
		err := encoder.Unmarshal(body, &push)
		if err == nil {
			s.install(&push)
		}
		if reply != nil {
			reply(&controlproto.PushReply{Epoch: s.Configuration().Epoch, Process: s.config.Member.Process}, err)
		}
	})
}

// install installs the newest configuration of push. Outdated epochs, and deltas
// after a gap, are ignored.
func (s *Subscriber) install(push *controlproto.ConfigurationPush) {
	current := s.Configuration()
	next, err := decodePush(current, push)
	if err != nil {
		klog.ErrorS(err, "failed to install a pushed configuration", "step", "install", "epoch", current.Epoch)
		return
	}
	if next.Epoch <= current.Epoch {
		return
	}
	s.installed.Store(next)
	s.metrics.epoch.Set(float64(next.Epoch))
	if s.config.SelectPeers != nil || peersChanged(current, next) {
		s.links.SetPeers(s.Peers())
	}
	s.dropCompletedReleases()
	for _, f := range s.configurationCallbacks {
		f(next)
	}
	// After the callbacks: until then, parts of the process work with the configuration
	// before, and ConfirmedAt must not say that it is the newest.
	s.extendLease()
}

// decodePush returns the newest configuration that results from push, or current
// if push contains nothing newer.
func decodePush(current *zinniatide.Configuration, push *controlproto.ConfigurationPush) (*zinniatide.Configuration, error) {
	if len(push.Full) > 0 {
		full := registrar.NewConfiguration()
		if err := encoder.Unmarshal(push.Full, full); err != nil {
			return nil, fmt.Errorf("decode configuration: %w", err)
		}
		if full.Epoch > current.Epoch {
			current = full
		}
	}
	var deltas []registrar.Delta
	epoch := current.Epoch
	for _, raw := range push.Deltas {
		var delta registrar.Delta
		if err := encoder.Unmarshal(raw, &delta); err != nil {
			return nil, fmt.Errorf("decode configuration delta: %w", err)
		}
		if delta.Epoch <= epoch {
			continue
		}
		if delta.Epoch != epoch+1 {
			break // gap: the leader resends from the acknowledged epoch
		}
		deltas = append(deltas, delta)
		epoch = delta.Epoch
	}
	if len(deltas) == 0 {
		return current, nil
	}
	return registrar.ApplyDeltas(current, deltas), nil
}

func peersChanged(before, after *zinniatide.Configuration) bool {
	samePeer := func(a, b zinniatide.Member) bool { return a.PeerAddress == b.PeerAddress && a.Process == b.Process }
	return !maps.EqualFunc(before.Members, after.Members, samePeer) ||
		!slices.Equal(before.ControlVMs, after.ControlVMs)
}
