package controller

import (
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/rollouter"
)

var _ zinniatide.RolloutOperator = (*Controller)(nil)

// Rollouts configures the rollouts of a deployment.
type Rollouts struct {
	Limits rollouter.Config
	// Versions returns the version of the server of a service that started first among
	// those of other versions than target, or an empty one if there is none, and whether
	// there are servers of the target version. It is called on the control goroutine.
	Versions func(service zinniatide.ServiceID, target zinniatide.ServerVersion) (current zinniatide.ServerVersion, hasTarget bool)
}

const (
	// maxReportIntervals is how old the last report of a relay VM may be for a decision
	// that needs the reports of all, in intervals of reports.
	maxReportIntervals = 5
	// contactTime is how long a relay VM may be silent before it counts as not in contact.
	// It is longer than the 3,000 ms after which the VM sends nothing to a target version,
	// by the interval of heartbeats.
	contactTime zinniatide.Millis = zinniatide.LeaseDuration
	// decisionInterval is the time between two decisions on a rollout: half of the interval
	// of reports. A decision on two routes takes 13 us.
	decisionInterval zinniatide.Millis = 100
	// maxReportedRollouts bounds the rollouts in the report of a relay VM.
	maxReportedRollouts = 4096
)

// rolloutTable is the leader's state of the running rollouts.
type rolloutTable struct {
	running map[zinniatide.ServiceID]*runningRollout
	// reports are the last reports of the members' processes.
	reports map[zinniatide.VMID]*memberReport
	// ledSince is when this VM became the leader, nextDecision when it decides next.
	ledSince, nextDecision zinniatide.Millis
	// synced is the configuration that running follows.
	synced *zinniatide.Configuration
}

// runningRollout is the leader's state of one rollout.
type runningRollout struct {
	rollout zinniatide.Rollout
	decider *rollouter.Rollouter
	// shareEpoch is an epoch at which the present share was in force.
	shareEpoch zinniatide.Epoch
	proposing  bool
}

// memberReport is the last report of a process of a relay VM.
type memberReport struct {
	process  zinniatide.ProcessID
	sequence uint64
	at       zinniatide.Millis
	epoch    zinniatide.Epoch
	// oldInFlight holds the requests in flight at old servers for each rollout in the
	// report.
	oldInFlight map[zinniatide.Epoch]int
}

func (t *rolloutTable) reset(now zinniatide.Millis) {
	*t = rolloutTable{running: map[zinniatide.ServiceID]*runningRollout{}, reports: map[zinniatide.VMID]*memberReport{}, ledSince: now}
}

// StartRollout implements zinniatide.RolloutOperator.
func (c *Controller) StartRollout(service zinniatide.ServiceID, target zinniatide.ServerVersion, ramp, timeout zinniatide.Millis) error {
	start := &registrar.RolloutStart{Service: service, Target: target, Ramp: ramp}
	if err := start.Check(); err != nil {
		return err
	}
	var rollout zinniatide.Rollout
	return c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardStartRollout, Service: service, Version: target, Ramp: ramp}, timeout, &rollout)
}

// Rollout implements zinniatide.RolloutOperator.
func (c *Controller) Rollout(service zinniatide.ServiceID, timeout zinniatide.Millis) (zinniatide.Rollout, error) {
	var rollout zinniatide.Rollout
	err := c.runOnLeader(&controlproto.Forward{Operation: controlproto.ForwardRollout, Service: service}, timeout, &rollout)
	return rollout, err
}

// proposeRollout proposes the start of a rollout.
func (c *Controller) proposeRollout(f *controlproto.Forward, done func(any, error)) {
	if c.config.Rollouts == nil {
		done(nil, zinniatide.Refuse(zinniatide.CodeMethodNotSupported, "rollouts are not enabled"))
		return
	}
	current, hasTarget := c.config.Rollouts.Versions(f.Service, f.Version)
	start := &registrar.RolloutStart{Service: f.Service, Target: f.Version, Ramp: f.Ramp, Current: current, OnlyTarget: hasTarget && current == ""}
	if start.OnlyTarget && c.clock.Now()-c.rollouts.ledSince < contactTime {
		// This VM may have started lately and not know all servers.
		done(nil, zinniatide.Refuse(zinniatide.CodeNoQuorum, "the versions of the servers are not known yet; try again"))
		return
	}
	c.propose(&registrar.Command{RolloutStart: start}, func(result any, err error) {
		klog.InfoS("command for a rollout", "step", "rollout", "service", f.Service, "target", f.Version, "ramp-ms", f.Ramp, "current", start.Current, "only-target", start.OnlyTarget,
			"err", errorText(err))
		done(result, err)
	})
}

func (c *Controller) readRollout(service zinniatide.ServiceID) (any, error) {
	rollout, known := c.stateMachine.Configuration().Rollouts[service]
	if !known {
		return nil, zinniatide.Refuse(zinniatide.CodeNotFound, "service %q has had no rollout", service)
	}
	return rollout, nil
}

// rolloutReportHandler records the reports of a relay VM. They are cumulative, so those
// that arrive while this VM does not lead may be lost.
func (c *Controller) rolloutReportHandler(from zinniatide.VMID, body []byte, reply func(any, error)) {
	defer reply(nil, nil)
	var reports zinniatide.RolloutReports
	if err := encoder.Unmarshal(body, &reports); err != nil || len(reports.Reports) > maxReportedRollouts {
		klog.ErrorS(err, "dropped an invalid report on rollouts", "step", "rollout", "peer", from, "rollouts", len(reports.Reports))
		return
	}
	c.log.Post(func() { c.recordRolloutReports(from, &reports) })
}

func (c *Controller) recordRolloutReports(from zinniatide.VMID, reports *zinniatide.RolloutReports) {
	if !c.leading || c.config.Rollouts == nil {
		return
	}
	c.syncRollouts()
	now := c.clock.Now()
	for i := range reports.Reports {
		report := &reports.Reports[i]
		if running := c.rollouts.running[report.Service]; running != nil && running.rollout.Number == report.Number {
			running.decider.Record(reports.Process, reports.Sequence, report, now)
		}
	}
	if m, known := c.stateMachine.Configuration().Members[from]; !known || m.Process != reports.Process {
		return // a process that was replaced, or has not joined yet
	}
	last := c.rollouts.reports[from]
	if last != nil && last.process == reports.Process && last.sequence >= reports.Sequence {
		return
	}
	next := &memberReport{process: reports.Process, sequence: reports.Sequence, at: now, epoch: reports.Epoch, oldInFlight: make(map[zinniatide.Epoch]int, len(reports.Reports))}
	for i := range reports.Reports {
		next.oldInFlight[reports.Reports[i].Number] = reports.Reports[i].OldInFlight
	}
	c.rollouts.reports[from] = next
}

// syncRollouts follows the rollouts of the log.
func (c *Controller) syncRollouts() {
	configuration, now := c.stateMachine.Configuration(), c.clock.Now()
	t := &c.rollouts
	if t.synced == configuration {
		return
	}
	t.synced = configuration
	for service, running := range t.running {
		if current := configuration.Rollouts[service]; current.Number != running.rollout.Number || current.State != zinniatide.RolloutRunning {
			delete(t.running, service)
		}
	}
	for service, rollout := range configuration.Rollouts {
		if rollout.State != zinniatide.RolloutRunning {
			continue
		}
		running := t.running[service]
		if running == nil {
			running = &runningRollout{rollout: rollout, shareEpoch: configuration.Epoch,
				decider: rollouter.New(c.config.Rollouts.Limits, rollout, now)}
			t.running[service] = running
			klog.InfoS("deciding about a rollout", "step", "rollout", "service", service, "target", rollout.Target, "previous", rollout.Previous,
				"share", rollout.Share, "ramp-ms", rollout.Ramp)
		} else if running.rollout.Share != rollout.Share {
			running.rollout, running.shareEpoch = rollout, configuration.Epoch
			running.decider.SetShare(rollout.Share)
		}
	}
}

// decideRollouts proposes the next steps of the running rollouts.
func (c *Controller) decideRollouts(now zinniatide.Millis) {
	if c.config.Rollouts == nil || now < c.rollouts.nextDecision {
		return
	}
	c.rollouts.nextDecision = now + decisionInterval
	c.syncRollouts()
	c.metrics.runningRollouts.Set(float64(len(c.rollouts.running)))
	if len(c.rollouts.running) == 0 {
		clear(c.rollouts.reports)
		return
	}
	relays := 0
	for _, m := range c.stateMachine.Configuration().Members {
		if m.Relay {
			relays++
		}
	}
	maxReportAge := maxReportIntervals * zinniatide.RolloutReportInterval(relays, len(c.rollouts.running))
	for service, running := range c.rollouts.running {
		if running.proposing {
			continue
		}
		decision := running.decider.Decide(c.fleetOf(running, maxReportAge, now), now)
		if decision.State == zinniatide.RolloutRunning && decision.Share == running.rollout.Share {
			continue
		}
		c.proposeRolloutStep(service, running, decision)
	}
}

func (c *Controller) proposeRolloutStep(service zinniatide.ServiceID, running *runningRollout, decision rollouter.Decision) {
	running.proposing = true
	step := &registrar.RolloutStep{Service: service, Number: running.rollout.Number, State: decision.State, Before: running.rollout.Share, Share: decision.Share}
	c.propose(&registrar.Command{RolloutStep: step}, func(_ any, err error) {
		running.proposing = false
		c.metrics.rolloutSteps.WithLabelValues(string(decision.State)).Inc()
		klog.InfoS("step of a rollout", "step", "rollout", "service", service, "target", running.rollout.Target, "state", decision.State,
			"share", decision.Share, "before", running.rollout.Share, "reason", decision.Reason, "err", errorText(err))
	})
}

// fleetOf returns what the reports and sessions of the relay VMs tell about a rollout. A
// VM without a link never raises its share by itself, so that the share can be raised
// without it. But it counts as in contact for contactTime before the rollout completes: it
// may come back with a configuration by which it sends to old servers.
func (c *Controller) fleetOf(running *runningRollout, maxReportAge, now zinniatide.Millis) rollouter.Fleet {
	fleet := rollouter.Fleet{Reported: true, Installed: true, OldIdle: true}
	members := c.stateMachine.Configuration().Members
	for i := range c.sessions.entries {
		s := &c.sessions.entries[i]
		if !members[s.vm].Relay {
			continue
		}
		report := c.rollouts.reports[s.vm]
		if report != nil && report.process != s.process {
			report = nil
		}
		// A new leader has to hear from each VM, or to wait until the VM is out of contact.
		heardAt := max(c.rollouts.ledSince, s.leaseExtendedAt)
		inFlight, reported := 0, false
		if report != nil {
			heardAt = max(heardAt, report.at)
			inFlight, reported = report.oldInFlight[running.rollout.Number]
		}
		if now-heardAt > contactTime {
			continue // not in contact
		}
		recent := reported && now-report.at <= maxReportAge
		installed := recent && report.epoch >= running.shareEpoch
		fleet.OldIdle = fleet.OldIdle && installed && inFlight == 0
		if !c.links.Connected(s.vm) && now-c.rollouts.ledSince > contactTime {
			continue
		}
		fleet.Reported = fleet.Reported && recent
		fleet.Installed = fleet.Installed && installed
	}
	return fleet
}

// errorText returns the text of err for a log line.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
