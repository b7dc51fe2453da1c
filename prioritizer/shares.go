package prioritizer

import (
	"math"
	"slices"

	"zinniatide.example/zinniatide"
)

const (
	// shareWindow is the time over which requests are counted, long enough for several
	// requests of each of ten workspaces at 100 requests/s.
	shareWindow zinniatide.Millis = 200
	// shareWeight is the weight of the last window in the rates: about the last three
	// windows count.
	shareWeight = 0.4
	// shareSlack is the ratio of the rate that the shares allow to the rate that was
	// admitted. Without it, shares would never find that the capacity has grown.
	shareSlack = 1.1
	// maxCredit bounds the requests that a workspace may save up, and minCredit those
	// that it may have been admitted beyond its share while there was room.
	maxCredit, minCredit = 2.0, -2.0
	// maxWorkspaces bounds the workspaces that are told apart. Requests of further ones
	// share one entry.
	maxWorkspaces = 8192
	// forgottenRate is the rate per window below which a workspace is forgotten: 3 s
	// after a single request.
	forgottenRate = 0.0005

	// minRetryAfter is the shortest advice, at which a running request has probably ended.
	// maxRetryAfter keeps callers from waiting longer than a second once the load ends.
	minRetryAfter, maxRetryAfter zinniatide.Millis = 50, 1000
)

// shares divides what a class gets equally among the workspaces that ask for it, as in
// core-stateless fair queueing: a workspace that asks for more than the level gets the
// level. The level is the one at which all of them together get what is admitted now.
// The rate that a workspace asks for includes its refused requests, so that repeating
// them gains nothing.
type shares struct {
	workspaces  map[zinniatide.WorkspaceID]*workspace
	windowStart zinniatide.Millis
	admitted    float64 // in the current window
	// admittedRate is the smoothed number of admitted requests per window.
	admittedRate float64
	// level is the number of requests per window that a workspace may get.
	level float64
	// nextRetryAt is when the next refused caller is asked to come back.
	nextRetryAt zinniatide.Millis
}

// workspace counts the requests of a workspace.
type workspace struct {
	arrived float64 // in the current window
	rate    float64 // smoothed number of requests per window
	credit  float64
}

func newShares() *shares {
	return &shares{workspaces: map[zinniatide.WorkspaceID]*workspace{}, level: math.Inf(1)}
}

// arrive counts a request, and gives its workspace the credit for it.
func (s *shares) arrive(id zinniatide.WorkspaceID, now zinniatide.Millis) *workspace {
	s.advance(now)
	w := s.workspaces[id]
	if w == nil {
		if len(s.workspaces) >= maxWorkspaces {
			id = ""
			w = s.workspaces[id]
		}
		if w == nil {
			w = &workspace{credit: 1}
			s.workspaces[id] = w
		}
	}
	w.arrived++
	// A rate that rises within the window counts at once.
	earned := 1.0
	if rate := max(w.rate, w.arrived); rate > s.level {
		earned = s.level / rate
	}
	w.credit = min(w.credit+earned, maxCredit)
	return w
}

// hasCredit reports whether the workspace may get another request.
func (w *workspace) hasCredit() bool { return w.credit >= 1 }

// admit charges an admitted request to its workspace.
func (s *shares) admit(w *workspace) {
	w.credit = max(w.credit-1, minCredit)
	s.admitted++
}

// refund takes back the charge of a request that was admitted and not answered. Requests
// that servers turn away say nothing about the capacity.
func (s *shares) refund(w *workspace) {
	w.credit = min(w.credit+1, maxCredit)
	s.admitted = max(s.admitted-1, 0)
}

// reset drops all counts.
func (s *shares) reset(now zinniatide.Millis) {
	if len(s.workspaces) > 0 {
		s.workspaces = map[zinniatide.WorkspaceID]*workspace{}
	}
	s.admitted, s.admittedRate, s.level, s.windowStart = 0, 0, math.Inf(1), now
}

// advance ends the current window if its time is over.
func (s *shares) advance(now zinniatide.Millis) {
	passed := (now - s.windowStart) / shareWindow
	if passed < 1 {
		return
	}
	if passed > 20 { // nothing of the counts is left after 4 s
		s.reset(now)
		return
	}
	s.windowStart += passed * shareWindow
	decay := math.Pow(1-shareWeight, float64(passed))
	// The windows in between had no requests.
	last := decay / (1 - shareWeight) * shareWeight
	s.admittedRate = decay*s.admittedRate + last*s.admitted
	s.admitted = 0
	rates := make([]float64, 0, len(s.workspaces))
	for id, w := range s.workspaces {
		w.rate = decay*w.rate + last*w.arrived
		w.arrived = 0
		if w.rate < forgottenRate {
			delete(s.workspaces, id)
			continue
		}
		rates = append(rates, w.rate)
	}
	s.level = math.Inf(1)
	if len(rates) > 1 {
		s.level = levelOf(rates, shareSlack*s.admittedRate)
	}
}

// levelOf returns the level at which workspaces that ask for rates get capacity
// together, or infinity if capacity is enough for all.
func levelOf(rates []float64, capacity float64) float64 {
	slices.Sort(rates)
	for i, rate := range rates {
		left := float64(len(rates) - i)
		if rate*left > capacity {
			return capacity / left
		}
		capacity -= rate
	}
	return math.Inf(1)
}

// retryAfter returns when a refused caller should come back. Each is told a time after
// that of the one before, at the rate at which requests are admitted, so that those who
// wait do not return together. When the times are used up, they start again.
func (s *shares) retryAfter(target, now zinniatide.Millis) zinniatide.Millis {
	earliest := now + min(max(target/2, minRetryAfter), maxRetryAfter/2)
	s.nextRetryAt = max(s.nextRetryAt, earliest)
	if s.nextRetryAt > now+maxRetryAfter {
		s.nextRetryAt = earliest
	}
	at := s.nextRetryAt
	step := maxRetryAfter / 4
	if s.admittedRate > 0 {
		step = min(zinniatide.Millis(float64(shareWindow)/s.admittedRate), step)
	}
	s.nextRetryAt += max(step, 1)
	return at - now
}
