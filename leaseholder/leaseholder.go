// Package leaseholder keeps the tokens that a VM holds of the workspaces that it serves,
// and decides when to ask for more. It uses no network; all times are boot times.
package leaseholder

import (
	"math"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/granter"
)

const (
	// idleTime is how long tokens are renewed after the last request of a workspace.
	// Each renewal costs a question and a reply: at most 4 after one request.
	idleTime zinniatide.Millis = 2000
	// renewAhead is how long before their end held tokens are renewed. It leaves time for
	// a message to a busy VM and another attempt.
	renewAhead = granter.Lease / 2
	// demandTime is the time over which the demand is averaged.
	demandTime = 1000.0
	// heldTime is the demand, in seconds of it, that a VM holds tokens for: until the
	// next renewal, and twice that for uneven arrivals.
	heldTime = 0.5
	// minExhausted and maxExhausted bound how long requests are refused without asking
	// after a refusal. The first bounds the messages of a VM to 50/s for each workspace,
	// the second the time for which tokens of other VMs that are not used lie idle.
	minExhausted zinniatide.Millis = 20
	maxExhausted zinniatide.Millis = 200
	// forgetAfter is how long nothing happens before a workspace is forgotten.
	forgetAfter zinniatide.Millis = 10_000
	// maxRetryAfter bounds the Retry-After of requests that are refused locally.
	maxRetryAfter zinniatide.Millis = 30_000
	// maxHeld bounds the tokens that a reply lets this VM hold.
	maxHeld = 10_000
	// maxTaken bounds the tokens that can be given back, per workspace.
	maxTaken = 4096
)

// Decision says what to do with a request.
type Decision uint8

// Values of Decision.
const (
	Ask Decision = iota // it is not known whether there is a token
	Admit
	Refuse // there is no token
)

// Holder holds the tokens of one VM. It is not safe for concurrent use.
type Holder struct {
	workspaces map[zinniatide.WorkspaceID]*holding
}

// holding is what a VM knows of one workspace.
type holding struct {
	// from granted the tokens below. Its clock is of no use to other VMs.
	from zinniatide.VMID
	// held tokens are used until expiresAt. grantedAt identifies the reply of the counting
	// VM that granted them.
	held       int
	expiresAt  zinniatide.Millis
	grantedAt  zinniatide.Millis
	receivedAt zinniatide.Millis // when the reply arrived
	// usedSinceAsk counts the held tokens used while a question is open.
	usedSinceAsk int
	// taken are the tokens of admitted requests that can still be given back, oldest first.
	// returned were given back.
	taken, returned []token
	// plenty is set if the counting VM last granted tokens to be held.
	plenty         bool
	demand         float64 // requests in demandTime, decaying
	demandAt       zinniatide.Millis
	lastTakenAt    zinniatide.Millis
	exhaustedUntil zinniatide.Millis
	nextRetryAt    float64
	spacing        float64
}

// token is a token that can be given back until expiresAt. grantedAt is a time by the clock
// of the counting VM when it was granted, or was used after having been held.
type token struct{ expiresAt, grantedAt zinniatide.Millis }

// New returns an empty Holder.
func New() *Holder { return &Holder{workspaces: map[zinniatide.WorkspaceID]*holding{}} }

// Len returns the number of known workspaces.
func (h *Holder) Len() int { return len(h.workspaces) }

func (h *Holder) get(w zinniatide.WorkspaceID, now zinniatide.Millis) *holding {
	s := h.workspaces[w]
	if s == nil {
		s = &holding{demandAt: now}
		h.workspaces[w] = s
	}
	return s
}

// Take decides on a request of w. retryAfter is set if it is refused, and returnWithin, how
// long its token can be given back, if it is admitted.
func (h *Holder) Take(w zinniatide.WorkspaceID, now zinniatide.Millis) (d Decision, retryAfter, returnWithin zinniatide.Millis) {
	s := h.get(w, now)
	s.addDemand(now)
	s.expire(now)
	switch {
	case len(s.returned) > 0:
		t := s.returned[0]
		s.returned = s.returned[1:]
		return Admit, 0, s.use(t, now)
	case s.held > 0:
		s.held--
		s.usedSinceAsk++
		return Admit, 0, s.use(token{min(s.expiresAt, now+granter.ReturnTime), s.grantedAt + now - s.receivedAt}, now)
	case now < s.exhaustedUntil:
		retryAfter = zinniatide.Millis(min(max(s.nextRetryAt-float64(now), 1), float64(maxRetryAfter)))
		s.nextRetryAt = max(s.nextRetryAt, float64(now)) + s.spacing
		return Refuse, retryAfter, 0
	}
	return Ask, 0, 0
}

func (s *holding) use(t token, now zinniatide.Millis) zinniatide.Millis {
	if len(s.taken) < maxTaken {
		s.taken = append(s.taken, t)
	}
	return max(0, t.expiresAt-now)
}

func (s *holding) addDemand(now zinniatide.Millis) {
	s.demand = s.demandNow(now) + 1
	s.demandAt, s.lastTakenAt = now, now
}

func (s *holding) demandNow(now zinniatide.Millis) float64 {
	return s.demand * math.Exp(-float64(now-s.demandAt)/demandTime)
}

// expire drops tokens whose time is over.
func (s *holding) expire(now zinniatide.Millis) {
	if now >= s.expiresAt {
		s.held = 0
	}
	s.taken = dropExpired(s.taken, now)
	s.returned = dropExpired(s.returned, now)
}

func dropExpired(tokens []token, now zinniatide.Millis) []token {
	kept := tokens[:0]
	for _, t := range tokens {
		if now < t.expiresAt {
			kept = append(kept, t)
		}
	}
	return kept
}

// Request returns the message that asks a counting VM for tokens for a number of waiting
// requests.
func (h *Holder) Request(w zinniatide.WorkspaceID, to zinniatide.VMID, needed int, now zinniatide.Millis) granter.Request {
	s := h.get(w, now)
	s.expire(now)
	s.usedSinceAsk = 0
	if s.from != to {
		s.from, s.held, s.taken, s.returned = to, 0, nil, nil
	}
	r := granter.Request{Workspace: w, Needed: needed, Unused: s.held, GrantedAt: s.grantedAt}
	if now-s.lastTakenAt < idleTime {
		r.Extra = max(1, int(math.Ceil(s.demandNow(now)*heldTime*1000/demandTime)))
	}
	if len(s.returned) > 0 {
		r.Returned, r.ReturnedAt = len(s.returned), s.returned[0].grantedAt
		for _, t := range s.returned {
			r.ReturnedAt = min(r.ReturnedAt, t.grantedAt)
		}
		s.returned = nil
	}
	return r
}

// Granted applies a reply to a request that was sent at sentAt. It returns how long the
// granted tokens may be used, which is 0 if that time is over. Tokens used since count
// against those that the reply lets this VM hold.
func (h *Holder) Granted(w zinniatide.WorkspaceID, r *granter.Reply, sentAt, now zinniatide.Millis) zinniatide.Millis {
	s := h.get(w, now)
	expiresAt := sentAt + granter.Lease
	if now >= expiresAt {
		return 0
	}
	s.held = max(0, min(r.Held, maxHeld)-s.usedSinceAsk)
	s.expiresAt, s.grantedAt, s.receivedAt = expiresAt, r.GrantedAt, now
	s.plenty = r.Held > 0
	return expiresAt - now
}

// Use records that a granted token was used for a request that waited. It returns how long
// the token can be given back.
func (h *Holder) Use(w zinniatide.WorkspaceID, r *granter.Reply, sentAt, now zinniatide.Millis) zinniatide.Millis {
	return h.get(w, now).use(token{sentAt + granter.ReturnTime, r.GrantedAt}, now)
}

// Keep keeps a granted token whose request has been cancelled.
func (h *Holder) Keep(w zinniatide.WorkspaceID, r *granter.Reply, sentAt, now zinniatide.Millis) {
	s := h.get(w, now)
	s.returned = append(s.returned, token{sentAt + granter.ReturnTime, r.GrantedAt})
}

// Exhausted records that there was no token for refused requests, and returns the
// Retry-After of each.
func (h *Holder) Exhausted(w zinniatide.WorkspaceID, r *granter.Reply, refused int, now zinniatide.Millis) []zinniatide.Millis {
	s := h.get(w, now)
	s.plenty = false
	spacing := min(max(r.Spacing, 0), float64(maxRetryAfter))
	if math.IsNaN(spacing) {
		spacing = 0
	}
	s.spacing = spacing * float64(min(max(r.VMs, 1), 1<<20))
	s.exhaustedUntil = now + min(max(r.RetryAfter, minExhausted), maxExhausted)
	times := make([]zinniatide.Millis, refused)
	for i := range times {
		times[i] = zinniatide.Millis(min(max(float64(r.RetryAfter)+float64(i)*spacing, 1), float64(maxRetryAfter)))
	}
	s.nextRetryAt = float64(now+min(max(r.RetryAfter, 1), maxRetryAfter)) + float64(refused)*spacing
	return times
}

// Return gives back the token of a request that has not run. It takes the one that
// expires first of those that can still be given back, since it is not known which it was.
func (h *Holder) Return(w zinniatide.WorkspaceID, now zinniatide.Millis) bool {
	s := h.workspaces[w]
	if s == nil {
		return false
	}
	s.expire(now)
	if len(s.taken) == 0 {
		return false
	}
	first := 0
	for i := range s.taken {
		if s.taken[i].expiresAt < s.taken[first].expiresAt {
			first = i
		}
	}
	s.returned = append(s.returned, s.taken[first])
	s.taken = append(s.taken[:first], s.taken[first+1:]...)
	return true
}

// Due returns the workspaces whose tokens should be renewed or given back now, and
// forgets those without requests for a while.
func (h *Holder) Due(now zinniatide.Millis) []zinniatide.WorkspaceID {
	var due []zinniatide.WorkspaceID
	for w, s := range h.workspaces {
		s.expire(now)
		switch {
		case now-s.lastTakenAt >= forgetAfter:
			delete(h.workspaces, w)
		case len(s.returned) > 0:
			due = append(due, w)
		case s.plenty && now-s.lastTakenAt < idleTime && (now >= s.expiresAt-renewAhead || s.held == 0):
			due = append(due, w)
		}
	}
	return due
}
