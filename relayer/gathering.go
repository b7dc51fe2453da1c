package relayer

import (
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/ranker"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/transporter"
)

// Bounds of the delay before a part is sent to a second server, as shares of
// the target latency.
const (
	minHedgeShare = 0.15
	maxHedgeShare = 0.45
	// initialHedgeShare applies until the VM has measured enough latencies. It
	// leaves time to set up a connection to the second server.
	initialHedgeShare = 0.25
)

// shardsPerMillisecond is the number of shards whose stamps take a millisecond
// to write and send, on a VM with a fifth of a core and a 20 Mbit/s link.
const shardsPerMillisecond = 15

// sharedPartsPerMillisecond is the number of parts beyond maxOwnParts for which
// such a VM needs another millisecond: they come back through delegates, whose
// replies are merged after the cutoff.
const sharedPartsPerMillisecond = 12

// minCutoffShare is the least share of the target latency that is left for the parts. With
// half of it, a query of 135 shards with a target of 40 ms was cut off too late for its
// margin of 26 ms, so that most answers missed the target. In a third, parts that come late
// would be missing from most answers.
const minCutoffShare = 0.35

// gatherRequest answers a request by merging the responses of one server of
// each shard.
type gatherRequest struct {
	activeRequest
	parts      []part
	received   int // parts that have arrived
	pending    int // parts that may still arrive
	topRecords *ranker.Ranker
	// cutoff is when the answer is sent without the missing parts, provided that
	// enough have arrived.
	cutoff      zinniatide.Millis
	delegations []*delegation
	// sendDelegationReply replies to the delegating VM. It is nil if the request
	// came from a caller.
	sendDelegationReply func()
	// firstReplySent is set once the first reply has been sent to the delegating
	// VM.
	firstReplySent bool
	// lender identifies the delegation that the request serves, if the delegating VM
	// can be asked for attempts. Otherwise it is nil.
	lender *delegationKey
}

// part is the contribution of one shard to the answer.
type part struct {
	service  *selector.Service
	tried    []*selector.Server
	inFlight int
	// possibleRuns is the number of servers that may have started the request, with
	// lent, the attempts that a delegate was lent. attempts is how many servers this VM
	// may use.
	possibleRuns, lent, attempts int
	// asking is set while the delegating VM is asked for an attempt for a failed part.
	asking      bool
	sheds       int
	done        bool
	failed      bool
	reported    bool // a reply to the delegating VM lists how the part ended
	stamp       string
	body        []byte // kept if the request hedges parts for another VM
	firstSentAt zinniatide.Millis
	delegation  *delegation // set while a delegate gathers the part
}

func (g *gatherRequest) start() {
	o := g.r.selectionOptions(nil)
	g.parts = make([]part, len(g.route.Shards))
	available, sendable := 0, 0
	var unavailable []*selector.Service
	for i, shard := range g.route.Shards {
		p := &g.parts[i]
		p.attempts = max(g.route.MaxAttempts, 1)
		p.service = g.r.services[shard]
		p.failed = p.service == nil || !p.service.Available(o)
		if !p.failed {
			available++
			if p.service.MaySendNow(o) {
				sendable++
			}
		} else if p.service != nil {
			unavailable = append(unavailable, p.service)
		}
	}
	if available < g.route.MinShards && g.sendDelegationReply == nil {
		g.r.refuse(g.req, g.route, g.respond, statusUnavailable,
			"too few shards can be reached", g.r.retryAfterOf(o, unavailable...), "reachable", available, "needed", g.route.MinShards)
		g.finished = true
		return
	}
	// Refused before any part is sent: a query that fails later may have run.
	if sendable < g.route.MinShards && g.sendDelegationReply == nil {
		g.r.refuse(g.req, g.route, g.respond, statusUnavailable,
			"servers that are cold or were paused have their rate", shortRetryAfter, "reachable", available, "free", sendable, "needed", g.route.MinShards)
		g.finished = true
		return
	}
	g.pending = available
	g.topRecords = ranker.New(g.route.TopRecords)
	if g.sendDelegationReply == nil {
		margin := g.r.config.ReplyMargin + replyTime(len(g.parts))
		if g.req.NewConnection {
			margin += g.r.config.ConnectMargin
		}
		least := zinniatide.Millis(minCutoffShare * float64(g.route.TargetLatency))
		g.cutoff = min(g.req.ArrivedAt+max(g.route.TargetLatency-margin, least), g.deadline-deadlineMargin)
		g.delegateParts(o)
	}
	o.Hedge = g.hedgesForPeer
	g.after(g.cutoff-o.Now, g.atCutoff)
	g.after(g.deadline-deadlineMargin-o.Now, g.timeout)
	for i := range g.parts {
		p := &g.parts[i]
		if p.failed || p.delegation != nil || g.finished {
			continue
		}
		s := g.pickFirst(p, o)
		if s == nil {
			g.failPart(p, "servers that are cold or were paused have their rate")
			continue
		}
		if !g.hedgesForPeer {
			p.service.Budget.RecordRequest(o.Now)
			g.r.countRequest(p.service)
		}
		g.sendPart(i, s)
	}
	if !g.finished {
		g.after(g.hedgeDelay(), g.hedge)
		g.finishIfDecided("")
	}
}

// pickFirst returns the server that a part is sent to first. A hedge for another VM is not
// the first send of its part.
func (g *gatherRequest) pickFirst(p *part, o *selector.Options) *selector.Server {
	if g.hedgesForPeer {
		return p.service.Pick(o)
	}
	return g.r.pickFirst(p.service, o)
}

// replyTime returns the time reserved for merging and sending the answer of a query
// of many shards.
func replyTime(shards int) zinniatide.Millis {
	return zinniatide.Millis(shards/shardsPerMillisecond + max(shards-maxOwnParts, 0)/sharedPartsPerMillisecond)
}

// hedgeDelay returns the delay after which missing parts are sent to a second
// server.
func (g *gatherRequest) hedgeDelay() zinniatide.Millis {
	target := float64(g.route.TargetLatency)
	delay := initialHedgeShare * target
	if latency := g.r.latencyOf(g.route.ID); latency.HasEnoughSamples() {
		delay = latency.HighQuantile
	}
	return zinniatide.Millis(min(max(delay, minHedgeShare*target), maxHedgeShare*target))
}

func (g *gatherRequest) sendPart(i int, s *selector.Server) {
	p := &g.parts[i]
	if len(p.tried) == 0 {
		p.firstSentAt = g.r.deps.Clock.Now()
	}
	p.tried = append(p.tried, s)
	p.possibleRuns++
	p.inFlight++
	g.send(s, func(_ *attempt, a transporter.Answer) { g.handleAnswer(i, a) })
}

// hedge sends each late part to a second server.
func (g *gatherRequest) hedge() {
	var late, lacking []int
	for i := range g.parts {
		p := &g.parts[i]
		switch {
		case !g.isLate(p):
		case g.mayAskForAttempt(p):
			lacking = append(lacking, i)
		default:
			late = append(late, i)
		}
	}
	g.hedgeParts(late)
	if len(lacking) > 0 && !g.finished {
		g.askForAttempts(lacking, g.hedgeParts)
	}
}

// isLate reports whether a part waits for a single server.
func (g *gatherRequest) isLate(p *part) bool {
	return !p.done && !p.failed && p.inFlight == 1 && p.delegation == nil
}

// hedgeParts sends the parts that are still late to second servers.
func (g *gatherRequest) hedgeParts(indexes []int) {
	sent, denied, left := 0, 0, 0
	remote := map[zinniatide.ZoneID][]int{}
	for _, i := range indexes {
		p := &g.parts[i]
		if g.finished || !g.isLate(p) {
			continue
		}
		if g.leavesHedge(p.service) {
			left++
			continue
		}
		if zone := g.hedgeZone(p); zone != "" {
			remote[zone] = append(remote[zone], i)
			continue
		}
		if g.resendPart(i) {
			sent++
		} else {
			denied++
		}
	}
	for zone, indexes := range remote {
		hedged, rejected := g.hedgeThroughDelegate(zone, indexes)
		sent, denied = sent+hedged, denied+rejected
	}
	if sent+denied+left > 0 {
		g.r.metrics.hedges.Add(float64(sent))
		klog.InfoS("hedging late parts", "step", "gather", "request", g.req.ID, "route", g.route.ID, "sent", sent,
			"denied", denied, "left-to-others", left, "got", g.received, "after-ms", g.r.deps.Clock.Now()-g.req.ArrivedAt)
	}
}

// resendPart sends a part to another server and reports whether it did.
func (g *gatherRequest) resendPart(i int) bool {
	p := &g.parts[i]
	if !p.hasAttempt() {
		return false
	}
	o := g.r.selectionOptions(p.tried)
	o.Hedge = p.inFlight > 0
	o.LastAttempt = !o.Hedge && p.sheds == maxSheds-1
	s := p.service.Pick(o)
	if s == nil || !p.service.Budget.TryTake(o.Now) {
		return false
	}
	g.sendPart(i, s)
	return true
}

func (g *gatherRequest) handleAnswer(i int, a transporter.Answer) {
	p := &g.parts[i]
	p.inFlight--
	if !a.Result.MayHaveRun() {
		p.possibleRuns--
	}
	if p.done {
		return
	}
	if a.Result == transporter.Answered && a.Status == 200 && a.Stamp != "" {
		g.acceptPart(p, &a)
		return
	}
	if a.Result == transporter.NotRun {
		p.sheds++
	}
	if p.sheds < maxSheds && g.worthResending(p) {
		if p.inFlight == 0 && g.mayAskForAttempt(p) {
			g.resendWithLentAttempt(i, a.Result.String())
			return
		}
		if g.resendPart(i) {
			return
		}
	}
	g.failPart(p, a.Result.String())
}

// worthResending reports whether a failed part should be sent again. If enough
// parts can arrive without it, the retry budget must be at least half full: the
// rest of the budget is reserved for queries that would fail otherwise.
func (g *gatherRequest) worthResending(p *part) bool {
	spare := g.received + g.pending - 1 - g.route.MinShards
	return spare < 0 || p.service.Budget.AtLeastHalfFull(g.r.deps.Clock.Now())
}

// failPart marks a part as failed unless an attempt or a delegate may still
// deliver it.
func (g *gatherRequest) failPart(p *part, reason string) {
	if p.inFlight == 0 && p.delegation == nil && !p.asking && !p.failed && !p.done {
		p.failed = true
		g.pending--
		g.finishIfDecided("parts failed: " + reason)
	}
}

func (g *gatherRequest) acceptPart(p *part, a *transporter.Answer) {
	g.receivePart(p, a.Stamp)
	g.topRecords.Add(a.Body)
	if g.hedgesForPeer {
		p.body = append([]byte(nil), a.Body...)
	}
	// The latency counts from the first send, so that resent parts count as late.
	g.r.latencyOf(g.route.ID).Add(float64(g.r.deps.Clock.Now() - p.firstSentAt))
	g.finishIfDecided("")
}

// finishIfDecided ends the request if no more parts can arrive, if enough parts
// have arrived and the cutoff has passed, or if too few parts can still arrive.
func (g *gatherRequest) finishIfDecided(reason string) {
	switch {
	case g.finished:
	case g.received+g.pending < g.route.MinShards:
		g.observeResult(zinniatide.CapacityFailed)
		g.recallOpen()
		g.fail(reason, shortRetryAfter, "got", g.received, "needed", g.route.MinShards, "shards", g.missingShards(), "tried", g.triedServers())
	case g.pending == 0, g.received >= g.route.MinShards && g.r.deps.Clock.Now() >= g.cutoff:
		g.replyWithReceived()
	}
}

func (g *gatherRequest) atCutoff() { g.finishIfDecided("") }

// cancel ends the request because the caller has disconnected.
func (g *gatherRequest) cancel() {
	g.r.deps.Lock.Lock()
	defer g.r.deps.Lock.Unlock()
	g.cancelDelegations(false)
	g.cancelLocked()
}

// timeout ends the request at its deadline.
func (g *gatherRequest) timeout() { g.end("timeout", 0) }

// end ends the request with the parts that have arrived. retryAfter applies if no
// server has received any part.
func (g *gatherRequest) end(reason string, retryAfter zinniatide.Millis) {
	if g.received >= g.route.MinShards {
		g.replyWithReceived()
		return
	}
	g.observeResult(zinniatide.CapacityFailed)
	g.mayHaveRun = g.mayHaveRun || len(g.delegations) > 0
	g.recallOpen()
	g.fail(reason, retryAfter, "got", g.received, "needed", g.route.MinShards, "shards", g.missingShards(), "tried", g.triedServers())
}

// recallOpen withdraws what no server has received yet and ends the delegations. It
// records whether servers may still run parts: 503 would be false then.
func (g *gatherRequest) recallOpen() {
	g.recallUnsent()
	for _, d := range g.delegations {
		g.mayHaveRun = g.mayHaveRun || d.open
	}
	g.cancelDelegations(true)
}

// stamps returns the stamps of the parts that have arrived.
func (g *gatherRequest) stamps() []string {
	out := make([]string, 0, g.received)
	for i := range g.parts {
		if g.parts[i].done {
			out = append(out, g.parts[i].stamp)
		}
	}
	return out
}

// replyWithReceived answers with the parts that have arrived.
func (g *gatherRequest) replyWithReceived() {
	if g.sendDelegationReply != nil {
		g.sendDelegationReply()
		return
	}
	result := zinniatide.CapacityInTime
	if g.r.deps.Clock.Now() > g.cutoff {
		result = zinniatide.CapacityLate
	}
	g.observeResult(result)
	g.cancelDelegations(true)
	missing := len(g.parts) - g.received
	now := g.r.deps.Clock.Now()
	outcome := "answered"
	if missing > 0 {
		outcome = "partial"
		g.r.metrics.partialAnswers.Inc()
		g.r.metrics.missingShards.Add(float64(missing))
		klog.InfoS("sending a partial answer", "step", "gather", "request", g.req.ID, "route", g.route.ID, "missing", missing,
			"shards", g.missingShards(), "tried", g.triedServers(), "after-ms", now-g.req.ArrivedAt, "cutoff-ms", g.cutoff-g.req.ArrivedAt, "table", g.r.tableNumber())
	}
	if took := now - g.req.ArrivedAt; missing == 0 && took > g.route.TargetLatency {
		klog.InfoS("answer exceeded the target latency", "step", "gather", "request", g.req.ID, "route", g.route.ID, "after-ms", took,
			"cutoff-ms", g.cutoff-g.req.ArrivedAt, "helpers", len(g.delegations), "table", g.r.tableNumber())
	}
	g.r.metrics.observeOutcome(g.route, g.priority, outcome, float64(now-g.req.ArrivedAt))
	names := &g.r.deps.Names
	stamps := g.stamps()
	header := headerline.Append(make([]byte, 0, 64+len(stamps)*40), names.PartStamps, strings.Join(stamps, ", "))
	header = headerline.Append(header, names.MissingParts, strconv.Itoa(missing))
	g.finish(Reply{Status: 200, Header: header, Body: g.topRecords.AppendSorted(nil)})
}

// maxNamedShards bounds the shards and servers named in a log line.
const maxNamedShards = 8

// triedServers describes the servers that were tried for the missing shards.
func (g *gatherRequest) triedServers() []string {
	now := g.r.deps.Clock.Now()
	var out []string
	for i := range g.parts {
		for _, s := range g.parts[i].tried {
			if !g.parts[i].done && len(out) < maxNamedShards {
				out = append(out, s.Describe(now))
			}
		}
	}
	return out
}

func (g *gatherRequest) missingShards() []zinniatide.ServiceID {
	var out []zinniatide.ServiceID
	for i := range g.parts {
		if !g.parts[i].done && len(out) < maxNamedShards {
			out = append(out, g.route.Shards[i])
		}
	}
	return out
}
