package executor

import (
	"bytes"
	"errors"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
)

// stepEvent is the result or the timeout of an asynchronous step.
type stepEvent struct {
	reply    zinniatide.ClaimReply
	err      error
	result   zinniatide.SubResult
	timedOut bool
}

// step is an asynchronous step of a call. Each step has its own channel, so that
// a late or duplicate event is not taken for one of a later step. The channel has
// capacity for the result and the timeout.
type step chan stepEvent

// deliver sends e without blocking. It drops e if the channel is full, which
// happens only with duplicate events.
func (s step) deliver(e stepEvent) {
	select {
	case s <- e:
	default:
	}
}

// serverRefusal records that a server refused the request with not-run.
type serverRefusal struct {
	server  zinniatide.BackendServerID
	version zinniatide.IndexVersion
	code    zinniatide.Code
}

// call executes one request on the goroutine that called Execute.
type call struct {
	executor *Executor
	request  zinniatide.ExecuteRequest
	claim    zinniatide.Claim
	// fingerprint covers service and body, for the quarantine. claim.Digest
	// identifies the request.
	fingerprint  zinniatide.Fingerprint
	deadline     zinniatide.Millis
	cancelTimer  func()
	refusals     []serverRefusal
	serverBuffer []zinniatide.BackendServerID // reused by excludedServers
	lastFailure  zinniatide.Code
	// claimAbandoned is set when the call has stopped trying to obtain its claim.
	claimAbandoned atomic.Bool
	pass           *quarantiner.Pass
}

func (c *call) stopTimer() {
	if c.cancelTimer != nil {
		c.cancelTimer()
		c.cancelTimer = nil
	}
}

// startStep starts a step that times out at the given time. It stops the timer of
// the previous step.
func (c *call) startStep(at zinniatide.Millis) step {
	c.stopTimer()
	s := make(step, 2)
	c.cancelTimer = c.executor.Timer.After(at-c.executor.Clock.Now(), func() { s.deliver(stepEvent{timedOut: true}) })
	return s
}

// sleep waits for d, but not beyond the deadline.
func (c *call) sleep(d zinniatide.Millis) {
	<-c.startStep(min(c.executor.Clock.Now()+d, c.deadline))
}

func (c *call) run() ([]byte, *zinniatide.Refusal) {
	reply, refusal := c.acquireClaim()
	if refusal != nil {
		return nil, refusal
	}
	if !reply.Granted {
		return deniedClaimAnswer(&reply)
	}
	// The quarantine check follows the claim, so that a repeated request gets its
	// recorded result without waiting for a canary.
	if c.pass, refusal = c.executor.Quarantiner.Acquire(c.fingerprint, c.deadline); refusal != nil {
		c.finishClaim(zinniatide.OutcomeNotRun, nil)
		return nil, refusal
	}
	return c.dispatch()
}

// acquireClaim claims the request id. A claim without a reply is retried with the
// same token, which is granted again if it was granted before. If it is still
// unknown at the deadline whether the claim was granted, the request is not
// dispatched, and not-run is reported to the leader to free the request id.
func (c *call) acquireClaim() (zinniatide.ClaimReply, *zinniatide.Refusal) {
	x := c.executor
	claimUncertain := false
	delay := x.config.ClaimRetryDelay
	for {
		reply, err := c.sendClaim()
		if err == nil {
			return reply, nil
		}
		claimUncertain = claimUncertain || mayHaveBeenClaimed(err)
		if x.Clock.Now()+delay >= c.deadline {
			if claimUncertain {
				c.claimAbandoned.Store(true)
				c.finishClaim(zinniatide.OutcomeNotRun, nil)
			}
			return reply, zinniatide.Refuse(zinniatide.CodeNoQuorum, "the request id could not be claimed: %v", err)
		}
		c.sleep(delay)
		delay = min(2*delay, x.config.MaxClaimRetryDelay)
	}
}

func (c *call) sendClaim() (zinniatide.ClaimReply, error) {
	// Half of the remaining time is reserved for dispatching the request: a claim
	// that is granted at the deadline would be useless.
	now := c.executor.Clock.Now()
	s := c.startStep(now + max((c.deadline-now)/2, 1))
	c.executor.Claims.Claim(c.claim, func(reply zinniatide.ClaimReply, err error) {
		if c.claimAbandoned.Load() && err == nil && reply.Granted {
			// The claim was granted after the call had abandoned it.
			c.finishClaim(zinniatide.OutcomeNotRun, nil)
			return
		}
		reply.Body = bytes.Clone(reply.Body)
		s.deliver(stepEvent{reply: reply, err: err})
	})
	e := <-s
	if e.timedOut {
		return e.reply, zinniatide.ErrTimeout
	}
	return e.reply, e.err
}

// mayHaveBeenClaimed reports whether a claim that failed with err may have been
// recorded in the log.
func mayHaveBeenClaimed(err error) bool {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) {
		return refusal.Outcome != zinniatide.OutcomeNotRun
	}
	return !errors.Is(err, zinniatide.ErrNotSent)
}

// deniedClaimAnswer converts the reply to a claim that was not granted to the
// answer to the caller.
func deniedClaimAnswer(reply *zinniatide.ClaimReply) ([]byte, *zinniatide.Refusal) {
	if reply.Outcome == zinniatide.OutcomeDone && reply.Code == "" {
		if len(reply.Body) == 0 {
			return nil, &zinniatide.Refusal{Code: zinniatide.CodeTooLarge, Outcome: zinniatide.OutcomeDone,
				Message: "the request has run; its result was too large to be kept"}
		}
		return reply.Body, nil
	}
	switch reply.Code {
	case zinniatide.CodeRequestIDReused:
		return nil, zinniatide.Refuse(reply.Code, "the request id was used for another request")
	case zinniatide.CodeRequestIDExpired:
		return nil, &zinniatide.Refusal{Code: reply.Code, Outcome: zinniatide.OutcomeUnknown,
			Message: "the request id has expired; an earlier attempt may have run"}
	}
	return nil, &zinniatide.Refusal{Code: zinniatide.CodeInProgress, Outcome: zinniatide.OutcomeUnknown,
		Message: "the request id is held by VM " + string(reply.Holder)}
}

// dispatch sends the claimed request to one server at a time. It tries another
// server only after the previous one refused with not-run.
func (c *call) dispatch() ([]byte, *zinniatide.Refusal) {
	x := c.executor
	delay := x.config.DispatchRetryDelay
	for {
		now := x.Clock.Now()
		if now >= c.deadline {
			return c.giveUp()
		}
		if x.Configurations.LeaseUntil() <= now {
			// The lease expired during an earlier step. Without a lease the
			// configuration may be outdated, so nothing may be dispatched.
			c.lastFailure = zinniatide.CodeNotServing
			return c.giveUp()
		}
		t, _ := c.selectTarget(now)
		if t.replica == nil && !t.awaitsOwner {
			return c.giveUp()
		}
		if t.replica != nil {
			result, ended := c.send(now, &t)
			if !ended {
				return nil, &zinniatide.Refusal{Code: zinniatide.CodeDeadlinePassed, Outcome: zinniatide.OutcomeUnknown,
					Message: "the deadline has passed while the request was running"}
			}
			if result.Outcome != zinniatide.OutcomeNotRun {
				return c.finishWithResult(&result)
			}
			c.lastFailure = result.Code
			c.refusals = append(c.refusals, serverRefusal{t.replica.Server, t.version.Number, result.Code})
			if _, untried := c.selectTarget(now); untried {
				continue // a server or version that has not refused yet is left
			}
		}
		if x.Clock.Now()+delay >= c.deadline {
			return c.giveUp()
		}
		c.sleep(delay)
		delay = min(2*delay, x.config.MaxDispatchRetryDelay)
	}
}

// target is the version, shard and replica that a request is sent to.
type target struct {
	version *planner.Version
	shard   int
	replica *planner.Replica // nil if none is available
	// awaitsOwner is set when a server of the shard has no owner yet and may become
	// available after a delay.
	awaitsOwner bool
}

// selectTarget selects a replica of the shard that contains the key, on the newest
// version with an available server. A server that has refused the request on a
// version is used for that version only when nothing else is left, and one that
// refused with wrong-version never. untried is set when the selected server has
// not refused the request on this version.
func (c *call) selectTarget(now zinniatide.Millis) (t target, untried bool) {
	service := c.executor.Planner.Index().Service(c.request.Service)
	if service == nil {
		return target{}, false
	}
	for _, allowRefused := range []bool{false, true} {
		for _, v := range service.VersionsNewestFirst() {
			shard := v.ShardOf(c.request.Key)
			if shard < 0 {
				continue
			}
			t.awaitsOwner = t.awaitsOwner || v.AwaitsOwner(shard)
			if replica := c.executor.pick(v, shard, c.excludedServers(v, allowRefused), now); replica != nil {
				return target{version: v, shard: shard, replica: replica}, !allowRefused
			}
		}
	}
	return t, false
}

// excludedServers returns the servers that must not be tried. With includeRefused
// set, servers that refused for another reason than the version may be tried
// again.
func (c *call) excludedServers(v *planner.Version, allowRefused bool) []zinniatide.BackendServerID {
	c.serverBuffer = c.serverBuffer[:0]
	for _, r := range c.refusals {
		if r.version == v.Number && (!allowRefused || r.code == zinniatide.CodeWrongVersion) {
			c.serverBuffer = append(c.serverBuffer, r.server)
		}
	}
	return c.serverBuffer
}

// send dispatches the request once. It returns false when the deadline passed
// first; the outcome is then recorded when the result arrives.
func (c *call) send(now zinniatide.Millis, t *target) (zinniatide.SubResult, bool) {
	x := c.executor
	s := c.startStep(c.deadline)
	v, replica := t.version, t.replica
	// resolved is set by the result or the deadline, whichever comes first.
	// delivered is set by the first result; duplicates are ignored.
	var resolved, delivered atomic.Bool
	replica.Record.RecordStart()
	service := x.Observer.Service(c.request.Service)
	x.Forwarder.DispatchAll([]zinniatide.SubRequest{{
		Operation: zinniatide.OperationExecute, RequestID: c.request.RequestID, Service: c.request.Service,
		Version: v.Number, Range: v.Shards[t.shard], Server: replica.Server, Workspace: c.request.Workspace,
		Class: c.request.Class, Fingerprint: c.fingerprint, Deadline: c.deadline, Body: c.request.Body,
	}}, func(_ int, result zinniatide.SubResult) {
		if !delivered.CompareAndSwap(false, true) {
			return
		}
		c.reportToQuarantiner(&result)
		x.Admitter.Observe(c.request.Service, &result)
		replica.Record.RecordResult(service, x.Clock.Now(), now, &result)
		if resolved.CompareAndSwap(false, true) {
			s.deliver(stepEvent{result: result})
			return
		}
		c.recordOutcome(&result)
		c.pass.End()
	})
	e := <-s
	if !e.timedOut {
		return e.result, true
	}
	if !resolved.CompareAndSwap(false, true) {
		return (<-s).result, true // the result arrived at the same time as the timeout
	}
	// The sub-request is not cancelled: its own deadline ends it, and a late result
	// is recorded for repeated requests.
	return zinniatide.SubResult{}, false
}

// reportToQuarantiner reports the effect of the request on the server. A result
// other than not-run is final, because requests are dispatched to one server at a
// time and are not sent again if they may have run.
func (c *call) reportToQuarantiner(result *zinniatide.SubResult) {
	switch {
	case result.Crashed:
		c.pass.ReportCrash(c.pass.CanaryServers() > 0, nil)
		c.pass.End()
	case result.Outcome == zinniatide.OutcomeDone:
		c.pass.ReportAnswered()
	case result.Outcome != zinniatide.OutcomeNotRun:
		c.pass.End()
	}
}

// finishWithResult records a result other than not-run and converts it to the
// answer to the caller.
func (c *call) finishWithResult(result *zinniatide.SubResult) ([]byte, *zinniatide.Refusal) {
	c.recordOutcome(result)
	if result.Outcome == zinniatide.OutcomeDone {
		return result.Body, nil
	}
	code := result.Code
	if code == "" {
		code = zinniatide.CodeInternal
	}
	return nil, &zinniatide.Refusal{Code: code, Outcome: zinniatide.OutcomeUnknown,
		Message: "the request may or may not have run"}
}

// recordOutcome reports the outcome of a dispatched request to the claim store.
// Any outcome other than done and not-run is recorded as unknown.
func (c *call) recordOutcome(result *zinniatide.SubResult) {
	switch result.Outcome {
	case zinniatide.OutcomeDone:
		c.finishClaim(zinniatide.OutcomeDone, result.Body)
	case zinniatide.OutcomeNotRun:
		c.finishClaim(zinniatide.OutcomeNotRun, nil)
	default:
		c.finishClaim(zinniatide.OutcomeUnknown, nil)
	}
}

// giveUp ends a claimed request that no server has run, and frees its claim.
func (c *call) giveUp() ([]byte, *zinniatide.Refusal) {
	c.pass.End()
	c.finishClaim(zinniatide.OutcomeNotRun, nil)
	code := c.lastFailure
	if code == "" {
		code = zinniatide.CodeNoServer
	}
	return nil, zinniatide.Refuse(code, "no backend server took the request before its deadline")
}

func (c *call) finishClaim(outcome zinniatide.Outcome, body []byte) {
	if len(body) > zinniatide.MaxRecordedBody {
		body = nil // repeated requests are told that it ran, but not its result
	}
	c.executor.Claims.Finish(zinniatide.ClaimResult{RequestID: c.claim.RequestID, Token: c.claim.Token, Outcome: outcome, Body: body})
}
