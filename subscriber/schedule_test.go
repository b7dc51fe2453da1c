package subscriber

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// Guards against heartbeats, claims and releases that are sent late because Run
// sleeps too long, and against unnecessary steps.
func TestNextStepTime(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	want := func(name string, due zinniatide.Millis) {
		t.Helper()
		for range 3 {
			s.Step() // a reply is processed in the step after the call
		}
		if got := s.nextStepAt(manual.Now()) - manual.Now(); got != due {
			t.Errorf("%s: the next step is due in %d ms, want %d", name, got, due)
		}
	}
	leadership := controlproto.LeaderStatus{Leading: true, Leader: "c1"}
	links.respond = func(_ zinniatide.VMID, kind zinniatide.MessageKind, _ any) (any, error) {
		if kind == zinniatide.KindControlHeartbeat {
			return controlproto.HeartbeatReply{LeaderStatus: leadership, LeaseExtended: true}, nil
		}
		return nil, zinniatide.ErrNotSent
	}
	want("heartbeat", zinniatide.HeartbeatInterval)
	manual.Advance(zinniatide.HeartbeatInterval - 10)
	want("no step before a tick has passed", zinniatide.TickInterval)
	manual.Advance(zinniatide.TickInterval)
	s.Claim(zinniatide.Claim{RequestID: "r", VM: "e1", Token: 1}, func(zinniatide.ClaimReply, error) {})
	want("claim that was not sent", max(claimRetryDelay, zinniatide.TickInterval))
	s.claims.items = nil
	s.releases[1] = []bucketID{{Zone: "a", Index: 1}}
	want("release that was not sent", releaseInterval)
}

// Guards against a VM that waits longer than necessary for its first
// configuration, and against heartbeats more frequent than Config allows.
func TestHeartbeatInterval(t *testing.T) {
	s, links, manual := newTestSubscriber(t)
	s.config.HeartbeatInterval = 3 * zinniatide.HeartbeatInterval
	heartbeats := 0
	links.respond = func(_ zinniatide.VMID, kind zinniatide.MessageKind, _ any) (any, error) {
		if kind == zinniatide.KindControlHeartbeat {
			heartbeats++
		}
		return controlproto.HeartbeatReply{LeaderStatus: controlproto.LeaderStatus{Leading: true, Leader: "c1"}, LeaseExtended: true}, nil
	}
	for _, row := range []struct {
		name string
		want int
	}{{"without a configuration", 6}, {"with one", 2}} {
		heartbeats = 0
		for range 6 {
			s.Step()
			s.Step()
			manual.Advance(zinniatide.HeartbeatInterval)
		}
		if heartbeats != row.want {
			t.Errorf("%s: got %d heartbeats in six intervals, want %d", row.name, heartbeats, row.want)
		}
		s.install(fullPush(t, 5))
	}
}
