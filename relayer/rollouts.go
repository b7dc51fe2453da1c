package relayer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// maxReportedRoutes bounds the routes of a report. Results of others are counted under the
// empty id.
const maxReportedRoutes = 128

// rollouts is the state of all rollouts on this VM.
type rollouts struct {
	services map[zinniatide.ServiceID]*serviceRollout
	// epoch is the installed configuration, relays the number of relay VMs and running that
	// of running rollouts.
	epoch           zinniatide.Epoch
	relays, running int
	sequence        uint64
	reportScheduled bool
}

// serviceRollout is the last rollout of a service and the version that serves.
type serviceRollout struct {
	rollout zinniatide.Rollout // zero if there was none
	// current is the version that serves, if it is not the target of the rollout.
	current zinniatide.ServerVersion
	// credit grows by the share with each request. The request with which it reaches 1 goes
	// to the target version, so that the share is exact.
	credit             float64
	requests, diverted uint64
	knownSince         zinniatide.Millis // when this process installed the rollout
	counts             map[zinniatide.RouteID]*routeCounts
}

// routeCounts are the results of one route.
type routeCounts struct{ old, target sideCounts }

// sideCounts are the results of one route on one side. A nil pointer counts nothing.
type sideCounts struct {
	sent, failures, cold uint64
	latencies            [zinniatide.RolloutLatencyBuckets]uint64
}

// record counts the result of an attempt. A request that no server has received says
// nothing about the version, and the latency of a cold server neither.
func (c *sideCounts) record(a *transporter.Answer, took zinniatide.Millis, gathers, cold bool) {
	switch {
	case c == nil || a.Result == transporter.NotSent || a.Result == transporter.WrongServer:
	case a.Result != transporter.Answered || a.Status >= 500 || a.Stamp == "" || gathers && a.Status != 200:
		c.failures++
	case cold:
		c.cold++
	default:
		c.latencies[zinniatide.LatencyBucket(took)]++
	}
}

func (c *sideCounts) report() zinniatide.RolloutSideCounts {
	out := zinniatide.RolloutSideCounts{Sent: c.sent, Failures: c.failures, ColdSuccesses: c.cold}
	for i := range c.latencies {
		if c.latencies[i] > 0 {
			out.Latencies = append([]uint64(nil), c.latencies[:i+1]...)
		}
	}
	return out
}

// updateRollouts follows the rollouts of a configuration and the versions of the enrolled
// servers.
func (r *Relayer) updateRollouts(c *zinniatide.Configuration) {
	if !r.config.Rollouts {
		return
	}
	t := &r.rollouts
	t.epoch, t.relays = c.Epoch, 0
	for vm := range c.Members {
		if c.Members[vm].Relay {
			t.relays++
		}
	}
	if t.services == nil {
		t.services = map[zinniatide.ServiceID]*serviceRollout{}
	}
	t.running = 0
	for id, service := range r.services {
		s := t.services[id]
		if s == nil {
			s = &serviceRollout{}
			t.services[id] = s
		}
		rollout := c.Rollouts[id]
		if rollout.Number != s.rollout.Number {
			*s = serviceRollout{counts: map[zinniatide.RouteID]*routeCounts{}, knownSince: r.deps.Clock.Now(), credit: r.firstCredit(id)}
		}
		if rollout != s.rollout {
			klog.InfoS("rollout applied", "step", "rollout", "service", id, "target", rollout.Target, "previous", rollout.Previous, "state", rollout.State,
				"share", rollout.Share, "epoch", c.Epoch)
		}
		s.rollout = rollout
		s.current = currentVersion(&s.rollout, s.current, service)
		if rollout.State == zinniatide.RolloutRunning {
			t.running++
		}
	}
	for id := range t.services {
		if r.services[id] == nil {
			delete(t.services, id)
		}
	}
	if t.running > 0 {
		r.scheduleRolloutReport()
	}
}

// firstCredit returns the credit with which a rollout begins on this VM: a multiple of 1/n
// with n active relay VMs, another one on each. If the requests are divided evenly, the sum
// over all VMs is then the share of all requests, rounded down. With 0 on each VM, the
// target version would get nothing while each VM has few requests. The order of the VMs
// differs between services, so that the shards of one query do not all go to their targets.
func (r *Relayer) firstCredit(service zinniatide.ServiceID) float64 {
	n := len(r.activeRelays)
	rank, active := slices.BinarySearch(r.activeRelays, r.config.VM)
	if !active {
		return 0
	}
	return float64((uint64(rank)+xxhash.Sum64String(string(service)))%uint64(n)) / float64(n)
}

// currentVersion returns the version that gets the requests that do not go to the target
// of a running rollout: as the rollout says, or that of the server that started first. As
// long as there are servers of a version found before, it stays: they may have been
// replaced by others that started after servers of a version that no command has named.
func currentVersion(rollout *zinniatide.Rollout, before zinniatide.ServerVersion, service *selector.Service) zinniatide.ServerVersion {
	if rollout.State == zinniatide.RolloutComplete {
		return rollout.Target
	}
	if rollout.Previous != "" {
		return rollout.Previous
	}
	var first *selector.Server
	for _, s := range service.Servers {
		if rollout.Number != 0 && s.Version == rollout.Target {
			continue
		}
		if s.Version == before {
			return before
		}
		if first == nil || cmp.Or(cmp.Compare(s.StartedAt, first.StartedAt), cmp.Compare(s.Version, first.Version)) < 0 {
			first = s
		}
	}
	if first == nil {
		return ""
	}
	return first.Version
}

// share returns the share of the requests that this VM sends to the target of a running
// rollout now. A VM that may have missed a roll-back sends nothing to it.
func (r *Relayer) share(s *serviceRollout) float64 {
	if r.confirmationAge() > maxConfirmationAge {
		return 0
	}
	return s.rollout.Share
}

// excludeVersions sets the versions that get no hedges, no retries and no requests that a
// rollout does not send to its target.
func (r *Relayer) excludeVersions(o *selector.Options) {
	if !r.config.Rollouts {
		return
	}
	// The servers of a service are asked for one after the other.
	var known *selector.Service
	var s *serviceRollout
	var currentChecked, currentAvailable bool
	o.Excluded = func(server *selector.Server) bool {
		if known != server.Service {
			known, currentChecked = server.Service, false
			s = r.rollouts.services[known.Service]
		}
		if s == nil {
			return false
		}
		isTarget := s.rollout.Number != 0 && server.Version == s.rollout.Target
		switch s.rollout.State {
		case zinniatide.RolloutRunning:
			if r.share(s) >= 1 {
				return !isTarget
			}
			if isTarget {
				return s.hasOldServers(known)
			}
		case zinniatide.RolloutRolledBack:
			if isTarget {
				return true
			}
		case zinniatide.RolloutComplete:
			// The old servers are stopped without draining.
			if server.Version == s.rollout.Previous && server.StartedAt < s.rollout.StartedAt {
				return true
			}
		}
		if server.Version == s.current {
			return false
		}
		if !currentChecked {
			currentChecked = true
			currentAvailable = known.HasServer(o, func(other *selector.Server) bool { return other.Version == s.current })
		}
		return currentAvailable
	}
}

// hasOldServers reports whether a server of another version than the target is in service.
// If all have been replaced by servers of the target version, only these can serve.
func (s *serviceRollout) hasOldServers(service *selector.Service) bool {
	return service.InService(func(server *selector.Server) bool { return server.Version != s.rollout.Target })
}

// pickFirst returns the server for the first send of a request: one of the target version
// if it is the turn of that version. If none can take the request, another server does,
// unless the target version gets all requests.
func (r *Relayer) pickFirst(service *selector.Service, o *selector.Options) *selector.Server {
	s := r.rollouts.services[service.Service]
	if s == nil || s.rollout.State != zinniatide.RolloutRunning {
		return service.Pick(o)
	}
	share := r.share(s)
	if share >= 1 {
		return service.Pick(o)
	}
	if s.credit += share; s.credit < 1 {
		return service.Pick(o)
	}
	s.credit--
	target := *o
	target.Excluded = func(server *selector.Server) bool { return server.Version != s.rollout.Target }
	if server := service.Pick(&target); server != nil {
		return server
	}
	s.diverted++
	return service.Pick(o)
}

// countRequest counts a request to a service with a running rollout.
func (r *Relayer) countRequest(service *selector.Service) {
	if s := r.rollouts.services[service.Service]; s != nil {
		s.requests++
	}
}

// countSend counts a send to a server and returns where its result is to be counted. It
// returns nil unless a rollout of the service is running.
func (r *Relayer) countSend(server *selector.Server, route zinniatide.RouteID) *sideCounts {
	s := r.rollouts.services[server.Service.Service]
	if s == nil || s.rollout.State != zinniatide.RolloutRunning {
		return nil
	}
	counts := s.counts[route]
	if counts == nil && len(s.counts) >= maxReportedRoutes {
		route = ""
		counts = s.counts[route]
	}
	if counts == nil {
		counts = &routeCounts{}
		s.counts[route] = counts
	}
	side := &counts.old
	if server.Version == s.rollout.Target {
		side = &counts.target
	}
	side.sent++
	return side
}

// scheduleRolloutReport schedules the next report unless it is scheduled. The reports of
// the VMs are spread over the interval.
func (r *Relayer) scheduleRolloutReport() {
	if r.rollouts.reportScheduled || r.deps.ReportRollouts == nil {
		return
	}
	r.rollouts.reportScheduled = true
	delay := zinniatide.RolloutReportInterval(r.rollouts.relays, r.rollouts.running)
	if r.rollouts.sequence == 0 {
		delay = zinniatide.Millis(r.deps.Random.Int64N(int64(delay))) + 1
	}
	r.deps.Timer.After(delay, func() {
		r.deps.Lock.Lock()
		report := r.rolloutReports()
		r.deps.Lock.Unlock()
		if report != nil {
			r.deps.ReportRollouts(report)
		}
	})
}

// rolloutReports returns the report on all running rollouts and schedules the next one, or
// returns nil if none is running.
func (r *Relayer) rolloutReports() *zinniatide.RolloutReports {
	t := &r.rollouts
	t.reportScheduled = false
	out := &zinniatide.RolloutReports{Process: r.config.Process, Epoch: t.epoch}
	o := r.selectionOptions(nil)
	for id, s := range t.services {
		if s.rollout.State != zinniatide.RolloutRunning {
			continue
		}
		report := zinniatide.RolloutReport{Service: id, Number: s.rollout.Number, Requests: s.requests, Diverted: s.diverted, Age: o.Now - s.knownSince}
		target := *o
		target.Excluded = func(server *selector.Server) bool { return server.Version != s.rollout.Target }
		report.TargetAvailable = r.services[id].Available(&target)
		for route, counts := range s.counts {
			report.Routes = append(report.Routes, zinniatide.RolloutCounts{Route: route, Old: counts.old.report(), Target: counts.target.report()})
		}
		for _, server := range r.servers {
			if server.Service.Service == id && server.Version != s.rollout.Target {
				report.OldInFlight += server.InFlight()
			}
		}
		if r.share(s) < s.rollout.Share {
			report.OldInFlight++ // as long as this VM sends to old servers
		}
		out.Reports = append(out.Reports, report)
	}
	if len(out.Reports) == 0 {
		return nil
	}
	t.sequence++
	out.Sequence = t.sequence
	r.scheduleRolloutReport()
	return out
}
