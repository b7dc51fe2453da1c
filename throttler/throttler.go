// Package throttler limits the requests in flight at a backend server that has just
// started or recovered, by how it answers compared with its peers.
package throttler

import "zinniatide.example/zinniatide"

const (
	// increaseStep is the growth of the share with each good answer. From the usual
	// start, three good answers lead to a share of 1.
	increaseStep = 0.25
	// increaseInterval is the time without trouble that counts as much as a good
	// answer, for VMs that see few of them. maxSteps bounds the growth with one answer.
	increaseInterval zinniatide.Millis = 250
	maxSteps         float64           = 4
	// minStartShare and maxStartShare bound the share at the beginning, which is one
	// request in flight for all VMs together within these bounds.
	minStartShare, maxStartShare = 1.0 / 4, 1.0 / 2
	// fullShare is the share at which the pace ends: as many requests wait as run.
	fullShare = 2.0
	// minInFlight is the least limit of requests in flight, for all VMs together.
	minInFlight = 0.25
	// troubleFactor scales the share after a refusal or a failure, slowFactor after a
	// slow answer or a long queue.
	troubleFactor, slowFactor = 0.5, 0.7
	// ratioWeight is the weight of an answer in the mean of the latency relative to
	// that of the peers. One answer of twice the usual latency doesn't count as slow, two
	// do.
	ratioWeight = 0.3
	// maxRatio bounds the weight of a single very slow answer.
	maxRatio = 8.0
	// slowRatio is the relative latency above which answers are slow. Cold servers
	// were taken to be 1.6 times slower.
	slowRatio = 1.3
	// queueRatio is the length of the queue, relative to that of the peers, that is
	// long. A queue up to the number of slots never is.
	queueRatio = 1.5
	// steadyTime is the time without refusals, failures and long queues after which
	// the pace ends even if the server is slow: it is then slow for other reasons than
	// its start, which the score of the server accounts for.
	steadyTime zinniatide.Millis = 10_000
	// maxSpacing bounds the time between two sends of one VM in milliseconds, so that
	// each of some thousand VMs learns of the server's recovery. All VMs together then
	// send at most their number in this time, which may exceed the limit: with 7,300 VMs
	// 730 requests a second, a quarter of the full load of a server.
	maxSpacing = 10_000.0
)

// Cause is the reason why a pace begins.
type Cause string

// Causes.
const (
	CauseNew      Cause = "new"
	CauseCold     Cause = "cold"
	CauseBackoff  Cause = "backoff"
	CausePause    Cause = "pause"
	CauseFailures Cause = "failures"
)

// Fleet describes who sends to the server.
type Fleet struct {
	// VMs is the number of VMs that send to the server, Phase the position of this one
	// among them, from 0 to 1. VMs with different phases send their first requests at
	// different times.
	VMs   int
	Phase float64
	Slots int // of the server
}

// Answer is a successful answer of the server.
type Answer struct {
	SentAt, Now zinniatide.Millis
	// Latency is that of the answer, PeerLatency the mean of the peers' answers to like
	// requests, both in milliseconds. PeerLatency is 0 if it is unknown.
	Latency, PeerLatency float64
	// Queue is the length of the queue that the server reports, PeerQueue the mean of
	// its peers. Queue is negative if it is unknown.
	Queue, PeerQueue float64
}

// Throttler decides whether one VM may send one more request to one process of a
// backend server. Its limit is a share of the server's slots, divided by the number of
// VMs. A limit below 1 is a time between two requests. The zero value has no limit.
type Throttler struct {
	fleet   Fleet
	active  bool
	cause   Cause
	beganAt zinniatide.Millis
	share   float64
	// ratio is the moving average of the latency relative to that of the peers.
	ratio    float64
	lastSend zinniatide.Millis
	sent     bool // since beganAt
	// lastIncrease and lastDecrease are the last changes of the share, lastTrouble the
	// last refusal, failure or long queue.
	lastIncrease, lastDecrease, lastTrouble zinniatide.Millis
}

// SetFleet sets who sends to the server.
func (t *Throttler) SetFleet(f Fleet) {
	t.fleet = Fleet{VMs: max(f.VMs, 1), Phase: min(max(f.Phase, 0), 1), Slots: max(f.Slots, 1)}
}

// Begin starts the pace of a server that gets requests from at on. It reports whether
// no pace was active.
func (t *Throttler) Begin(at zinniatide.Millis, cause Cause) bool {
	began := !t.active
	t.SetFleet(t.fleet)
	*t = Throttler{fleet: t.fleet, active: true, cause: cause, beganAt: at, ratio: 1,
		share:        min(max(1/float64(t.fleet.Slots), minStartShare), maxStartShare),
		lastIncrease: at, lastDecrease: at, lastTrouble: at}
	return began
}

// Postpone moves the beginning of a pace in which nothing has been sent yet to until,
// because the server gets no requests of this VM before.
func (t *Throttler) Postpone(until zinniatide.Millis) {
	if t.active && !t.sent && until > t.beganAt {
		t.beganAt, t.lastIncrease, t.lastDecrease, t.lastTrouble = until, until, until, until
	}
}

// Active reports whether the server is paced.
func (t *Throttler) Active() bool { return t.active }

// Cause returns why the last pace began, and BeganAt when.
func (t *Throttler) Cause() Cause { return t.cause }

// BeganAt returns when the last pace began.
func (t *Throttler) BeganAt() zinniatide.Millis { return t.beganAt }

// Share returns the limit relative to the slots of the server.
func (t *Throttler) Share() float64 { return t.share }

// limit returns the requests that this VM may have in flight.
func (t *Throttler) limit() float64 {
	return t.share * float64(t.fleet.Slots) / float64(t.fleet.VMs)
}

// MaySend reports whether one more request may be sent now. latency is the expected
// latency of a request in milliseconds.
func (t *Throttler) MaySend(now zinniatide.Millis, inFlight int, latency float64) bool {
	if !t.active {
		return true
	}
	limit := t.limit()
	if limit >= 1 {
		return now >= t.beganAt && inFlight < int(limit)
	}
	spacing := min(latency*max(t.ratio, 1)/limit, maxSpacing)
	if !t.sent {
		return inFlight == 0 && float64(now-t.beganAt) >= t.fleet.Phase*spacing
	}
	return inFlight == 0 && float64(now-t.lastSend) >= spacing
}

// RecordSend records a request, also one that was sent against the limit.
func (t *Throttler) RecordSend(now zinniatide.Millis) { t.lastSend, t.sent = now, now >= t.beganAt }

// RecordAnswer records a successful answer and reports whether the pace has ended with
// it. An answer to a request from before the pace says nothing.
func (t *Throttler) RecordAnswer(a Answer) bool {
	if !t.active || a.SentAt < t.beganAt {
		return false
	}
	sample := 1.0
	if a.PeerLatency > 0 {
		sample = min(a.Latency/a.PeerLatency, maxRatio)
	}
	t.ratio += ratioWeight * (sample - t.ratio)
	switch {
	case a.Queue > max(float64(t.fleet.Slots), queueRatio*a.PeerQueue):
		t.lastTrouble = a.Now
		t.decrease(a.SentAt, a.Now, slowFactor, t.minShare())
	case t.ratio <= slowRatio:
		t.increase(a.Now, fullShare)
	case t.share > 1/t.ratio:
		// A server that is slow for each request can still fill this share of its slots.
		t.decrease(a.SentAt, a.Now, slowFactor, 1/t.ratio)
	default:
		t.increase(a.Now, 1/t.ratio)
	}
	if t.share >= fullShare || a.Now-t.lastTrouble >= steadyTime {
		t.active = false
	}
	return !t.active
}

// RecordTrouble records that a request was refused or failed.
func (t *Throttler) RecordTrouble(sentAt, now zinniatide.Millis) {
	if t.active && sentAt >= t.beganAt {
		t.lastTrouble = now
		t.decrease(sentAt, now, troubleFactor, t.minShare())
	}
}

func (t *Throttler) minShare() float64 { return minInFlight / float64(t.fleet.Slots) }

// increase raises the share up to limit, by more if the last change was long ago.
func (t *Throttler) increase(now zinniatide.Millis, limit float64) {
	steps := min(max(float64(now-t.lastIncrease)/float64(increaseInterval), 1), maxSteps)
	t.share = max(min(t.share+increaseStep*steps, limit), t.share)
	t.lastIncrease = now
}

// decrease lowers the share. Requests from before the last decrease were sent at the
// higher share and cause no other one.
func (t *Throttler) decrease(sentAt, now zinniatide.Millis, factor, least float64) {
	if sentAt < t.lastDecrease {
		return
	}
	t.share = min(max(t.share*factor, least), t.share)
	t.lastIncrease, t.lastDecrease = now, now
}
