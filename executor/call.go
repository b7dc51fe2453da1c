package executor

import (
	"bytes"
	"errors"
	"sync/atomic"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
)

// event is the end of one asynchronous step of a call.
type event struct {
	reply   zinniatide.ClaimReply
	err     error
	result  zinniatide.SubResult
	timeout bool
}

// step is one asynchronous step of a call. Each step has its own channel, so
// that late and doubled events of an earlier step cannot enter. The channel
// has room for the timeout and the event that the step waits for.
type step chan event

// post delivers e. Only a doubled event finds no room.
func (s step) post(e event) {
	select {
	case s <- e:
	default:
	}
}

// refusal is a server that refused the request with not-run.
type refusal struct {
	server  zinniatide.BackendServerID
	version zinniatide.IndexVersion
	code    zinniatide.Code
}

// call is one run of a request, on the caller's goroutine.
type call struct {
	executor *Executor
	request  zinniatide.ExecuteRequest
	claim    zinniatide.Claim
	print    zinniatide.Fingerprint
	until    zinniatide.Millis
	stop     func()
	refusals []refusal
	skip     []zinniatide.BackendServerID // scratch
	failure  zinniatide.Code
	// abandoned is set when the call has given up its claim.
	abandoned atomic.Bool
	pass      *quarantiner.Pass
}

func (c *call) stopTimer() {
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
}

// begin starts a step that times out at the given time.
func (c *call) begin(at zinniatide.Millis) step {
	c.stopTimer()
	s := make(step, 2)
	c.stop = c.executor.Timer.After(at-c.executor.Clock.Now(), func() { s.post(event{timeout: true}) })
	return s
}

// sleep waits for d, at most to the deadline.
func (c *call) sleep(d zinniatide.Millis) {
	<-c.begin(min(c.executor.Clock.Now()+d, c.until))
}

func (c *call) run() ([]byte, *zinniatide.Refusal) {
	reply, refusal := c.obtain()
	if refusal != nil {
		return nil, refusal
	}
	if !reply.Granted {
		return denied(&reply)
	}
	// The canary comes after the claim, so that a repeated request gets its
	// recorded result at once.
	if c.pass, refusal = c.executor.Quarantiner.Enter(c.print, c.until); refusal != nil {
		c.finish(zinniatide.OutcomeNotRun, nil)
		return nil, refusal
	}
	return c.dispatch()
}

// obtain claims the request id. A claim without reply is repeated with the
// same token, which is granted again if it was granted before. When the fate
// of the claim stays open the request is not dispatched, and the leader is
// told so that the id becomes free.
func (c *call) obtain() (zinniatide.ClaimReply, *zinniatide.Refusal) {
	x := c.executor
	open := false
	delay := x.config.ClaimRetryDelay
	for {
		reply, err := c.claimOnce()
		if err == nil {
			return reply, nil
		}
		open = open || mayBeClaimed(err)
		if x.Clock.Now()+delay >= c.until {
			if open {
				c.abandoned.Store(true)
				c.finish(zinniatide.OutcomeNotRun, nil)
			}
			return reply, zinniatide.Refuse(zinniatide.CodeNoQuorum, "the request id could not be claimed: %v", err)
		}
		c.sleep(delay)
		delay = min(2*delay, x.config.ClaimRetryMax)
	}
}

func (c *call) claimOnce() (zinniatide.ClaimReply, error) {
	// Part of the time is kept for the request itself: a claim that is granted
	// at the deadline would help nobody.
	now := c.executor.Clock.Now()
	s := c.begin(now + max((c.until-now)/2, 1))
	c.executor.Claims.Claim(c.claim, func(reply zinniatide.ClaimReply, err error) {
		if c.abandoned.Load() && err == nil && reply.Granted {
			// The claim was granted after the call had given up.
			c.finish(zinniatide.OutcomeNotRun, nil)
			return
		}
		reply.Body = bytes.Clone(reply.Body)
		s.post(event{reply: reply, err: err})
	})
	e := <-s
	if e.timeout {
		return e.reply, zinniatide.ErrTimeout
	}
	return e.reply, e.err
}

// mayBeClaimed reports whether a claim that failed with err may have reached
// the log.
func mayBeClaimed(err error) bool {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) {
		return refusal.Outcome != zinniatide.OutcomeNotRun
	}
	return !errors.Is(err, zinniatide.ErrNotSent)
}

// denied turns the reply to a claim that was not granted into the answer to
// the caller.
func denied(reply *zinniatide.ClaimReply) ([]byte, *zinniatide.Refusal) {
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

// dispatch sends the claimed request to one server after the other, each only
// when the one before has refused with not-run.
func (c *call) dispatch() ([]byte, *zinniatide.Refusal) {
	x := c.executor
	delay := x.config.DispatchRetryDelay
	for {
		now := x.Clock.Now()
		if now >= c.until {
			return c.giveUp()
		}
		if x.Configurations.LeaseUntil() <= now {
			// The claim took long, and the configuration may have changed.
			c.failure = zinniatide.CodeNotServing
			return c.giveUp()
		}
		t, _ := c.choose(now)
		if t.replica == nil && !t.pending {
			return c.giveUp()
		}
		if t.replica != nil {
			result, ended := c.send(now, &t)
			if !ended {
				return nil, &zinniatide.Refusal{Code: zinniatide.CodeDeadlinePassed, Outcome: zinniatide.OutcomeUnknown,
					Message: "the deadline has passed while the request was running"}
			}
			if result.Outcome != zinniatide.OutcomeNotRun {
				return c.conclude(&result)
			}
			c.failure = result.Code
			c.refusals = append(c.refusals, refusal{t.replica.Server, t.version.Number, result.Code})
			if _, fresh := c.choose(now); fresh {
				continue // a server that was not asked yet is left
			}
		}
		if x.Clock.Now()+delay >= c.until {
			return c.giveUp()
		}
		c.sleep(delay)
		delay = min(2*delay, x.config.DispatchRetryMax)
	}
}

// target is where a request is sent.
type target struct {
	version *planner.Version
	shard   int
	replica *planner.Replica // nil when there is none now
	// pending is set when a server may be available after a delay.
	pending bool
}

// choose plans the shard of the key, on the newest version that has a server.
// Servers that have refused come last, and those that refused the version not
// at all. Fresh is set when the server has not been asked before.
func (c *call) choose(now zinniatide.Millis) (t target, fresh bool) {
	service := c.executor.Planner.Index().Service(c.request.Service)
	if service == nil {
		return target{}, false
	}
	for _, again := range []bool{false, true} {
		for _, v := range service.Newest() {
			shard := v.ShardOf(c.request.Key)
			if shard < 0 {
				continue
			}
			t.pending = t.pending || v.Pending(shard)
			if replica := c.executor.pick(v, shard, c.barred(v, again), now); replica != nil {
				return target{version: v, shard: shard, replica: replica}, !again
			}
		}
	}
	return t, false
}

// barred lists the servers that must not be asked. A server that refused for
// another reason than the version may be asked again.
func (c *call) barred(v *planner.Version, again bool) []zinniatide.BackendServerID {
	c.skip = c.skip[:0]
	for _, r := range c.refusals {
		if r.version == v.Number && (!again || r.code == zinniatide.CodeWrongVersion) {
			c.skip = append(c.skip, r.server)
		}
	}
	return c.skip
}

// send dispatches the request once. Ended is false when the deadline passed
// first; the outcome is then recorded when it arrives.
func (c *call) send(now zinniatide.Millis, t *target) (zinniatide.SubResult, bool) {
	x := c.executor
	s := c.begin(c.until)
	v, replica := t.version, t.replica
	// state decides between the result and the deadline: whoever comes first.
	var state, doubled atomic.Bool
	replica.Record.Begin()
	service := x.Observer.Service(c.request.Service)
	x.Forwarder.DispatchAll([]zinniatide.SubRequest{{
		Operation: zinniatide.OperationExecute, RequestID: c.request.RequestID, Service: c.request.Service,
		Version: v.Number, Range: v.Shards[t.shard], Server: replica.Server, Tenant: c.request.Tenant,
		Class: c.request.Class, Fingerprint: c.print, Deadline: c.until, Body: c.request.Body,
	}}, func(_ int, result zinniatide.SubResult) {
		if !doubled.CompareAndSwap(false, true) {
			return
		}
		c.judge(&result)
		x.Admitter.Observe(c.request.Service, &result)
		replica.Record.Result(service, x.Clock.Now(), now, &result)
		if state.CompareAndSwap(false, true) {
			s.post(event{result: result})
			return
		}
		c.record(&result)
		c.pass.End()
	})
	e := <-s
	if !e.timeout {
		return e.result, true
	}
	if !state.CompareAndSwap(false, true) {
		return (<-s).result, true // the result came together with the timeout
	}
	// The sub-request is not cancelled. Its deadline ends it, and a result that
	// still arrives is recorded for repeated requests.
	return zinniatide.SubResult{}, false
}

// judge tells the quarantiner what a server made of the request. There is one
// dispatch at a time, and a request that may have run is not sent again.
func (c *call) judge(result *zinniatide.SubResult) {
	switch {
	case result.Crashed:
		c.pass.Crashed(c.pass.CanaryServers() > 0, nil)
		c.pass.End()
	case result.Outcome == zinniatide.OutcomeDone:
		c.pass.Proven()
	case result.Outcome != zinniatide.OutcomeNotRun:
		c.pass.End()
	}
}

// conclude records a result that is not not-run and returns it.
func (c *call) conclude(result *zinniatide.SubResult) ([]byte, *zinniatide.Refusal) {
	c.record(result)
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

// record reports the outcome of a dispatched request to the claim store.
// Whatever is neither done nor not-run is unknown.
func (c *call) record(result *zinniatide.SubResult) {
	switch result.Outcome {
	case zinniatide.OutcomeDone:
		c.finish(zinniatide.OutcomeDone, result.Body)
	case zinniatide.OutcomeNotRun:
		c.finish(zinniatide.OutcomeNotRun, nil)
	default:
		c.finish(zinniatide.OutcomeUnknown, nil)
	}
}

// giveUp ends a claimed request that no server has run.
func (c *call) giveUp() ([]byte, *zinniatide.Refusal) {
	c.pass.End()
	c.finish(zinniatide.OutcomeNotRun, nil)
	code := c.failure
	if code == "" {
		code = zinniatide.CodeNoServer
	}
	return nil, zinniatide.Refuse(code, "no backend server took the request before its deadline")
}

func (c *call) finish(outcome zinniatide.Outcome, body []byte) {
	if len(body) > zinniatide.MaxRecordedBody {
		body = nil // repeated requests learn that it ran, not its result
	}
	c.executor.Claims.Finish(zinniatide.ClaimResult{RequestID: c.claim.RequestID, Token: c.claim.Token, Outcome: outcome, Body: body})
}
