package quarantiner

import (
	"slices"

	"zinniatide.example/zinniatide"
)

// Config holds the limits and timings of canaries and quarantines.
type Config struct {
	// StrikeLimit is the number of strikes after which a fingerprint is
	// quarantined. It is more than one because a server can be lost for reasons
	// unrelated to the request.
	StrikeLimit int
	// StrikeLifetime is how long a strike counts. It is as long as a quarantine,
	// so that a caller can't lose more servers by resending slowly. A completed
	// request clears the strikes of its fingerprint at once.
	StrikeLifetime zinniatide.Millis
	// QuarantineLifetime is how long a quarantined fingerprint is refused.
	QuarantineLifetime zinniatide.Millis
	// CompletedLifetime is how long a completed fingerprint needs no canary.
	CompletedLifetime zinniatide.Millis
	// CompletedLimit is the maximum number of fingerprints stored as completed,
	// and SuspectLimit that of fingerprints with a canary, a strike or a
	// quarantine.
	CompletedLimit int
	SuspectLimit   int
	// GrantLifetime is how long a canary grant lasts if its holder does not end it.
	// It is longer than MaxRequestTime, the limit of every sub-request, so that the
	// holder's canary has ended when another VM gets a grant.
	GrantLifetime zinniatide.Millis
	// ArbiterTimeout is how long to wait for the arbiter's answer before deciding
	// locally.
	ArbiterTimeout zinniatide.Millis
	// RetryInterval is the delay before asking the arbiter again while another VM
	// runs the canary. WaitLimit limits the total wait.
	RetryInterval zinniatide.Millis
	WaitLimit     zinniatide.Millis
}

// DefaultConfig returns the configuration that the entry VMs use.
func DefaultConfig() Config {
	const minute = 60 * 1000
	return Config{
		StrikeLimit: 2, StrikeLifetime: 10 * minute, QuarantineLifetime: 10 * minute, CompletedLifetime: 10 * minute,
		CompletedLimit: 1 << 16, SuspectLimit: 1 << 14, GrantLifetime: zinniatide.MaxRequestTime + 500,
		ArbiterTimeout: 40, RetryInterval: 10, WaitLimit: 1000,
	}
}

// RelayConfig returns the configuration that relay VMs and their control VMs use.
// They send no canaries, so each strike is a whole attempt of a caller that lost
// servers and was answered by none.
func RelayConfig() Config {
	c := DefaultConfig()
	c.StrikeLimit = 3
	return c
}

// decision is an arbiter's decision about a fingerprint.
type decision string

const (
	decisionGo         decision = "go"         // completed recently
	decisionCanary     decision = "canary"     // run it on at most the given number of servers
	decisionWait       decision = "wait"       // another canary is running
	decisionQuarantine decision = "quarantine" // refuse it
)

// suspect is a fingerprint with a canary, a strike or a quarantine.
type suspect struct {
	strikes          int
	lastStrikeAt     zinniatide.Millis
	quarantinedUntil zinniatide.Millis // zero without a quarantine
	canaryToken      uint64            // zero if no canary is running
	tokenExpiresAt   zinniatide.Millis
	changedAt        zinniatide.Millis
	attempts         []uint64 // the unanswered attempts that were counted as strikes
}

// table stores the state of fingerprints and decides about them. It is
// deterministic: time and tokens are passed in. It is not safe for concurrent
// use.
type table struct {
	config   *Config
	suspects map[zinniatide.Fingerprint]*suspect
	// The completed fingerprints are kept in two generations, with the time at
	// which each entry expires. When the young generation reaches half of
	// CompletedLimit it replaces the old one.
	young, old map[zinniatide.Fingerprint]zinniatide.Millis
}

func newTable(c *Config) *table {
	return &table{
		config: c, suspects: make(map[zinniatide.Fingerprint]*suspect),
		young: make(map[zinniatide.Fingerprint]zinniatide.Millis), old: make(map[zinniatide.Fingerprint]zinniatide.Millis),
	}
}

// isCompleted reports whether the fingerprint completed recently.
func (t *table) isCompleted(now zinniatide.Millis, f zinniatide.Fingerprint) bool {
	until, ok := t.young[f]
	if !ok {
		if until, ok = t.old[f]; ok && now < until {
			t.addCompleted(f, until) // keeps an entry in use over the next change of generations
		}
	}
	return ok && now < until
}

func (t *table) addCompleted(f zinniatide.Fingerprint, until zinniatide.Millis) {
	if len(t.young) >= max(t.config.CompletedLimit/2, 1) {
		t.old, t.young = t.young, make(map[zinniatide.Fingerprint]zinniatide.Millis)
	}
	t.young[f] = until
}

func (t *table) removeCompleted(f zinniatide.Fingerprint) {
	delete(t.young, f)
	delete(t.old, f)
}

// lookup returns the suspect with fingerprint f after expiring its outdated
// state, or nil if there is none.
func (t *table) lookup(now zinniatide.Millis, f zinniatide.Fingerprint) *suspect {
	s := t.suspects[f]
	if s == nil {
		return nil
	}
	if s.quarantinedUntil != 0 && now >= s.quarantinedUntil {
		// One more strike quarantines the fingerprint again.
		s.quarantinedUntil, s.strikes, s.lastStrikeAt = 0, t.config.StrikeLimit-1, now
	}
	if s.canaryToken != 0 && now >= s.tokenExpiresAt {
		s.canaryToken = 0
	}
	if s.strikes > 0 && s.quarantinedUntil == 0 && now-s.lastStrikeAt >= t.config.StrikeLifetime {
		s.strikes, s.attempts = 0, nil
	}
	if s.strikes == 0 && s.canaryToken == 0 && s.quarantinedUntil == 0 {
		delete(t.suspects, f)
		return nil
	}
	return s
}

// getOrCreate returns the suspect with fingerprint f and creates it if needed.
func (t *table) getOrCreate(now zinniatide.Millis, f zinniatide.Fingerprint) *suspect {
	s := t.lookup(now, f)
	if s == nil {
		if len(t.suspects) >= t.config.SuspectLimit {
			t.evict(now)
		}
		s = &suspect{}
		t.suspects[f] = s
	}
	s.changedAt = now
	return s
}

// evict removes the suspects that have expired. If that frees no entry, it removes
// the least recently changed one of those with the fewest strikes.
func (t *table) evict(now zinniatide.Millis) {
	var evicted zinniatide.Fingerprint
	var least *suspect
	for f := range t.suspects {
		s := t.lookup(now, f)
		if s != nil && (least == nil || s.strikes < least.strikes || (s.strikes == least.strikes && s.changedAt < least.changedAt)) {
			evicted, least = f, s
		}
	}
	if len(t.suspects) >= t.config.SuspectLimit {
		delete(t.suspects, evicted)
	}
}

// decide returns the decision about a request with fingerprint f and, for a
// canary, the maximum number of backend servers that may run it. At most one
// canary runs at a time, and it runs on no more servers than there are strikes
// left before a quarantine.
func (t *table) decide(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64) (d decision, servers int) {
	s := t.lookup(now, f)
	switch {
	case s == nil && t.isCompleted(now, f):
		return decisionGo, 0
	case s == nil: // unknown fingerprint: grant a canary
	case s.quarantinedUntil != 0:
		return decisionQuarantine, 0
	case s.canaryToken != 0:
		return decisionWait, 0
	}
	s = t.getOrCreate(now, f)
	s.canaryToken, s.tokenExpiresAt = token, now+t.config.GrantLifetime
	return decisionCanary, t.config.StrikeLimit - s.strikes
}

// recordCrash counts a lost backend server and reports whether that quarantines
// the fingerprint. Only the loss of a canary, even of one whose grant has
// expired, always adds a strike. Any other loss only makes sure that there is one
// strike: when a rack fails, many servers that run the same harmless request are
// lost together.
func (t *table) recordCrash(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64) (quarantined bool) {
	t.removeCompleted(f)
	s := t.getOrCreate(now, f)
	if s.quarantinedUntil != 0 {
		return false
	}
	s.lastStrikeAt = now
	if token == 0 {
		s.strikes = max(s.strikes, 1)
		return false
	}
	s.strikes++
	if s.strikes < t.config.StrikeLimit {
		return false
	}
	s.canaryToken, s.quarantinedUntil = 0, now+t.config.QuarantineLifetime
	return true
}

// recordUnanswered counts an attempt of a caller that arrived at startedAt, lost its
// first server at lostAt, and that no server answered. It reports whether that
// quarantines the fingerprint. Reports of one attempt by several VMs count once. An
// attempt that arrived before the loss that was counted last does not count: one
// crashed server, or several that fail together, end many equal requests at once.
func (t *table) recordUnanswered(now zinniatide.Millis, f zinniatide.Fingerprint, attempt uint64, startedAt, lostAt zinniatide.Millis) (quarantined bool) {
	s := t.getOrCreate(now, f)
	if s.quarantinedUntil != 0 || slices.Contains(s.attempts, attempt) || s.strikes > 0 && startedAt < s.lastStrikeAt {
		return false
	}
	s.strikes, s.lastStrikeAt = s.strikes+1, lostAt
	if s.strikes < t.config.StrikeLimit {
		s.attempts = append(s.attempts, attempt)
		return false
	}
	s.quarantinedUntil, s.attempts = now+t.config.QuarantineLifetime, nil
	return true
}

// clear removes the suspicion against a fingerprint. It reports whether there was
// one, and whether the fingerprint was quarantined.
func (t *table) clear(f zinniatide.Fingerprint) (cleared, wasQuarantined bool) {
	s := t.suspects[f]
	if s == nil {
		return false, false
	}
	delete(t.suspects, f)
	return true, s.quarantinedUntil != 0
}

// endCanary ends the canary with the given token. A completed canary clears the
// strikes and marks the fingerprint as completed.
func (t *table) endCanary(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64, completed bool) {
	s := t.lookup(now, f)
	if s == nil || token == 0 || s.canaryToken != token {
		return
	}
	s.canaryToken = 0
	if completed {
		delete(t.suspects, f)
		t.addCompleted(f, now+t.config.CompletedLifetime)
		return
	}
	t.lookup(now, f) // removes the suspect if it has no strikes
}

// mergeNotice applies a quarantine notice from another VM.
func (t *table) mergeNotice(now zinniatide.Millis, f zinniatide.Fingerprint, strikes int, remaining zinniatide.Millis) {
	t.removeCompleted(f)
	s := t.getOrCreate(now, f)
	if remaining <= 0 {
		// Without a quarantine, strikes must stay below StrikeLimit. Otherwise
		// decide would grant a canary on zero servers.
		strikes = min(strikes, t.config.StrikeLimit-1)
	}
	if strikes > s.strikes {
		s.strikes, s.lastStrikeAt = min(strikes, t.config.StrikeLimit), now
	}
	if remaining > 0 {
		s.canaryToken, s.quarantinedUntil = 0, max(s.quarantinedUntil, now+min(remaining, t.config.QuarantineLifetime))
	}
}

// markCompleted marks f as completed because its arbiter, which knows all
// strikes, has said so.
func (t *table) markCompleted(now zinniatide.Millis, f zinniatide.Fingerprint) {
	if s := t.lookup(now, f); s != nil {
		if s.canaryToken != 0 || s.quarantinedUntil != 0 {
			return
		}
		delete(t.suspects, f)
	}
	t.addCompleted(f, now+t.config.CompletedLifetime)
}

// recordGrant records a canary that the arbiter has granted to this VM, so that
// its crashes are counted here too if the arbiter fails.
func (t *table) recordGrant(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64, servers int) {
	s := t.getOrCreate(now, f)
	s.canaryToken, s.tokenExpiresAt = token, now+t.config.GrantLifetime
	if strikes := t.config.StrikeLimit - servers; strikes > s.strikes {
		s.strikes, s.lastStrikeAt = strikes, now
	}
}
