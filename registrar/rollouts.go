package registrar

import (
	"cmp"
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

const (
	// restartDelay is how long after its start a rollout that was rolled back answers
	// commands for the same version. A later one starts again. It is twice the
	// ack_timeout_ms of 6,000 for which operators repeat a command.
	restartDelay zinniatide.Millis = 12_000
	// maxRampMillis bounds the ramp of a rollout: a day.
	maxRampMillis zinniatide.Millis = 24 * 3600 * 1000
	// maxRemovedRollouts bounds the rollouts kept of services that are no longer
	// configured.
	maxRemovedRollouts = 1024
)

// RolloutStart starts a rollout. The result is the zinniatide.Rollout that the command
// has started or that it repeats.
type RolloutStart struct {
	Service zinniatide.ServiceID     `cbor:"1,keyasint"`
	Target  zinniatide.ServerVersion `cbor:"2,keyasint"`
	Ramp    zinniatide.Millis        `cbor:"3,keyasint"`
	// Current is the version that serves, as known from the servers. It is used if no
	// earlier rollout tells.
	Current zinniatide.ServerVersion `cbor:"4,keyasint,omitempty"`
	// OnlyTarget is set if all servers run the target version. The rollout is then complete
	// at once: nothing else could serve the requests.
	OnlyTarget bool `cbor:"5,keyasint,omitempty"`
}

// RolloutStep changes the share or the state of a running rollout. It has no effect on
// another rollout than the one with Number, or on one that has ended.
type RolloutStep struct {
	Service zinniatide.ServiceID    `cbor:"1,keyasint"`
	Number  zinniatide.Epoch        `cbor:"2,keyasint"`
	State   zinniatide.RolloutState `cbor:"3,keyasint"`
	Share   float64                 `cbor:"4,keyasint"`
	// Before is the share that the step changes. If the share differs, a step other than a
	// roll-back has no effect: it was decided by an earlier leader.
	Before float64 `cbor:"5,keyasint"`
}

// Check returns a *zinniatide.Refusal if the command is malformed.
func (s *RolloutStart) Check() error {
	switch {
	case s.Service == "" || len(s.Service) > zinniatide.MaxIDLength:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "service must have 1 to %d bytes", zinniatide.MaxIDLength)
	case s.Target == "" || len(s.Target) > zinniatide.MaxIDLength:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "target version must have 1 to %d bytes", zinniatide.MaxIDLength)
	case s.Ramp <= 0 || s.Ramp > maxRampMillis:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "ramp is %d ms, want 1 to %d", s.Ramp, maxRampMillis)
	}
	return nil
}

// applyRolloutStart starts a rollout unless the last one of the service is the same or
// another one is running.
func (r *Registrar) applyRolloutStart(s *RolloutStart) any {
	if err := s.Check(); err != nil {
		return err
	}
	last, known := r.configuration.Rollouts[s.Service]
	if known && last.Target == s.Target && (last.State != zinniatide.RolloutRolledBack || r.logClock-last.StartedAt < restartDelay) {
		return last
	}
	if !hasService(r.configuration.Routing, s.Service) {
		return zinniatide.Refuse(zinniatide.CodeNotFound, "service %q is not configured", s.Service)
	}
	if known && last.State == zinniatide.RolloutRunning {
		return zinniatide.Refuse(zinniatide.CodeInProgress, "a rollout of service %q to version %q is running", s.Service, last.Target)
	}
	next := zinniatide.Rollout{
		Service: s.Service, Target: s.Target, Previous: s.Current, Ramp: s.Ramp, State: zinniatide.RolloutRunning,
		StartedAt: r.logClock, Number: r.configuration.Epoch + 1,
	}
	switch {
	case known && last.State == zinniatide.RolloutComplete:
		next.Previous = last.Target
	case known && last.Previous != "":
		next.Previous = last.Previous
	}
	if next.Previous == next.Target || s.OnlyTarget {
		// The target already gets all requests.
		next.State, next.Share = zinniatide.RolloutComplete, 1
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{Rollouts: map[zinniatide.ServiceID]*zinniatide.Rollout{s.Service: &next}})
	r.commit(tx)
	return next
}

// applyRolloutStep changes the share or the state of a running rollout.
func (r *Registrar) applyRolloutStep(s *RolloutStep) any {
	next, known := r.configuration.Rollouts[s.Service]
	if !known || next.Number != s.Number || next.State != zinniatide.RolloutRunning {
		return r.configuration.Epoch
	}
	if s.State != zinniatide.RolloutRolledBack && s.Before != next.Share {
		return r.configuration.Epoch
	}
	switch s.State {
	case zinniatide.RolloutRunning:
		if s.Share < 0 || s.Share > 1 {
			return zinniatide.Refuse(zinniatide.CodeBadRequest, "share %v is not between 0 and 1", s.Share)
		}
		next.Share = s.Share
	case zinniatide.RolloutComplete:
		next.State, next.Share = s.State, 1
	case zinniatide.RolloutRolledBack:
		next.State, next.Share = s.State, 0
	default:
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "state %q of a rollout is unknown", s.State)
	}
	if next == r.configuration.Rollouts[s.Service] {
		return r.configuration.Epoch
	}
	tx := newTransaction(r.configuration)
	tx.add(Delta{Rollouts: map[zinniatide.ServiceID]*zinniatide.Rollout{s.Service: &next}})
	return r.commit(tx)
}

// endRolloutsOfRemovedServices ends the running rollouts of services that the routing
// table of tx no longer has as rolled back, and drops the oldest ended ones of such
// services beyond maxRemovedRollouts.
func endRolloutsOfRemovedServices(tx *transaction) {
	configured := map[zinniatide.ServiceID]bool{}
	if tx.next.Routing != nil {
		for i := range tx.next.Routing.Services {
			configured[tx.next.Routing.Services[i].Service] = true
		}
	}
	changed := map[zinniatide.ServiceID]*zinniatide.Rollout{}
	var removed []zinniatide.Rollout
	for _, service := range slices.Sorted(maps.Keys(tx.next.Rollouts)) {
		rollout := tx.next.Rollouts[service]
		if configured[service] {
			continue
		}
		removed = append(removed, rollout)
		if rollout.State == zinniatide.RolloutRunning {
			rollout.State, rollout.Share = zinniatide.RolloutRolledBack, 0
			changed[service] = &rollout
		}
	}
	slices.SortFunc(removed, func(a, b zinniatide.Rollout) int { return cmp.Compare(a.Number, b.Number) })
	for i := range max(len(removed)-maxRemovedRollouts, 0) {
		changed[removed[i].Service] = nil
	}
	if len(changed) > 0 {
		tx.add(Delta{Rollouts: changed})
	}
}

func hasService(routing *zinniatide.Routing, service zinniatide.ServiceID) bool {
	return routing != nil && slices.ContainsFunc(routing.Services, func(s zinniatide.RelayService) bool { return s.Service == service })
}
