package quarantiner

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// maxReportsPerSecond bounds the reports that a VM sends to each control VM, for
// example while a whole service is down. A request that crashes servers comes
// again and is then reported.
const maxReportsPerSecond = 20

// reportLimit counts the reports of the current second.
type reportLimit struct {
	second zinniatide.Millis
	sent   int
}

func (l *reportLimit) allow(now zinniatide.Millis) bool {
	if second := now / 1000; second != l.second {
		l.second, l.sent = second, 0
	}
	l.sent++
	return l.sent <= maxReportsPerSecond
}

// unansweredReport is the body of KindUnanswered.
type unansweredReport struct {
	Fingerprint zinniatide.Fingerprint `cbor:"1,keyasint"`
	// Attempt is a hash of the id that the caller gave to the attempt.
	Attempt uint64 `cbor:"2,keyasint"`
	// SendQuarantines asks for the notices of all quarantines; the report names no
	// request then.
	SendQuarantines bool `cbor:"3,keyasint,omitempty"`
	// Age and SinceLoss are those of zinniatide.UnansweredAttempt.
	Age       zinniatide.Millis `cbor:"4,keyasint,omitempty"`
	SinceLoss zinniatide.Millis `cbor:"5,keyasint,omitempty"`
	// Answered reports instead that a server has answered the request.
	Answered bool `cbor:"6,keyasint,omitempty"`
}

// RequestQuarantines asks the control VMs for the quarantines in force. A relay VM
// calls it after its start.
func (q *Quarantiner) RequestQuarantines() { q.sendReport(&unansweredReport{SendQuarantines: true}) }

// sendReport sends a report to all control VMs.
func (q *Quarantiner) sendReport(report *unansweredReport) {
	for _, vm := range q.Counters() {
		if err := q.Linker.Send(vm, zinniatide.KindUnanswered, report); err != nil {
			klog.InfoS("report to a control VM not sent", "step", "quarantine", "peer", vm, "err", err.Error())
		}
	}
}

// Empty reports whether this VM knows no suspect. No fingerprint is needed then.
func (q *Quarantiner) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.table.suspects) == 0
}

// QuarantineLeft returns how long a fingerprint is still refused, or 0 if it is
// not.
func (q *Quarantiner) QuarantineLeft(f zinniatide.Fingerprint) zinniatide.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	s := q.table.lookup(now, f)
	if s == nil || s.quarantinedUntil == 0 {
		return 0
	}
	q.refusals.Inc()
	return s.quarantinedUntil - now
}

// ReportUnanswered reports an attempt of a caller that lost servers while they ran
// it and that no server answered.
func (q *Quarantiner) ReportUnanswered(f zinniatide.Fingerprint, attempt zinniatide.UnansweredAttempt) {
	report := unansweredReport{Fingerprint: f, Attempt: xxhash.Sum64String(attempt.ID), Age: attempt.Age, SinceLoss: attempt.SinceLoss}
	q.lostServers.Inc()
	q.countUnanswered(&report)
	q.sendLimited(&report)
}

// ReportAnswered reports that a server has answered a request. It does nothing
// unless this VM suspects the request.
func (q *Quarantiner) ReportAnswered(f zinniatide.Fingerprint) {
	q.mu.Lock()
	cleared, _ := q.table.clear(f)
	q.mu.Unlock()
	if cleared {
		klog.InfoS("a suspected request was answered", "step", "quarantine", "fingerprint", uint64(f))
		q.sendLimited(&unansweredReport{Fingerprint: f, Answered: true})
	}
}

// sendLimited sends a report to all control VMs, unless this VM has sent too many
// of them.
func (q *Quarantiner) sendLimited(report *unansweredReport) {
	q.mu.Lock()
	allowed := q.reports.allow(q.Clock.Now())
	q.mu.Unlock()
	if allowed {
		q.sendReport(report)
	}
}

// countUnanswered counts a report and reports whether it quarantines the
// fingerprint.
func (q *Quarantiner) countUnanswered(report *unansweredReport) bool {
	now := q.Clock.Now()
	q.mu.Lock()
	quarantined := q.table.recordUnanswered(now, report.Fingerprint, report.Attempt, now-max(report.Age, 0), now-max(report.SinceLoss, 0))
	q.mu.Unlock()
	if quarantined {
		klog.InfoS("quarantining a request that lost its servers", "step", "quarantine", "fingerprint", uint64(report.Fingerprint),
			"attempts", q.config.StrikeLimit, "lifetime-ms", q.config.QuarantineLifetime)
	}
	return quarantined
}

// handleUnanswered counts the report of a relay VM. A VM that reports a request
// which is already quarantined has missed the notice, and gets it again.
func (q *Quarantiner) handleUnanswered(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var report unansweredReport
	if err := encoder.Unmarshal(body, &report); err != nil {
		klog.ErrorS(err, "malformed report of an unanswered request", "step", "quarantine", "peer", from)
		return
	}
	switch {
	case report.SendQuarantines:
		q.sendQuarantines(from, q.suspects()...)
	case report.Answered:
		q.acquit(report.Fingerprint)
	case q.countUnanswered(&report):
		q.broadcastNotice(q.Clock.Now(), report.Fingerprint)
	default:
		q.sendQuarantines(from, report.Fingerprint)
	}
}

// acquit clears a request that a server has answered, and ends its quarantine on
// all relay VMs.
func (q *Quarantiner) acquit(f zinniatide.Fingerprint) {
	q.mu.Lock()
	_, wasQuarantined := q.table.clear(f)
	q.mu.Unlock()
	if !wasQuarantined {
		return
	}
	klog.InfoS("ending the quarantine of a request that was answered", "step", "quarantine", "fingerprint", uint64(f))
	q.sendNotice(q.ServingVMs(), &quarantineNotice{Fingerprint: f, Cleared: true})
}

// suspects returns the fingerprints in the table.
func (q *Quarantiner) suspects() []zinniatide.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.table.suspects))
}

// sendQuarantines sends the notices of the listed requests that are quarantined.
func (q *Quarantiner) sendQuarantines(to zinniatide.VMID, fingerprints ...zinniatide.Fingerprint) {
	now := q.Clock.Now()
	var notices []quarantineNotice
	q.mu.Lock()
	for _, f := range fingerprints {
		if s := q.table.lookup(now, f); s != nil && s.quarantinedUntil > now {
			notices = append(notices, quarantineNotice{Fingerprint: f, Strikes: s.strikes, Remaining: s.quarantinedUntil - now})
		}
	}
	q.mu.Unlock()
	for i := range notices {
		q.sendNotice([]zinniatide.VMID{to}, &notices[i])
	}
}
