package selector

import (
	"math/rand/v2"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/throttler"
)

// newPacedService returns a service with two servers, of which the first is paced and has
// one request in flight, which is its limit.
func newPacedService(now zinniatide.Millis) (*Service, *Options) {
	service := &Service{RelayService: zinniatide.RelayService{Service: "s"}}
	for _, id := range []zinniatide.BackendServerID{"paced", "other"} {
		s := &Server{Service: service, Enrollment: zinniatide.Enrollment{Server: id, Zone: "a", Slots: 2, State: zinniatide.StateIn}}
		s.SetSenders(1, 0)
		service.Servers = append(service.Servers, s)
	}
	service.Servers[0].BeginPace(now, throttler.CauseNew)
	service.Servers[0].RecordStart(now)
	return service, &Options{Zone: "a", Now: now + 1, ZoneExcluded: func(zinniatide.ZoneID) bool { return false },
		Random: rand.New(rand.NewPCG(1, 1))} //nolint:gosec // fixed seed
}

// Guards against a pace that is not observed, one that leaves a server idle while the
// others are overloaded, and one that goes before the rules of cold and paused servers.
func TestPaceInChoice(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(service *Service, o *Options)
		want   zinniatide.BackendServerID
	}{
		{"held back", func(*Service, *Options) {}, "other"},
		{"other somewhat loaded", func(s *Service, _ *Options) { s.Servers[1].SetReportedQueue(4, 1001) }, "other"},
		{"other overloaded", func(s *Service, _ *Options) { s.Servers[1].SetReportedQueue(20, 1001) }, "paced"},
		{"other overloaded, hedge", func(s *Service, o *Options) { s.Servers[1].SetReportedQueue(20, 1001); o.Hedge = true }, "other"},
		{"other tried", func(s *Service, o *Options) { o.Tried = s.Servers[1:] }, "paced"},
		{"other tried, hedge", func(s *Service, o *Options) { o.Tried, o.Hedge = s.Servers[1:], true }, ""},
		{"other tried, paused", func(s *Service, o *Options) { o.Tried = s.Servers[1:]; s.Servers[0].PauseUntil(2000) }, ""},
		{"last attempt, paused", func(s *Service, o *Options) {
			o.Tried, o.LastAttempt = s.Servers[1:], true
			s.Servers[0].PauseUntil(2000)
		}, ""},
		{"other tried, cold rate used up", func(s *Service, o *Options) {
			o.Tried, s.ColdRate = s.Servers[1:], 1
			s.Servers[0].SetColdFor(5000, 1000)
			s.Servers[0].RecordStart(1000)
		}, ""},
		{"both paced, other less loaded", func(s *Service, _ *Options) {
			s.Servers[1].BeginPace(2000, throttler.CauseNew) // from then on
		}, "other"},
	} {
		service, o := newPacedService(1000)
		row.change(service, o)
		var got zinniatide.BackendServerID
		if s := service.Pick(o); s != nil {
			got = s.Server
		}
		if got != row.want {
			t.Errorf("%s: got server %q, want %q", row.name, got, row.want)
		}
	}
}

// Guards against a cold rate that is not used, because the one VM that sends takes only
// the share of one of many VMs, and against all the others sending at once when the
// server is warm.
func TestPaceWithColdRate(t *testing.T) {
	const vms, coldFor, rate, latency = 26, 3000, 8.0, 50
	atOnce, later := 0, 0
	for vm := range vms {
		service := &Service{RelayService: zinniatide.RelayService{Service: "s", ColdRate: rate}}
		var servers [2]*Server
		for i, id := range []zinniatide.BackendServerID{"cold", "warm"} {
			servers[i] = &Server{Service: service, Enrollment: zinniatide.Enrollment{Server: id, Zone: "a", Slots: 2, State: zinniatide.StateIn}}
			servers[i].SetSenders(vms, float64(vm)/vms)
			service.Servers = append(service.Servers, servers[i])
		}
		service.Latency.Add(latency)
		servers[0].SetColdFor(coldFor, 1)
		whileCold := 0
		var ends []zinniatide.Millis
		for now := zinniatide.Millis(1); now < 1+coldFor+2000; now++ {
			if len(ends) > 0 && ends[0] == now {
				servers[0].RecordSuccess(now-latency, now)
				ends = ends[1:]
			}
			o := &Options{Zone: "a", Now: now, ZoneExcluded: func(zinniatide.ZoneID) bool { return false },
				Random:        rand.New(rand.NewPCG(1, uint64(now))), //nolint:gosec // fixed seed
				MaySendToCold: func(*Server) bool { return vm == 2 }}
			if service.Pick(o) != servers[0] {
				continue
			}
			servers[0].RecordStart(now)
			ends = append(ends, now+latency)
			switch {
			case now < 1+coldFor:
				whileCold++
			case vm == 2:
			case now < 1+coldFor+latency:
				atOnce++
			default:
				later++
			}
		}
		if least := 0.85 * rate * coldFor / 1000; vm == 2 && float64(whileCold) < least {
			t.Errorf("got %d requests of the sending VM while the server is cold, want at least %.0f", whileCold, least)
		}
		if vm != 2 && whileCold > 0 {
			t.Errorf("got %d requests of VM %d while the server is cold, want 0", whileCold, vm)
		}
	}
	// One request in flight for all VMs together, and one for rounding.
	if atOnce > 2 || later == 0 {
		t.Errorf("got %d requests of the other VMs in the first %d ms after the cold time and %d later, want at most 2 and some", atOnce, latency, later)
	}
}

// Guards against a server that is taken to be slow because its requests are of another
// kind than those of its peers.
func TestPaceComparesLikeWork(t *testing.T) {
	for _, row := range []struct {
		route zinniatide.RouteID
		grows bool
	}{{"slow", true}, {"fast", false}} {
		service, _ := newPacedService(1000)
		for range 5 {
			service.Servers[1].RecordAnswer("fast", 1000, 1010)
			service.Servers[1].RecordAnswer("slow", 1000, 1100)
		}
		pace := service.Servers[0].Pace()
		before := pace.Share()
		service.Servers[0].RecordAnswer(row.route, 1000, 1100)
		if got := pace.Share() > before; got != row.grows {
			t.Errorf("answer of 100 ms of route %s: got share %.2f from %.2f, want growth %v", row.route, pace.Share(), before, row.grows)
		}
	}
}

// Guards against a mean of the peers that is used long after its last sample, and
// against means of more and more routes.
func TestPeerLatencyIsBounded(t *testing.T) {
	service, _ := newPacedService(1000)
	service.addPeerLatency("r", 10, 1000)
	if got := service.peerLatency("r", 1000+referenceLifetime+1); got != 0 {
		t.Errorf("got a mean of %v ms after its lifetime, want none", got)
	}
	for i := range 10 * maxReferences {
		service.addPeerLatency(zinniatide.RouteID(rune(i)), 10, 1000)
	}
	if got := len(service.references); got > maxReferences {
		t.Errorf("got %d routes with a mean, want at most %d", got, maxReferences)
	}
}
