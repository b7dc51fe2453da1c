package node

import (
	"cmp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controller"
)

// RolloutOperator returns the interface for operators of rollouts, or nil without a data
// folder or where rollouts are not in use.
func (r *Relay) RolloutOperator() zinniatide.RolloutOperator {
	if r.controller == nil || r.cfg.Rollouts == nil {
		return nil
	}
	return r.controller
}

// rolloutsOfLeader returns the configuration of rollouts for the controller.
func (r *Relay) rolloutsOfLeader() *controller.Rollouts {
	if r.cfg.Rollouts == nil {
		return nil
	}
	return &controller.Rollouts{Limits: *r.cfg.Rollouts, Versions: func(service zinniatide.ServiceID, target zinniatide.ServerVersion) (zinniatide.ServerVersion, bool) {
		return versions(r.enroller.Table(), service, target)
	}}
}

// versions returns the version of the server of a service that started first among those
// of other versions than target, and whether there are servers of the target version.
func versions(enrollments []zinniatide.Enrollment, service zinniatide.ServiceID, target zinniatide.ServerVersion) (current zinniatide.ServerVersion, hasTarget bool) {
	var first *zinniatide.Enrollment
	for i := range enrollments {
		e := &enrollments[i]
		if e.Service != service || e.Ended {
			continue
		}
		if e.Version == target {
			hasTarget = true
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(e.StartedAt, first.StartedAt), cmp.Compare(e.Version, first.Version)) < 0 {
			first = e
		}
	}
	if first == nil {
		return "", hasTarget
	}
	return first.Version, hasTarget
}

// reportRollouts sends a report to the control leader. If none is known, a later report
// contains it.
func (r *Relay) reportRollouts(reports *zinniatide.RolloutReports) {
	if leader := r.subscriber.KnownLeader(); leader != "" {
		_ = r.linker.Send(leader, zinniatide.KindRolloutReport, reports)
	}
}
