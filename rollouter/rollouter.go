// Package rollouter decides how a rollout proceeds: it raises the share of the requests
// that go to the target version, completes the rollout, or rolls it back. It is a state
// machine without a network: its inputs are reports of relay VMs and the time.
package rollouter

import (
	"fmt"

	"zinniatide.example/zinniatide"
)

// Config limits the requests that a bad version may get.
type Config struct {
	// CanaryShare is the share of all requests to the service between the command and its
	// deadline that a bad version may get, and CanarySlack the number of requests that it
	// may get in addition.
	CanaryShare, CanarySlack float64
	// RollbackTime is how long after its 50th bad response a version may still get requests.
	RollbackTime zinniatide.Millis
}

const (
	// canaryFraction is the part of CanaryShare that is used while evidence is collected.
	// The rest is left for the time between the raise of the share and the deadline, in
	// which a version may still turn out to be bad.
	canaryFraction = 0.25
	// slackFraction is the part of CanarySlack that is spread over the ramp in addition,
	// so that there is evidence at low rates.
	slackFraction = 0.4
	// maxCanaryFraction bounds the canary share as a part of CanaryShare.
	maxCanaryFraction = 0.6
	// reserve is the part of the budget that is kept for requests that have been sent but
	// not reported yet.
	reserve = 0.15
	// canaryUpdateInterval and canaryUpdateFactor limit the log entries that follow a
	// change of the request rate.
	canaryUpdateInterval zinniatide.Millis = 1000
	canaryUpdateFactor   float64           = 1.3
	// minCanaryTime is the share of the ramp during which the share is not raised above
	// the canary share at any rate.
	minCanaryTime = 0.7
	// maxDiverted is the share of the requests for the target version that its servers
	// may be unable to take before the share is raised further.
	maxDiverted = 0.05
	// stepTime is how long a share is observed before the next one, and finalTime how long
	// the share 1 is observed before the rollout is complete. Four buckets are needed for
	// a decision on latency.
	stepTime  zinniatide.Millis = 500
	finalTime zinniatide.Millis = 1250
	// suspicionTime is how long the share stays low after a suspicion at a raised share.
	suspicionTime zinniatide.Millis = 1000
	// minSecondChance is the RollbackTime from which a suspicion does not end the rollout: a
	// second raise and its observation fit into it.
	minSecondChance zinniatide.Millis = 4500
)

// raisedShares are the shares that follow the canary share. Each about doubles the load
// of the target version, so that a version that is bad under load shows before it gets
// everything.
var raisedShares = []float64{0.25, 0.5, 1}

// Fleet is what the leader knows of the relay VMs.
type Fleet struct {
	// Reported is set if all relay VMs in contact have reported recently.
	Reported bool
	// Installed is set if all relay VMs in contact have installed the present share.
	Installed bool
	// OldIdle is set if all relay VMs that are or were lately in contact have installed the
	// present share, and none of them has a request in flight at an old server since then.
	OldIdle bool
}

// Decision is the state and share that a rollout should have.
type Decision struct {
	State zinniatide.RolloutState
	Share float64
	// Reason explains a change, for the log.
	Reason string
}

// Rollouter decides about one rollout.
type Rollouter struct {
	config    Config
	rollout   zinniatide.Rollout
	startedAt zinniatide.Millis // on the local clock
	evidence  evidence
	// shareSince is when the present share was seen installed on all VMs in contact, or
	// 0.
	shareSince  zinniatide.Millis
	canary      float64
	canaryAt    zinniatide.Millis // when canary was last computed
	suspicions  int
	lowUntil    zinniatide.Millis
	suspectedAt zinniatide.Millis
}

// New returns the decider of a rollout. When the rollout began is known from the reports.
func New(config Config, rollout zinniatide.Rollout, now zinniatide.Millis) *Rollouter {
	r := &Rollouter{config: config, rollout: rollout, startedAt: now}
	r.canary = canaryFraction * config.CanaryShare
	r.evidence.init(now)
	return r
}

// Record adds a report of one process of a relay VM. Reports that are older than one
// recorded before have no effect.
func (r *Rollouter) Record(process zinniatide.ProcessID, sequence uint64, report *zinniatide.RolloutReport, now zinniatide.Millis) {
	r.startedAt = min(r.startedAt, now-min(report.Age, r.rollout.Ramp))
	r.evidence.record(process, sequence, report, now)
}

// SetShare records the share that is in force by the log.
func (r *Rollouter) SetShare(share float64) {
	if share != r.rollout.Share {
		r.rollout.Share, r.shareSince = share, 0
	}
}

// Decide returns the state and share that the rollout should have now.
func (r *Rollouter) Decide(fleet Fleet, now zinniatide.Millis) Decision {
	r.evidence.advance(now)
	keep := Decision{State: zinniatide.RolloutRunning, Share: r.rollout.Share}
	if reason := r.evidence.bad(); reason != "" {
		return Decision{State: zinniatide.RolloutRolledBack, Reason: reason}
	}
	if fleet.Installed && r.shareSince == 0 {
		r.shareSince = now
	}
	raised := r.rollout.Share > maxCanaryFraction*r.config.CanaryShare
	if raised && now-r.suspectedAt >= suspicionTime {
		if reason := r.evidence.suspicious(); reason != "" {
			r.suspectedAt = now
			if r.suspicions++; r.suspicions > 1 || r.config.RollbackTime < minSecondChance {
				return Decision{State: zinniatide.RolloutRolledBack, Reason: fmt.Sprintf("%s, time %d at a raised share", reason, r.suspicions)}
			}
			r.lowUntil = now + suspicionTime
			return Decision{State: zinniatide.RolloutRunning, Share: r.canary, Reason: reason}
		}
	}
	if raised && now < r.deadline() && !r.affordable(now, 0) {
		return Decision{State: zinniatide.RolloutRunning, Share: r.canary, Reason: "the request rate has risen"}
	}
	if !fleet.Reported {
		return keep
	}
	switch {
	case r.rollout.Share == 1:
		if fleet.Installed && fleet.OldIdle && now-r.shareSince >= finalTime {
			return Decision{State: zinniatide.RolloutComplete, Share: 1, Reason: "no request to old servers is left"}
		}
	case r.mayRaise(fleet, now):
		return Decision{State: zinniatide.RolloutRunning, Share: r.nextShare(), Reason: "no difference between the versions"}
	case !raised:
		return r.adjustCanary(now)
	}
	return keep
}

func (r *Rollouter) deadline() zinniatide.Millis { return r.startedAt + r.rollout.Ramp }

// adjustCanary returns the decision to use the canary share that fits the request rate.
func (r *Rollouter) adjustCanary(now zinniatide.Millis) Decision {
	if now-r.canaryAt >= canaryUpdateInterval {
		r.canaryAt = now
		share, expected := canaryFraction*r.config.CanaryShare, r.evidence.rate()*float64(r.rollout.Ramp)
		if expected > 0 {
			share += slackFraction * r.config.CanarySlack / expected
		}
		share = min(share, maxCanaryFraction*r.config.CanaryShare)
		if share > r.canary*canaryUpdateFactor || share < r.canary/canaryUpdateFactor {
			r.canary = share
		}
	}
	d := Decision{State: zinniatide.RolloutRunning, Share: r.rollout.Share}
	if r.rollout.Share != r.canary {
		d.Share, d.Reason = r.canary, "collecting evidence"
	}
	return d
}

// mayRaise reports whether the share may be raised above the present one.
func (r *Rollouter) mayRaise(fleet Fleet, now zinniatide.Millis) bool {
	switch {
	case r.rollout.Share == 0 && r.canary > 0 || !fleet.Installed || now-r.shareSince < stepTime || now < r.lowUntil:
		return false
	case float64(now-r.startedAt) < minCanaryTime*float64(r.rollout.Ramp):
		return false
	case !r.evidence.targetAvailable() || r.evidence.diverted() > maxDiverted:
		return false
	}
	return now >= r.deadline() || r.affordable(now, reserve)
}

// affordable reports whether the target version could get all requests from now to the
// deadline, at the present rate, and stay within the share of a bad version. part of the
// budget is held back.
func (r *Rollouter) affordable(now zinniatide.Millis, part float64) bool {
	c := r.config
	left := r.evidence.rate() * float64(max(r.deadline()-now, 0))
	budget := c.CanaryShare*float64(r.evidence.requests) + c.CanarySlack
	return float64(r.evidence.sentToTarget)+left*(1-c.CanaryShare) <= budget*(1-part)
}

func (r *Rollouter) nextShare() float64 {
	for _, share := range raisedShares {
		if share > max(r.rollout.Share, maxCanaryFraction*r.config.CanaryShare) {
			return share
		}
	}
	return 1
}
