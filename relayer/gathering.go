package relayer

import (
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/ranker"
	"zinniatide.example/zinniatide/selector"
	"zinniatide.example/zinniatide/throttler"
	"zinniatide.example/zinniatide/transporter"
)

// Bounds of the delay after which a second server is asked for a part, as
// shares of the target latency.
const (
	leastHedgeShare = 0.15
	mostHedgeShare  = 0.45
	// firstHedgeShare holds until the VM has seen how long answers take. It
	// leaves time for a second server whose connection has to be set up.
	firstHedgeShare = 0.25
)

// shardsPerMilli is the number of shards whose stamps take a millisecond to
// write and to send, on a VM with a fifth of a core and a link of 20 Mbit/s.
const shardsPerMilli = 15

// gathering answers a request from one server of each shard.
type gathering struct {
	task
	parts   []part
	got     int // parts that arrived
	pending int // parts that may still arrive
	ranker  *ranker.Ranker
	// cutoff is when an answer with enough parts goes out without the others.
	cutoff    zinniatide.Millis
	groups    []*group
	throttler *throttler.Throttler // nil once the gathering has ended, or runs for another VM
	// deliver ends a gathering that runs for another VM; nil for a caller's.
	deliver func()
	// delivered is set once a first answer has gone to that VM.
	delivered bool
}

// part is the share of one shard in the answer.
type part struct {
	service *selector.Service
	tried   []*selector.Server
	running int
	runs    int // servers that may have begun to run the request
	sheds   int
	done    bool
	failed  bool
	told    bool // the VM that the gathering runs for knows how the part ended
	stamp   string
	body    []byte            // kept for a gathering of repeats
	begun   zinniatide.Millis // of the first send
	group   *group            // set while another VM gathers the part
}

func (g *gathering) begin() {
	o := g.r.options(nil)
	g.parts = make([]part, len(g.route.Shards))
	available := 0
	for i, shard := range g.route.Shards {
		p := &g.parts[i]
		p.service = g.r.services[shard]
		p.failed = p.service == nil || !p.service.Available(o)
		if !p.failed {
			available++
		}
	}
	if available < g.route.LeastShards && g.deliver == nil {
		g.r.refuse(g.req, g.route, g.respond, statusUnavailable,
			"too few shards can be reached", lostRetryAfter, "reachable", available, "needed", g.route.LeastShards)
		g.ended = true
		return
	}
	if g.deliver == nil {
		g.throttler = g.r.throttlerOf(g.route.ID)
		if !g.throttler.Admit() {
			g.throttler = nil
			g.r.refuse(g.req, g.route, g.respond, statusUnavailable, "overloaded", g.route.TargetLatency)
			g.ended = true
			return
		}
	}
	g.pending = available
	g.ranker = ranker.New(g.route.TopRecords)
	if g.deliver == nil {
		margin := g.r.config.ReplyMargin + zinniatide.Millis(len(g.parts)/shardsPerMilli)
		if g.req.Connected {
			margin += g.r.config.ConnectMargin
		}
		g.cutoff = min(g.req.Arrived+max(g.route.TargetLatency-margin, g.route.TargetLatency/2), g.end-endMargin)
		g.delegate(o)
	}
	g.after(g.cutoff-o.Now, g.atCutoff)
	g.after(g.end-endMargin-o.Now, g.timeout)
	for i := range g.parts {
		p := &g.parts[i]
		if p.failed || p.group != nil || g.ended {
			continue
		}
		s := p.service.Pick(o)
		if s == nil {
			g.giveUp(p, "cold servers have their rate")
			continue
		}
		if !g.repeat {
			p.service.Budget.Request(o.Now)
		}
		g.sendPart(p, s)
	}
	if !g.ended {
		g.after(g.hedgeDelay(), g.hedge)
		g.check("")
	}
}

// hedgeDelay is when the parts that have not arrived are asked for again.
func (g *gathering) hedgeDelay() zinniatide.Millis {
	target := float64(g.route.TargetLatency)
	delay := firstHedgeShare * target
	if spread := g.r.spreadOf(g.route.ID); spread.Known() {
		delay = spread.High
	}
	return zinniatide.Millis(min(max(delay, leastHedgeShare*target), mostHedgeShare*target))
}

func (g *gathering) sendPart(p *part, s *selector.Server) {
	if len(p.tried) == 0 {
		p.begun = g.r.d.Clock.Now()
	}
	p.tried = append(p.tried, s)
	p.runs++
	p.running++
	g.send(s, func(_ *try, a transporter.Answer) { g.answered(p, a) })
}

// hedge asks a second server for each part that is late.
func (g *gathering) hedge() {
	sent, denied := 0, 0
	remote := map[zinniatide.ZoneID][]int{}
	for i := range g.parts {
		p := &g.parts[i]
		if g.ended || p.done || p.failed || p.running != 1 || p.group != nil {
			continue
		}
		if zone := g.repeatZone(p); zone != "" {
			remote[zone] = append(remote[zone], i)
			continue
		}
		if g.again(p) {
			sent++
		} else {
			denied++
		}
	}
	for zone, list := range remote {
		s, d := g.repeatRemotely(zone, list)
		sent, denied = sent+s, denied+d
	}
	if sent+denied > 0 {
		g.r.metrics.hedges.Add(float64(sent))
		klog.InfoS("late parts asked for again", "step", "gather", "request", g.req.ID, "route", g.route.ID, "sent", sent,
			"denied", denied, "got", g.got, "after-ms", g.r.d.Clock.Now()-g.req.Arrived)
	}
}

// again sends a part to another server, and reports whether it did.
func (g *gathering) again(p *part) bool {
	if p.runs >= max(g.route.MaxAttempts, 1) {
		return false
	}
	o := g.r.options(p.tried)
	s := p.service.Pick(o)
	if s == nil || !p.service.Budget.Take(o.Now) {
		return false
	}
	g.sendPart(p, s)
	return true
}

func (g *gathering) answered(p *part, a transporter.Answer) {
	p.running--
	if !a.Result.MayHaveRun() {
		p.runs--
	}
	if p.done {
		return
	}
	if a.Result == transporter.Answered && a.Status == 200 && a.Stamp != "" {
		g.take(p, &a)
		return
	}
	if a.Result == transporter.NotRun {
		p.sheds++
	}
	if p.sheds < maxSheds && g.worthRepeating(p) && g.again(p) {
		return
	}
	g.giveUp(p, a.Result.String())
}

// worthRepeating reports whether a part that failed should be asked for again.
// While enough parts can arrive without it, that is so only if the budget has
// plenty: the last repeats belong to queries that could not be answered
// otherwise.
func (g *gathering) worthRepeating(p *part) bool {
	spare := g.got + g.pending - 1 - g.route.LeastShards
	return spare < 0 || p.service.Budget.Plenty(g.r.d.Clock.Now())
}

// giveUp notes that a part will not arrive, unless an exchange for it is open.
func (g *gathering) giveUp(p *part, reason string) {
	if p.running == 0 && p.group == nil && !p.failed && !p.done {
		p.failed = true
		g.pending--
		g.check("parts failed: " + reason)
	}
}

func (g *gathering) take(p *part, a *transporter.Answer) {
	p.done = true
	g.pending--
	g.got++
	g.ranker.Add(a.Body)
	p.stamp = a.Stamp
	if g.repeat {
		p.body = append([]byte(nil), a.Body...)
	}
	// Counted from the first send: a part that was asked for again is a late one.
	g.r.spreadOf(g.route.ID).Add(float64(g.r.d.Clock.Now() - p.begun))
	g.check("")
}

// check ends the gathering when nothing more can arrive, when enough has
// arrived after the cutoff, or when too few parts can arrive.
func (g *gathering) check(reason string) {
	switch {
	case g.ended:
	case g.got+g.pending < g.route.LeastShards:
		g.leave(true)
		g.cancelGroups(true)
		g.fail(reason, shortRetryAfter, "got", g.got, "needed", g.route.LeastShards, "shards", g.missingShards(), "tried", g.triedServers())
	case g.pending == 0, g.got >= g.route.LeastShards && g.r.d.Clock.Now() >= g.cutoff:
		g.reply()
	}
}

func (g *gathering) atCutoff() { g.check("") }

// cancel ends the gathering because its caller has left.
func (g *gathering) cancel() {
	g.r.d.Lock.Lock()
	defer g.r.d.Lock.Unlock()
	g.cancelGroups(false)
	if g.throttler != nil {
		g.throttler.Forget()
		g.throttler = nil
	}
	g.cancelLocked()
}

// timeout ends the gathering at its deadline.
func (g *gathering) timeout() {
	if g.got >= g.route.LeastShards {
		g.reply()
		return
	}
	g.leave(true)
	g.cancelGroups(true)
	g.ran = g.ran || len(g.open) > 0 || len(g.groups) > 0
	g.fail("timeout", 0, "got", g.got, "needed", g.route.LeastShards, "shards", g.missingShards(), "tried", g.triedServers())
}

// stamps lists the stamps of the parts that have arrived.
func (g *gathering) stamps() []string {
	out := make([]string, 0, g.got)
	for i := range g.parts {
		if g.parts[i].done {
			out = append(out, g.parts[i].stamp)
		}
	}
	return out
}

// leave ends the hold on the throttler. Late tells that the parts did not
// arrive in time, or were turned away.
func (g *gathering) leave(late bool) {
	if g.throttler == nil {
		return
	}
	g.throttler.Done(late, g.route.TargetLatency, g.r.d.Clock.Now())
	g.throttler = nil
}

// reply answers with the parts that have arrived.
func (g *gathering) reply() {
	if g.deliver != nil {
		g.deliver()
		return
	}
	g.leave(g.r.d.Clock.Now() > g.cutoff)
	g.cancelGroups(true)
	missing := len(g.parts) - g.got
	now := g.r.d.Clock.Now()
	outcome := "answered"
	if missing > 0 {
		outcome = "partial"
		g.r.metrics.partials.Inc()
		g.r.metrics.missing.Add(float64(missing))
		klog.InfoS("partial answer", "step", "gather", "request", g.req.ID, "route", g.route.ID, "missing", missing,
			"shards", g.missingShards(), "tried", g.triedServers(), "after-ms", now-g.req.Arrived, "cutoff-ms", g.cutoff-g.req.Arrived, "table", g.r.number())
	}
	if took := now - g.req.Arrived; missing == 0 && took > g.route.TargetLatency {
		klog.InfoS("late answer", "step", "gather", "request", g.req.ID, "route", g.route.ID, "after-ms", took,
			"cutoff-ms", g.cutoff-g.req.Arrived, "helpers", len(g.groups), "table", g.r.number())
	}
	g.r.metrics.outcome(g.route, outcome, float64(now-g.req.Arrived))
	names := &g.r.d.Names
	stamps := g.stamps()
	header := headerline.Append(make([]byte, 0, 64+len(stamps)*40), names.PartStamps, strings.Join(stamps, ", "))
	header = headerline.Append(header, names.MissingParts, strconv.Itoa(missing))
	g.finish(Reply{Status: 200, Header: header, Body: g.ranker.Append(nil)})
}

// maxNamedShards bounds the shards that a log line names.
const maxNamedShards = 8

// triedServers lists the servers that were asked for the missing shards, each
// with its expected wait.
func (g *gathering) triedServers() []string {
	now := g.r.d.Clock.Now()
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

func (g *gathering) missingShards() []zinniatide.ServiceID {
	var out []zinniatide.ServiceID
	for i := range g.parts {
		if !g.parts[i].done && len(out) < maxNamedShards {
			out = append(out, g.route.Shards[i])
		}
	}
	return out
}
