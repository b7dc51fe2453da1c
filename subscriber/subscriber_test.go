package subscriber

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// fakeLinker answers calls with a function and records the handler and peers.
type fakeLinker struct {
	zinniatide.Linker
	pushHandler zinniatide.LinkHandler
	handlers    map[zinniatide.MessageKind]zinniatide.LinkHandler
	peers       map[zinniatide.VMID]zinniatide.Peer
	down        []zinniatide.VMID // peers without a link
	respond     func(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) (any, error)
}

func (l *fakeLinker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	if kind == zinniatide.KindControlPush {
		l.pushHandler = h
	}
	if l.handlers == nil {
		l.handlers = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	}
	l.handlers[kind] = h
}

func (l *fakeLinker) Connected(peer zinniatide.VMID) bool {
	_, known := l.peers[peer]
	return known && !slices.Contains(l.down, peer)
}

func (l *fakeLinker) SetPeers(peers map[zinniatide.VMID]zinniatide.Peer) { l.peers = peers }
func (l *fakeLinker) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	value, err := l.respond(peer, kind, body)
	encoded, _ := encoder.Marshal(value)
	done(encoded, err)
}

func newTestSubscriber(t *testing.T) (*Subscriber, *fakeLinker, *clock.Clock) {
	t.Helper()
	manual := clock.NewManual(1000, 0)
	links := &fakeLinker{respond: func(zinniatide.VMID, zinniatide.MessageKind, any) (any, error) { return nil, zinniatide.ErrNotSent }}
	config := Config{Member: zinniatide.Member{VM: "e1", Zone: "a", Process: 1, Entry: true},
		ControlVMs: []zinniatide.ControlVM{{VM: "c1", PeerAddress: "h:1"}, {VM: "c2", PeerAddress: "h:2"}, {VM: "c3", PeerAddress: "h:3"}}}
	return New(config, links, manual, rand.New(rand.NewPCG(1, 2)), prometheus.NewRegistry()), links, manual
}

// fullPush returns a push of a full configuration with one member.
func fullPush(t *testing.T, epoch zinniatide.Epoch) *controlproto.ConfigurationPush {
	t.Helper()
	c := registrar.NewConfiguration()
	c.Epoch = epoch
	c.Members["e2"] = zinniatide.Member{VM: "e2", PeerAddress: "h:9"}
	raw, err := encoder.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return &controlproto.ConfigurationPush{Full: raw}
}

func deltaPush(t *testing.T, epochs ...zinniatide.Epoch) *controlproto.ConfigurationPush {
	t.Helper()
	push := &controlproto.ConfigurationPush{}
	for _, epoch := range epochs {
		raw, err := encoder.Marshal(&registrar.Delta{Epoch: epoch})
		if err != nil {
			t.Fatal(err)
		}
		push.Deltas = append(push.Deltas, raw)
	}
	return push
}

// Guards against a restarted VM whose link stays with its earlier process, because the
// links do not learn which process the configuration names.
func TestPeersNameTheRunningProcess(t *testing.T) {
	s, links, _ := newTestSubscriber(t)
	s.install(fullPush(t, 5))
	member := zinniatide.Member{VM: "e2", PeerAddress: "h:9", Process: 7}
	raw, err := encoder.Marshal(&registrar.Delta{Epoch: 6, Members: map[zinniatide.VMID]*zinniatide.Member{"e2": &member}})
	if err != nil {
		t.Fatal(err)
	}
	s.install(&controlproto.ConfigurationPush{Deltas: []cbor.RawMessage{raw}})
	if got, want := links.peers["e2"], (zinniatide.Peer{Address: "h:9", Process: 7}); got != want {
		t.Errorf("got peer %v, want %v", got, want)
	}
}

// Guards against epochs that decrease or skip a change, and against a corrupt
// push that replaces the configuration.
func TestInstallKeepsEpochOrder(t *testing.T) {
	s, links, _ := newTestSubscriber(t)
	steps := []struct {
		name string
		push *controlproto.ConfigurationPush
		want zinniatide.Epoch
	}{
		{"first", fullPush(t, 5), 5},
		{"older full configuration", fullPush(t, 4), 5},
		{"delta with a gap", deltaPush(t, 7), 5},
		{"deltas that overlap", deltaPush(t, 4, 5, 6, 7), 7},
		{"deltas with a gap inside", deltaPush(t, 8, 10), 8},
		{"old delta", deltaPush(t, 6), 8},
		{"corrupt", &controlproto.ConfigurationPush{Full: []byte{0xff}}, 8},
		{"full configuration and deltas", &controlproto.ConfigurationPush{Full: fullPush(t, 20).Full, Deltas: deltaPush(t, 21).Deltas}, 21},
	}
	for _, step := range steps {
		body, err := encoder.Marshal(step.push)
		if err != nil && step.name != "corrupt" {
			t.Fatal(err)
		}
		var ack *controlproto.PushReply
		links.pushHandler("c1", body, func(value any, _ error) { ack = value.(*controlproto.PushReply) })
		s.Step()
		if got := s.Configuration().Epoch; got != step.want || ack == nil || ack.Epoch != step.want {
			t.Errorf("%s: installed epoch %d, acknowledged %+v, want %d", step.name, got, ack, step.want)
		}
	}
	want := map[zinniatide.VMID]zinniatide.Peer{"c1": {Address: "h:1"}, "c2": {Address: "h:2"}, "c3": {Address: "h:3"}, "e2": {Address: "h:9"}}
	if got := links.peers; len(got) != len(want) || got["e2"] != want["e2"] || got["c3"] != want["c3"] {
		t.Errorf("peers %v, want %v", got, want)
	}
}

// Guards against a lease that starts at the reply instead of the heartbeat, and
// against a lease for a configuration that is not installed yet.
func TestLeaseStartsAtHeartbeatOfInstalledEpoch(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	reply := &controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leading: true, Leader: "c1"}, LeaseExtended: true, Epoch: 5}
	links.respond = func(zinniatide.VMID, zinniatide.MessageKind, any) (any, error) {
		manual.Advance(100) // latency of the reply
		return reply, nil
	}
	s.Step()
	s.Step()
	if got := s.LeaseUntil(); got != 0 {
		t.Errorf("lease until %d before epoch 5 is installed, want 0", got)
	}
	s.install(fullPush(t, 5))
	if got, want := s.LeaseUntil(), 1000+zinniatide.LeaseDuration; got != want {
		t.Errorf("lease until %d, want %d", got, want)
	}
	reply.Epoch = 3
	manual.Advance(zinniatide.HeartbeatInterval)
	s.Step()
	s.Step()
	if got, want := s.LeaseUntil(), 1000+zinniatide.LeaseDuration; got != want {
		t.Errorf("lease until %d after a reply from an outdated leader, want %d", got, want)
	}
}

// Guards against a confirmation of a new configuration that holds for the parts of the
// process that still work with the one before: a VM that has counted requests of a
// workspace would go on to do so.
func TestConfigurationIsConfirmedAfterItsCallbacks(t *testing.T) {
	s, links, _ := newTestSubscriber(t)
	reply := &controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leading: true, Leader: "c1"}, LeaseExtended: true, Epoch: 5}
	links.respond = func(zinniatide.VMID, zinniatide.MessageKind, any) (any, error) { return reply, nil }
	s.Step()
	s.Step()
	var during []zinniatide.Millis
	s.OnConfiguration(func(*zinniatide.Configuration) { during = append(during, s.ConfirmedAt()) })
	s.install(fullPush(t, 5))
	if got, want := s.ConfirmedAt(), zinniatide.Millis(1000); got != want {
		t.Errorf("confirmed at %d after the installation, want %d", got, want)
	}
	if len(during) != 1 || during[0] >= 1000 {
		t.Errorf("confirmed at %v during the callbacks, want one time before 1000", during)
	}
}

// Guards against a VM that contacts only one control VM although it fails, that
// contacts the others without delay, or that ignores the leader named in a reply.
func TestFailoverBetweenControlVMs(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	var contacted []zinniatide.VMID
	links.respond = func(peer zinniatide.VMID, _ zinniatide.MessageKind, _ any) (any, error) {
		contacted = append(contacted, peer)
		if len(contacted) < 3 {
			return nil, zinniatide.ErrTimeout
		}
		return &controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leader: contacted[0]}}, nil
	}
	for range 4 {
		s.Step()
		s.Step()
		manual.Advance(maxFailoverDelay)
	}
	if len(contacted) != 4 || contacted[0] == contacted[1] || contacted[1] == contacted[2] || contacted[2] == contacted[0] || contacted[3] != contacted[0] {
		t.Errorf("contacted %v, want three VMs in turn and then the named leader", contacted)
	}
}

// Guards against a release for an earlier move that is sent as one for the
// current move, and against releases of buckets that are not moving.
func TestReleasesContainMoveEpoch(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	var sent []string
	links.respond = func(_ zinniatide.VMID, _ zinniatide.MessageKind, body any) (any, error) {
		if release, ok := body.(*controlproto.BucketRelease); ok {
			sent = append(sent, fmt.Sprint(release.Epoch, release.Buckets))
		}
		return &controlproto.ReleaseReply{LeaderStatus: controlproto.LeaderStatus{Leading: true}}, nil
	}
	mine := zinniatide.Bucket{Owner: "e1", OwnerProcess: 1, NextOwner: "e2"}
	s.installed.Store(&zinniatide.Configuration{Epoch: 9, Buckets: map[zinniatide.ZoneID][]zinniatide.Bucket{"a": {mine, mine, {Owner: "e1", OwnerProcess: 1}}}})
	s.ReleaseBucket("a", 0)
	s.ReleaseBucketAt("a", 1, 6)
	for _, index := range []int{-1, 2, 3} {
		s.ReleaseBucket("a", index)
	}
	for range 4 {
		s.Step()
		s.Step()
		manual.Advance(releaseInterval)
	}
	if want := []string{"6 [{a 1}]", "9 [{a 0}]", "6 [{a 1}]", "9 [{a 0}]"}; !slices.Equal(sent, want) {
		t.Errorf("sent %v, want %v", sent, want)
	}
}

// Guards against a goroutine that outlives its context, and against posted tasks
// that wait for the next tick although Run was woken.
func TestRunStopsAndWakes(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, _, _ := newTestSubscriber(t)
	installed := make(chan zinniatide.Epoch, 1)
	s.OnConfiguration(func(c *zinniatide.Configuration) { installed <- c.Epoch })
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { s.Run(ctx); close(stopped) }()
	push := fullPush(t, 3)
	s.post(func() { s.install(push) })
	if got := <-installed; got != 3 || s.Configuration().Epoch != 3 {
		t.Errorf("installed epoch %d, want 3", got)
	}
	cancel()
	<-stopped
}
