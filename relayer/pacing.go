package relayer

import (
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/throttler"
)

// paceObserver counts and logs the pace of servers.
type paceObserver struct{ metrics *metrics }

var _ selector.PaceObserver = (*paceObserver)(nil)

// PaceBegan implements selector.PaceObserver.
func (o *paceObserver) PaceBegan(s *selector.Server, cause throttler.Cause) {
	o.metrics.paces.WithLabelValues(string(cause)).Inc()
	klog.InfoS("pace of a backend server begins", "step", "pace", "cause", cause, "server", s.Server, "service", s.Enrollment.Service,
		"born", s.StartedAt, "slots", s.Slots)
}

// PaceEnded implements selector.PaceObserver.
func (o *paceObserver) PaceEnded(s *selector.Server, now zinniatide.Millis) {
	klog.InfoS("pace of a backend server ends", "step", "pace", "cause", s.Pace().Cause(), "server", s.Server, "service", s.Enrollment.Service,
		"born", s.StartedAt, "share", s.Pace().Share(), "after-ms", now-s.Pace().BeganAt())
}

// HeldBack implements selector.PaceObserver.
func (o *paceObserver) HeldBack(servers int) { o.metrics.heldBack.Add(float64(servers)) }

// PaceExceeded implements selector.PaceObserver.
func (o *paceObserver) PaceExceeded() { o.metrics.paceExceeded.Inc() }

// updatePace tells the pace of a server which VMs send to it, and begins it if the
// server is new. On a VM that has just started, servers are as old as they may be, and
// only the cold ones are paced.
func (r *Relayer) updatePace(s *server, isNew bool) {
	vms := len(r.activeRelays)
	if s.Zone == r.config.Zone && r.activeInZone > 0 {
		vms = r.activeInZone // the other zones send only if this one lacks servers
	}
	phase := 0.0
	if i := slices.Index(r.activeRelays, r.config.VM); i > 0 {
		phase = float64(i) / float64(len(r.activeRelays))
	}
	s.SetSenders(vms, phase)
	if isNew && s.Service.Populated && !s.Pace().Active() {
		s.BeginPace(r.deps.Clock.Now(), throttler.CauseNew)
	}
}

// pacedServers returns the number of servers that are paced.
func (r *Relayer) pacedServers() (n int) {
	for _, s := range r.servers {
		if s.Pace().Active() {
			n++
		}
	}
	return n
}
