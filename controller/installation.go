package controller

import (
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

// installTimeout is how long the acknowledgement of a change waits for a relay VM that
// installs nothing. It leaves room for an election within the 5 s in which operators
// expect an acknowledgement.
const installTimeout zinniatide.Millis = 2000

var errNotLeading = errors.New("this VM stopped leading before all VMs had installed the change")

// installWait is an accepted change that is not acknowledged yet.
type installWait struct {
	epoch     zinniatide.Epoch
	startedAt zinniatide.Millis
	done      func(error)
}

// maxLoggedVMs bounds the VMs named in the log line of an acknowledgement.
const maxLoggedVMs = 8

// acknowledgesInstalled reports whether the acknowledgement of f means that relay VMs
// follow the change. The status of other tickets is reported separately.
func acknowledgesInstalled(f *controlproto.Forward) bool {
	return f.Operation == controlproto.ForwardFileRouting || f.Operation == controlproto.ForwardSetZone
}

// awaitInstallation calls done once the relay VMs have installed the current epoch.
// Relay VMs that are not connected, or that have installed nothing for installTimeout
// although they should, are not waited for. They serve the callers that still reach
// them by the last configuration that they have. done gets an error if this VM stops
// leading before, or does not lead now: an entry can be committed between two times of
// leading in the same term, while there are no sessions that tell what is installed.
func (c *Controller) awaitInstallation(done func(error)) {
	if !c.leading {
		done(errNotLeading)
		return
	}
	c.installWaits = append(c.installWaits, installWait{c.stateMachine.Configuration().Epoch, c.clock.Now(), done})
	c.finishInstallWaits()
}

// finishInstallWaits ends the waits whose epoch is installed.
func (c *Controller) finishInstallWaits() {
	if len(c.installWaits) == 0 {
		return
	}
	oldest := c.oldestAwaitedEpoch()
	var finished []installWait
	c.installWaits = slices.DeleteFunc(c.installWaits, func(w installWait) bool {
		if w.epoch > oldest {
			return false
		}
		finished = append(finished, w)
		return true
	})
	c.logAcknowledgement(finished)
	for _, w := range finished {
		w.done(nil)
	}
}

// logAcknowledgement logs which VMs may not follow the changes that are about to be
// acknowledged, in one line.
func (c *Controller) logAcknowledgement(finished []installWait) {
	if len(finished) == 0 {
		return
	}
	epoch, longest, now := zinniatide.Epoch(0), zinniatide.Millis(0), c.clock.Now()
	for _, w := range finished {
		epoch, longest = max(epoch, w.epoch), max(longest, now-w.startedAt)
	}
	behind := c.membersBehind(epoch)
	klog.InfoS("acknowledging changes", "step", "install", "epoch", epoch, "table", c.stateMachine.Configuration().RoutingNumber,
		"changes", len(finished), "waited-ms", longest, "members", c.sessions.size(), "behind", len(behind), "without", behind[:min(len(behind), maxLoggedVMs)])
}

// oldestAwaitedEpoch returns the lowest epoch installed by a relay VM that is waited for.
func (c *Controller) oldestAwaitedEpoch() zinniatide.Epoch {
	configuration, now := c.stateMachine.Configuration(), c.clock.Now()
	oldest := configuration.Epoch
	for i := range c.sessions.entries {
		s := &c.sessions.entries[i]
		installed := max(s.installedEpoch, s.joinEpoch)
		if installed >= oldest || !configuration.Members[s.vm].Relay || !c.links.Connected(s.vm) {
			continue
		}
		if waited := now - s.progressAt; waited <= installTimeout {
			oldest = installed
		} else if !s.reportedBehind {
			s.reportedBehind = true
			klog.InfoS("changes are acknowledged without a VM that does not install them", "step", "install", "peer", s.vm,
				"installed", installed, "epoch", configuration.Epoch, "waited-ms", waited)
		}
	}
	return oldest
}

// failInstallWaits ends all waits when this VM stops leading.
func (c *Controller) failInstallWaits() {
	waits := c.installWaits
	c.installWaits = nil
	for _, w := range waits {
		w.done(errNotLeading)
	}
}

// setInstalled records the epoch that a VM has installed.
func (s *session) setInstalled(epoch zinniatide.Epoch, now zinniatide.Millis) {
	if epoch > s.installedEpoch {
		s.installedEpoch, s.progressAt, s.reportedBehind = epoch, now, false
	}
}

// restartProgress starts the time that VMs have to install the epoch after before, if
// they have installed that one.
func (t *sessionTable) restartProgress(before zinniatide.Epoch, now zinniatide.Millis) {
	for i := range t.entries {
		if s := &t.entries[i]; max(s.installedEpoch, s.joinEpoch) >= before {
			s.progressAt = now
		}
	}
}

// supersedes reports whether err means that the current state is at least as new as
// the refused change.
func supersedes(err error) bool {
	var refusal *zinniatide.Refusal
	return errors.As(err, &refusal) && (refusal.Code == zinniatide.CodeSuperseded || refusal.Code == zinniatide.CodeTicketConflict)
}
