package subscriber

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// Guards against heartbeats, claims and releases that are sent late because Run
// sleeps, and against steps without need.
func TestNextStep(t *testing.T) {
	s, links, manual := newScripted(t)
	want := func(name string, due zinniatide.Millis) {
		t.Helper()
		for range 3 {
			s.Step() // answers are taken in the step after the call
		}
		if got := s.nextStep(manual.Now()) - manual.Now(); got != due {
			t.Errorf("%s: the next step is due in %d ms, want %d", name, got, due)
		}
	}
	lead := controlproto.Leadership{Leading: true, Leader: "c1"}
	links.answer = func(_ zinniatide.VMID, kind zinniatide.MessageKind, _ any) (any, error) {
		if kind == zinniatide.KindControlHeartbeat {
			return controlproto.HeartbeatReply{Leadership: lead, Granted: true}, nil
		}
		return nil, zinniatide.ErrNotSent
	}
	want("heartbeat", zinniatide.HeartbeatInterval)
	manual.Advance(zinniatide.HeartbeatInterval - 10)
	want("no step before a tick has passed", zinniatide.TickInterval)
	manual.Advance(zinniatide.TickInterval)
	s.Claim(zinniatide.Claim{RequestID: "r", VM: "e1", Token: 1}, func(zinniatide.ClaimReply, error) {})
	want("claim that was not sent", max(claimRetry, zinniatide.TickInterval))
	s.claims.items = nil
	s.releases[1] = []bucketID{{Zone: "a", Index: 1}}
	want("release that was not sent", releaseRetry)
}

// Guards against a VM that waits for its first configuration for longer than it
// needs to, and against heartbeats more often than its configuration says.
func TestHeartbeatInterval(t *testing.T) {
	s, links, manual := newScripted(t)
	s.config.HeartbeatInterval = 3 * zinniatide.HeartbeatInterval
	beats := 0
	links.answer = func(_ zinniatide.VMID, kind zinniatide.MessageKind, _ any) (any, error) {
		if kind == zinniatide.KindControlHeartbeat {
			beats++
		}
		return controlproto.HeartbeatReply{Leadership: controlproto.Leadership{Leading: true, Leader: "c1"}, Granted: true}, nil
	}
	for _, row := range []struct {
		name string
		want int
	}{{"without a configuration", 6}, {"with one", 2}} {
		beats = 0
		for range 6 {
			s.Step()
			s.Step()
			manual.Advance(zinniatide.HeartbeatInterval)
		}
		if beats != row.want {
			t.Errorf("%s: got %d heartbeats in six intervals, want %d", row.name, beats, row.want)
		}
		s.install(full(t, 5))
	}
}
