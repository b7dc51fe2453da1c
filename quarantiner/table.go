package quarantiner

import "zinniatide.example/zinniatide"

// Config holds the rules about requests that crash backend servers.
type Config struct {
	// Strikes is the number of lost backend servers that condemns a fingerprint.
	// One loss may have another reason.
	Strikes int
	// StrikeLifetime is how long a strike counts. It is as long as a quarantine,
	// so that a caller that resends slowly gains nothing. A completed request
	// clears the strikes of its fingerprint at once.
	StrikeLifetime zinniatide.Millis
	// QuarantineTime is how long a condemned fingerprint is refused.
	QuarantineTime zinniatide.Millis
	// ProvenLifetime is how long a completed fingerprint needs no canary.
	ProvenLifetime zinniatide.Millis
	// ProvenLimit bounds the fingerprints that are remembered as completed, and
	// SuspectLimit those with a canary, a strike or a quarantine.
	ProvenLimit  int
	SuspectLimit int
	// GrantLifetime bounds the right to run a canary when its holder is lost. No
	// sub-request lasts longer than MaxRequestTime, so nothing runs any more
	// when the right is given to another VM.
	GrantLifetime zinniatide.Millis
	// GuardTimeout is how long the guard may take to answer before the request
	// goes on with a local canary.
	GuardTimeout zinniatide.Millis
	// AskInterval is the delay before the guard is asked again while another VM
	// runs the canary. WaitLimit bounds the whole wait.
	AskInterval zinniatide.Millis
	WaitLimit   zinniatide.Millis
}

// DefaultConfig returns the rules in use.
func DefaultConfig() Config {
	const minute = 60 * 1000
	return Config{
		Strikes: 2, StrikeLifetime: 10 * minute, QuarantineTime: 10 * minute, ProvenLifetime: 10 * minute,
		ProvenLimit: 1 << 16, SuspectLimit: 1 << 14, GrantLifetime: zinniatide.MaxRequestTime + 500,
		GuardTimeout: 40, AskInterval: 10, WaitLimit: 1000,
	}
}

// decision is what a guard says about a fingerprint.
type decision string

const (
	decisionGo         decision = "go"         // completed recently
	decisionCanary     decision = "canary"     // run it on at most the given number of servers
	decisionWait       decision = "wait"       // another canary is running
	decisionQuarantine decision = "quarantine" // refuse it
)

// suspect is a fingerprint with a canary, a strike or a quarantine.
type suspect struct {
	strikes     int
	strikeAt    zinniatide.Millis
	quarantined zinniatide.Millis // end of the quarantine; zero without one
	token       uint64            // of the running canary; zero without one
	expires     zinniatide.Millis // of the token
	changedAt   zinniatide.Millis
}

// table decides about fingerprints. It is pure: time and tokens are passed in.
// The caller serialises access.
type table struct {
	config   *Config
	suspects map[zinniatide.Fingerprint]*suspect
	// The completed fingerprints are in two generations. When the young one has
	// half of the limit it replaces the old one.
	young, old map[zinniatide.Fingerprint]zinniatide.Millis // end of the proof
}

func newTable(c *Config) *table {
	return &table{
		config: c, suspects: make(map[zinniatide.Fingerprint]*suspect),
		young: make(map[zinniatide.Fingerprint]zinniatide.Millis), old: make(map[zinniatide.Fingerprint]zinniatide.Millis),
	}
}

// proven reports whether the fingerprint completed recently.
func (t *table) proven(now zinniatide.Millis, f zinniatide.Fingerprint) bool {
	until, ok := t.young[f]
	if !ok {
		if until, ok = t.old[f]; ok && now < until {
			t.remember(f, until) // used entries survive the next change of generations
		}
	}
	return ok && now < until
}

func (t *table) remember(f zinniatide.Fingerprint, until zinniatide.Millis) {
	if len(t.young) >= max(t.config.ProvenLimit/2, 1) {
		t.old, t.young = t.young, make(map[zinniatide.Fingerprint]zinniatide.Millis)
	}
	t.young[f] = until
}

func (t *table) forget(f zinniatide.Fingerprint) {
	delete(t.young, f)
	delete(t.old, f)
}

// current returns the suspect of f after the passing of time, or nil.
func (t *table) current(now zinniatide.Millis, f zinniatide.Fingerprint) *suspect {
	s := t.suspects[f]
	if s == nil {
		return nil
	}
	if s.quarantined != 0 && now >= s.quarantined {
		// One strike is left, so that the next loss condemns it again.
		s.quarantined, s.strikes, s.strikeAt = 0, t.config.Strikes-1, now
	}
	if s.token != 0 && now >= s.expires {
		s.token = 0
	}
	if s.strikes > 0 && s.quarantined == 0 && now-s.strikeAt >= t.config.StrikeLifetime {
		s.strikes = 0
	}
	if s.strikes == 0 && s.token == 0 && s.quarantined == 0 {
		delete(t.suspects, f)
		return nil
	}
	return s
}

// touch returns the suspect of f and creates it if needed.
func (t *table) touch(now zinniatide.Millis, f zinniatide.Fingerprint) *suspect {
	s := t.current(now, f)
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

// evict drops the suspects that have expired, or else the one with the fewest
// strikes that has not changed for longest.
func (t *table) evict(now zinniatide.Millis) {
	var victim zinniatide.Fingerprint
	var worst *suspect
	for f := range t.suspects {
		s := t.current(now, f)
		if s != nil && (worst == nil || s.strikes < worst.strikes || (s.strikes == worst.strikes && s.changedAt < worst.changedAt)) {
			victim, worst = f, s
		}
	}
	if len(t.suspects) >= t.config.SuspectLimit {
		delete(t.suspects, victim)
	}
}

// ask decides about a request with fingerprint f. The canary may run on at
// most servers backend servers. At most one canary runs at a time, and the
// servers that it may still lose are never more than the missing strikes.
func (t *table) ask(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64) (d decision, servers int) {
	s := t.current(now, f)
	switch {
	case s == nil && t.proven(now, f):
		return decisionGo, 0
	case s == nil:
	case s.quarantined != 0:
		return decisionQuarantine, 0
	case s.token != 0:
		return decisionWait, 0
	}
	s = t.touch(now, f)
	s.token, s.expires = token, now+t.config.GrantLifetime
	return decisionCanary, t.config.Strikes - s.strikes
}

// crash counts a lost backend server. It condemns only when it happened under
// the token of a canary, also of one whose lifetime has ended. Any other loss
// makes the fingerprint suspect, once: when a rack fails, many servers that run
// the same sound request are lost together.
func (t *table) crash(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64) (condemned bool) {
	t.forget(f)
	s := t.touch(now, f)
	if s.quarantined != 0 {
		return false
	}
	s.strikeAt = now
	if token == 0 {
		s.strikes = max(s.strikes, 1)
		return false
	}
	s.strikes++
	if s.strikes < t.config.Strikes {
		return false
	}
	s.token, s.quarantined = 0, now+t.config.QuarantineTime
	return true
}

// end ends the canary with the given token. A completed canary clears the
// strikes.
func (t *table) end(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64, completed bool) {
	s := t.current(now, f)
	if s == nil || token == 0 || s.token != token {
		return
	}
	s.token = 0
	if completed {
		delete(t.suspects, f)
		t.remember(f, now+t.config.ProvenLifetime)
		return
	}
	t.current(now, f)
}

// learn takes over what another VM has found.
func (t *table) learn(now zinniatide.Millis, f zinniatide.Fingerprint, strikes int, remaining zinniatide.Millis) {
	t.forget(f)
	s := t.touch(now, f)
	if remaining <= 0 {
		// Only a quarantine has all strikes. A canary on no server would be
		// taken for a request without restriction.
		strikes = min(strikes, t.config.Strikes-1)
	}
	if strikes > s.strikes {
		s.strikes, s.strikeAt = min(strikes, t.config.Strikes), now
	}
	if remaining > 0 {
		s.token, s.quarantined = 0, max(s.quarantined, now+min(remaining, t.config.QuarantineTime))
	}
}

// proof marks f as completed on the word of its guard, which knows of all
// strikes.
func (t *table) proof(now zinniatide.Millis, f zinniatide.Fingerprint) {
	if s := t.current(now, f); s != nil {
		if s.token != 0 || s.quarantined != 0 {
			return
		}
		delete(t.suspects, f)
	}
	t.remember(f, now+t.config.ProvenLifetime)
}

// adopt records a canary that the guard has granted to this VM, so that its
// crashes count here too when the guard is lost.
func (t *table) adopt(now zinniatide.Millis, f zinniatide.Fingerprint, token uint64, servers int) {
	s := t.touch(now, f)
	s.token, s.expires = token, now+t.config.GrantLifetime
	if strikes := t.config.Strikes - servers; strikes > s.strikes {
		s.strikes, s.strikeAt = strikes, now
	}
}
