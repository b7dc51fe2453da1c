// Package granter decides which VM counts the requests of a workspace, and how many
// tokens that VM grants to the VMs that ask. It uses no network; all times are boot
// times of this VM.
package granter

import (
	"cmp"
	"math"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
)

const (
	// Lease is how long a token may be used after it was requested. A shorter one costs
	// more messages, a longer one more tokens with a lost VM.
	Lease zinniatide.Millis = 1000
	// ReturnTime is how long after its grant or its use a token can be given back. In that
	// time the bucket may have filled up again, so that more can be used in a window by
	// what arrives in ReturnTime. Most refusals are immediate.
	ReturnTime zinniatide.Millis = 200
	// transitTime covers tokens that are granted at the end of one window and used at the
	// beginning of the next: the reply takes 1 to 3 ms, on a busy VM up to this.
	transitTime zinniatide.Millis = 50
	// MaxConfirmationAge is how old the confirmation of the configuration may be on a VM
	// that grants tokens. Heartbeats every 800 ms and an election of about 1 s fit in it.
	MaxConfirmationAge zinniatide.Millis = 2000
	// clockMargin covers the drift between the clocks of two VMs and rounding.
	clockMargin zinniatide.Millis = 100
	// takeoverWait is how long a new counting VM waits. Its predecessor may have been
	// confirmed just before this VM installed the configuration, and grants for
	// MaxConfirmationAge. The second MaxConfirmationAge covers a predecessor that continues
	// because it skips the configuration in which it did not count: that configuration
	// must have ended, also on VMs that are cut off, before this VM begins to grant by it.
	takeoverWait = 2*MaxConfirmationAge + Lease + clockMargin
	// CountersPerZone is the number of relay VMs of each zone that count. All relay VMs
	// keep links to them, and each link costs two pings per second.
	CountersPerZone = 3
	// EmergencyRanks is the number of VMs after the counting one that grant tokens while
	// it does not.
	EmergencyRanks = 2
	// emergencyBurst and emergencyPerWindow are the tokens that one of them grants at
	// once and in each window, as fractions of the slack. Together both VMs grant at most
	// 2 x (0.2 + 0.08 x 1.2) = 59% of the slack in a window.
	emergencyBurst     = 0.2
	emergencyPerWindow = 0.08
	// waitingShare is the fraction of the slack that a VM grants for a workspace in a window
	// while it waits, whatever it granted before. Without it, no workspace is served for
	// seconds after a restart of all VMs. With three VMs that were all restarted in the
	// window, it adds 2 x 3 x 5% to the 59% above.
	waitingShare = 0.05
	// maxRetryAfter bounds the time for which refused callers are spread.
	maxRetryAfter zinniatide.Millis = 30_000
	// maxTokensPerTake bounds the tokens in one message. A VM that sends 205 requests/s
	// needs far fewer.
	maxTokensPerTake = 10_000
	// maxBuckets bounds the handovers that are kept. There are some thousand workspaces.
	maxBuckets = 20_000
	// maxEmptySince bounds the age of a bucket that is handed over, so that times do not
	// overflow. Limits of less than one request in a day are of no use.
	maxEmptySince zinniatide.Millis = 86_400_000
	// maxLimit bounds rates and bursts in messages, so that sums of them stay exact.
	maxLimit = 1e9
)

// Config configures a Granter.
type Config struct {
	VM zinniatide.VMID
	Bounds
}

// Bounds are the bounds of the requests of a workspace in any window over all VMs.
type Bounds struct {
	// Window is the time over which the limit is checked, Overshoot the fraction and Slack
	// the number of requests by which it may be exceeded.
	Window    zinniatide.Millis
	Overshoot float64
	Slack     float64
}

// Status says whether a VM could decide.
type Status uint8

// Values of Status. A VM that has decided and granted fewer tokens than were needed has
// none left.
const (
	Decided Status = iota
	// Elsewhere: another VM counts the workspace.
	Elsewhere
	// Waiting: tokens of the previous counting VM may still be valid.
	Waiting
	// Unconfirmed: the configuration of this VM may be outdated.
	Unconfirmed
	// NoEmergency: the emergency budget is used up.
	NoEmergency
)

func (s Status) String() string {
	return [...]string{"decided", "counted elsewhere", "new counting VM waits", "configuration unconfirmed", "emergency budget used up"}[min(s, NoEmergency)]
}

// Limit is the limit of a workspace by the routing table with the given number.
type Limit struct {
	Number zinniatide.TicketNumber `cbor:"1,keyasint"`
	Rate   float64                 `cbor:"2,keyasint"`
	Burst  float64                 `cbor:"3,keyasint"`
}

// Request asks for tokens.
type Request struct {
	Workspace zinniatide.WorkspaceID `cbor:"1,keyasint"`
	Limit     Limit                  `cbor:"2,keyasint"`
	// Needed are tokens for requests that wait, Extra tokens to be held for later ones.
	Needed int `cbor:"3,keyasint,omitempty"`
	Extra  int `cbor:"4,keyasint,omitempty"`
	// Unused are the held tokens of the reply with the given GrantedAt. They are
	// granted again.
	Unused    int               `cbor:"5,keyasint,omitempty"`
	GrantedAt zinniatide.Millis `cbor:"6,keyasint,omitempty"`
	// Returned are tokens of requests that have not run, granted or used at ReturnedAt or
	// later, by the clock of the counting VM.
	Returned   int               `cbor:"7,keyasint,omitempty"`
	ReturnedAt zinniatide.Millis `cbor:"8,keyasint,omitempty"`
	// Rank is 0 for the counting VM and higher for the VMs that grant in its place.
	Rank int `cbor:"9,keyasint,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Status Status `cbor:"1,keyasint,omitempty"`
	// Granted of the needed tokens were granted, with another Status than Decided from an
	// emergency budget. Held are the tokens that the asking VM
	// holds, instead of those it held when it asked.
	Granted   int               `cbor:"2,keyasint,omitempty"`
	Held      int               `cbor:"3,keyasint,omitempty"`
	GrantedAt zinniatide.Millis `cbor:"4,keyasint,omitempty"`
	// RetryAfter is when the first refused request may find a token, Spacing the time in
	// milliseconds between one request and the next, and VMs how many VMs had requests
	// refused recently.
	RetryAfter zinniatide.Millis `cbor:"5,keyasint,omitempty"`
	Spacing    float64           `cbor:"6,keyasint,omitempty"`
	VMs        int               `cbor:"7,keyasint,omitempty"`
	// Epoch is the configuration of the replying VM.
	Epoch zinniatide.Epoch `cbor:"8,keyasint,omitempty"`
	// Wait is how long a VM with status Waiting still waits.
	Wait zinniatide.Millis `cbor:"9,keyasint,omitempty"`
}

// Handover passes the bucket of a workspace to its next counting VM.
type Handover struct {
	To        zinniatide.VMID        `cbor:"-"`
	Workspace zinniatide.WorkspaceID `cbor:"1,keyasint"`
	// Epoch is the configuration by which the sender has stopped counting.
	Epoch zinniatide.Epoch `cbor:"2,keyasint"`
	// Tokens are in the bucket, and Held are those that VMs hold. Tokens is negative if no
	// request was counted yet: the bucket is full, or EmptySince is how long ago it was
	// empty.
	Tokens     float64           `cbor:"4,keyasint"`
	Held       int               `cbor:"5,keyasint,omitempty"`
	EmptySince zinniatide.Millis `cbor:"6,keyasint,omitempty"`
	// Early tokens are the limit for EarlyFor: the sender has begun to count within the
	// last window.
	Early    float64           `cbor:"7,keyasint,omitempty"`
	EarlyFor zinniatide.Millis `cbor:"8,keyasint,omitempty"`
}

// Configuration is what a Granter needs of a zinniatide.Configuration.
type Configuration struct {
	Epoch  zinniatide.Epoch
	Number zinniatide.TicketNumber
	// Counters are the VMs that count, sorted.
	Counters []zinniatide.VMID
	// Limits holds all workspaces. Those without a limit have rate 0.
	Limits map[zinniatide.WorkspaceID]Limit
}

// NewConfiguration returns the parts of c that the counting depends on. Counters is empty
// if no workspace has a limit.
func NewConfiguration(c *zinniatide.Configuration) *Configuration {
	n := &Configuration{Epoch: c.Epoch, Number: c.RoutingNumber, Limits: map[zinniatide.WorkspaceID]Limit{}}
	if c.Routing != nil {
		for i := range c.Routing.Workspaces {
			w := &c.Routing.Workspaces[i]
			n.Limits[w.Workspace] = Limit{c.RoutingNumber, w.Rate, w.Burst}
		}
	}
	if HasLimits(c) {
		n.Counters = Counters(c)
	}
	return n
}

// HasLimits reports whether any workspace has a limit.
func HasLimits(c *zinniatide.Configuration) bool {
	return c.Routing != nil && slices.ContainsFunc(c.Routing.Workspaces, func(w zinniatide.RelayWorkspace) bool { return w.Rate > 0 })
}

// Counters returns the VMs that count: the first CountersPerZone active relay VMs of each
// zone.
func Counters(c *zinniatide.Configuration) []zinniatide.VMID {
	var counters []zinniatide.VMID
	for _, zone := range c.RelayZones() {
		relays := c.Relays(zone)
		counters = append(counters, relays[:min(len(relays), CountersPerZone)]...)
	}
	slices.Sort(counters)
	return counters
}

// Ranking returns the counting VM of a workspace and the VMs that grant in its place.
func Ranking(w zinniatide.WorkspaceID, counters []zinniatide.VMID) []zinniatide.VMID {
	rest := slices.Clone(counters)
	var ranking []zinniatide.VMID
	for len(rest) > 0 && len(ranking) <= EmergencyRanks {
		vm := picker.Pick(string(w), rest)
		ranking = append(ranking, vm)
		rest = slices.DeleteFunc(rest, func(other zinniatide.VMID) bool { return other == vm })
	}
	return ranking
}

// Granter counts the requests of workspaces. It is not safe for concurrent use.
type Granter struct {
	config Config
	// wait is takeoverWait, and earlyTime the window, except in tests that plant a fault.
	wait, earlyTime zinniatide.Millis
	current         *Configuration
	// continuousSince is when this VM installed its first configuration, or the first one
	// after it had missed some.
	continuousSince zinniatide.Millis
	tenures         map[tenureKey]*tenure
	// limitedUntil is when workspaces lost their limit.
	limitedUntil map[zinniatide.WorkspaceID]zinniatide.Millis
	handovers    map[zinniatide.WorkspaceID]receivedHandover
	// waitingGrants is when this VM last granted tokens of waitingShare.
	waitingGrants map[zinniatide.WorkspaceID]zinniatide.Millis
}

type tenureKey struct {
	workspace zinniatide.WorkspaceID
	rank      int
}

// tenure is the time during which this VM has had a rank for a workspace without
// interruption.
type tenure struct {
	since zinniatide.Millis
	epoch zinniatide.Epoch // the configuration with which it began
	// startsAt is when no other VM can have tokens outstanding. None are granted before.
	startsAt zinniatide.Millis
	// full is set if nobody has granted a token within the last window.
	full   bool
	bucket *bucket // nil before the first request
	// emergency is the budget that this VM had with a higher rank until the tenure began. It
	// is used until emergencyUntil, which is before another VM can have that rank's budget.
	emergency      *tenure
	emergencyUntil zinniatide.Millis
}

type receivedHandover struct {
	Handover
	at zinniatide.Millis
}

// New returns a Granter without a configuration.
func New(config Config) *Granter {
	config.Window = max(config.Window, 1)
	return &Granter{config: config, wait: takeoverWait, earlyTime: config.Window, tenures: map[tenureKey]*tenure{}, limitedUntil: map[zinniatide.WorkspaceID]zinniatide.Millis{},
		handovers: map[zinniatide.WorkspaceID]receivedHandover{}, waitingGrants: map[zinniatide.WorkspaceID]zinniatide.Millis{}}
}

// Install applies a configuration. It returns the buckets to be handed over.
// confirmedAt is when the previous configuration was last confirmed.
func (g *Granter) Install(c *Configuration, now, confirmedAt zinniatide.Millis) []Handover {
	previous := g.current
	if previous == nil || now-confirmedAt > MaxConfirmationAge {
		// Other VMs may have counted under configurations that this VM has missed.
		previous, g.continuousSince = nil, now
		clear(g.tenures)
		clear(g.limitedUntil)
	}
	g.current = c
	consecutive := previous != nil && c.Epoch == previous.Epoch+1
	if !consecutive {
		g.continuousSince = now
	}
	if previous != nil && previous.Number == c.Number && slices.Equal(previous.Counters, c.Counters) {
		return nil
	}
	if previous != nil {
		g.recordRemovedLimits(previous, c, now)
	}
	tenures := make(map[tenureKey]*tenure, len(g.tenures))
	var handovers []Handover
	for w, limit := range c.Limits {
		if limit.Rate <= 0 {
			continue
		}
		ranking := Ranking(w, c.Counters)
		rank := slices.Index(ranking, g.config.VM)
		if old := g.tenures[tenureKey{w, 0}]; rank != 0 && old != nil && now >= old.startsAt && len(ranking) > 0 {
			handovers = append(handovers, g.handOver(w, old, ranking[0], now))
		}
		if rank < 0 {
			continue
		}
		key := tenureKey{w, rank}
		if tenures[key] = g.tenures[key]; tenures[key] == nil {
			tenures[key] = g.newTenure(key, now)
			g.keepEmergency(tenures[key], w, now)
			if consecutive {
				g.startEarlier(tenures[key], key, previous, now)
			}
		}
	}
	g.tenures = tenures
	for w, h := range g.handovers {
		if now-h.at > g.wait {
			delete(g.handovers, w)
		}
	}
	slices.SortFunc(handovers, func(a, b Handover) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Workspace, b.Workspace))
	})
	return handovers
}

// recordRemovedLimits records the workspaces that have no limit any more. They are
// forgotten once nobody can have granted tokens for longer than a window.
func (g *Granter) recordRemovedLimits(previous, c *Configuration, now zinniatide.Millis) {
	for w, at := range g.limitedUntil {
		if now-at > 2*(g.wait+g.config.Window) {
			delete(g.limitedUntil, w)
		}
	}
	for w, limit := range previous.Limits {
		if limit.Rate > 0 && c.Limits[w].Rate <= 0 {
			g.limitedUntil[w] = now
		}
	}
}

// waitOf returns how long a VM waits before it grants tokens with a rank.
func (g *Granter) waitOf(rank int) zinniatide.Millis {
	if rank > 0 {
		// The previous VM with this rank had a budget of its own in the same window.
		return g.wait + g.config.Window
	}
	return g.wait
}

func (g *Granter) newTenure(key tenureKey, now zinniatide.Millis) *tenure {
	return &tenure{since: now, epoch: g.current.Epoch, startsAt: now + g.waitOf(key.rank)}
}

// keepEmergency lets a VM whose rank has changed use its emergency budget while it waits:
// after the loss of a counting VM all VMs behind it have new ranks.
func (g *Granter) keepEmergency(t *tenure, w zinniatide.WorkspaceID, now zinniatide.Millis) {
	for rank := range EmergencyRanks + 1 {
		old := g.tenures[tenureKey{w, rank}]
		switch {
		case old == nil:
		case rank > 0 && now >= old.startsAt:
			old.emergency = nil
			t.emergency, t.emergencyUntil = old, now+g.wait
			return
		case old.emergency != nil:
			t.emergency, t.emergencyUntil = old.emergency, old.emergencyUntil
			return
		}
	}
}

// startEarlier shortens the wait of a new tenure if no VM granted tokens by the
// configuration before it, because that had no limit.
func (g *Granter) startEarlier(t *tenure, key tenureKey, previous *Configuration, now zinniatide.Millis) {
	switch {
	case previous.Limits[key.workspace].Rate > 0:
	case previous.Number == 0:
		t.startsAt, t.full = now, true // there was no routing table before
	default:
		free := max(g.continuousSince, g.limitedUntil[key.workspace]) + g.waitOf(key.rank)
		t.startsAt = max(now, free)
		t.full = now >= free+g.config.Window
	}
}

func (g *Granter) handOver(w zinniatide.WorkspaceID, t *tenure, to zinniatide.VMID, now zinniatide.Millis) Handover {
	h := Handover{To: to, Workspace: w, Epoch: g.current.Epoch, Tokens: -1}
	if b := t.bucket; b != nil {
		b.refill(now)
		h.Tokens, h.Held = b.tokens, b.heldCount()
		h.Early, h.EarlyFor = b.early, max(0, b.earlyUntil-now)
	} else if !t.full {
		h.EmptySince = now - t.startsAt
	}
	return h
}

// Receive accepts the bucket of a VM that has stopped counting.
func (g *Granter) Receive(h Handover, now zinniatide.Millis) {
	h.EmptySince, h.EarlyFor = min(h.EmptySince, maxEmptySince), min(max(h.EarlyFor, 0), g.config.Window)
	if len(g.handovers) < maxBuckets && !math.IsNaN(h.Tokens) && !math.IsNaN(h.Early) {
		g.handovers[h.Workspace] = receivedHandover{h, now}
	}
}

// soon is the Wait of a VM that expects a configuration or a handover.
const (
	soon zinniatide.Millis = 50
	// handoverTime is how long a handover may take: the configuration reaches the old and
	// the new counting VM at different times.
	handoverTime zinniatide.Millis = 400
)

// Take answers a request of a VM. confirmedAt is when the configuration was last
// confirmed.
func (g *Granter) Take(from zinniatide.VMID, r Request, now, confirmedAt zinniatide.Millis) Reply {
	c := g.current
	if c == nil {
		return Reply{Status: Unconfirmed}
	}
	reply := Reply{Epoch: c.Epoch}
	r.sanitize()
	own, known := c.Limits[r.Workspace]
	t := g.tenures[tenureKey{r.Workspace, r.Rank}]
	switch {
	case now-confirmedAt > MaxConfirmationAge:
		reply.Status = Unconfirmed
	case known && own.Rate <= 0 && c.Number >= r.Limit.Number:
		reply.Granted, reply.GrantedAt = r.Needed, now // the limit was removed
	case t == nil && c.Number < r.Limit.Number:
		reply.Status, reply.Wait = Waiting, soon
	case t == nil:
		reply.Status = Elsewhere
	default:
		g.takeFrom(t, from, &r, &reply, now)
	}
	return reply
}

func (g *Granter) takeFrom(t *tenure, from zinniatide.VMID, r *Request, reply *Reply, now zinniatide.Millis) {
	if h, ok := g.handovers[r.Workspace]; ok && r.Rank == 0 {
		delete(g.handovers, r.Workspace)
		// A handover of an earlier tenure says nothing about what happened in between.
		if h.Epoch >= t.epoch && now < t.startsAt {
			g.applyHandover(t, &h)
		}
	}
	if now < t.startsAt {
		reply.Status, reply.Wait = Waiting, t.startsAt-now
		if r.Rank == 0 && now-t.since < handoverTime {
			reply.Wait = min(reply.Wait, soon)
			return
		}
		if t.emergency != nil && now < t.emergencyUntil {
			g.takeEmergency(t.emergency, r, reply, now)
		} else {
			g.takeWhileWaiting(r, reply, now)
		}
		return
	}
	if r.Rank == 0 {
		g.bucketOf(t, r).answer(from, r, reply, now)
		return
	}
	g.takeEmergency(t, r, reply, now)
	if reply.Granted < r.Needed {
		reply.Status = NoEmergency
	}
}

// takeEmergency grants tokens of the emergency budget of a tenure with a rank above 0.
func (g *Granter) takeEmergency(t *tenure, r *Request, reply *Reply, now zinniatide.Millis) {
	b := t.bucket
	if b == nil {
		b = &bucket{filledAt: t.startsAt, tokens: maxLimit, held: map[zinniatide.VMID]heldTokens{}}
		t.bucket = b
	}
	b.limit.Rate, b.size = emergencyPerWindow*g.config.Slack*1000/float64(g.config.Window), emergencyBurst*g.config.Slack
	b.refill(now)
	reply.Granted, reply.GrantedAt = b.takeNeeded(r.Needed), now
}

// takeWhileWaiting grants tokens of waitingShare, once in a window.
func (g *Granter) takeWhileWaiting(r *Request, reply *Reply, now zinniatide.Millis) {
	last, granted := g.waitingGrants[r.Workspace]
	tokens := min(r.Needed, int(waitingShare*g.config.Slack+1e-9))
	if tokens <= 0 || granted && now-last < g.config.Window+ReturnTime+transitTime {
		return
	}
	if len(g.waitingGrants) >= maxBuckets {
		return
	}
	g.waitingGrants[r.Workspace] = now
	reply.Granted, reply.GrantedAt = tokens, now
}

func (g *Granter) applyHandover(t *tenure, h *receivedHandover) {
	t.startsAt = h.at
	switch {
	case h.Tokens >= 0:
		t.bucket = &bucket{filledAt: h.at, tokens: min(h.Tokens, maxLimit), held: map[zinniatide.VMID]heldTokens{},
			early: min(h.Early, maxLimit), earlyUntil: h.at + h.EarlyFor}
		if h.Held > 0 {
			t.bucket.held[""] = heldTokens{min(h.Held, maxTokensPerTake), h.at}
		}
	case h.EmptySince > 0:
		t.startsAt = h.at - h.EmptySince
	default:
		t.full = true
	}
}

// bucketOf returns the bucket of a tenure with rank 0, with the newest known limit.
func (g *Granter) bucketOf(t *tenure, r *Request) *bucket {
	b := t.bucket
	if b == nil {
		// refill reduces the tokens to the size.
		b = &bucket{filledAt: t.startsAt, tokens: maxLimit, held: map[zinniatide.VMID]heldTokens{}}
		if !t.full {
			b.earlyUntil = t.startsAt + g.earlyTime
		}
		t.bucket = b
	}
	limit := r.Limit
	if own := g.current.Limits[r.Workspace]; own.Number >= limit.Number {
		limit = own
	}
	limit.sanitize()
	if b.limit.Number <= limit.Number {
		b.limit = limit
		b.size = g.sizeOf(limit)
	}
	return b
}

// sizeOf returns the size of a bucket. It uses what of the overshoot is not needed for
// tokens that are used later than they are granted.
func (g *Granter) sizeOf(limit Limit) float64 {
	spare := max(0, g.config.Overshoot*float64(g.config.Window)-float64(ReturnTime+transitTime)) / 1000
	return max(1, limit.Burst*(1+g.config.Overshoot)+limit.Rate*spare)
}

// sanitize bounds the values of a message.
func (r *Request) sanitize() {
	for _, n := range []*int{&r.Needed, &r.Extra, &r.Unused, &r.Returned} {
		*n = min(max(*n, 0), maxTokensPerTake)
	}
	r.GrantedAt, r.ReturnedAt = max(r.GrantedAt, 0), max(r.ReturnedAt, 0)
	r.Limit.sanitize()
}

func (l *Limit) sanitize() {
	for _, f := range []*float64{&l.Rate, &l.Burst} {
		*f = min(max(*f, 0), maxLimit)
		if math.IsNaN(*f) {
			*f = 0
		}
	}
}

// Counted returns the number of workspaces that this VM counts.
func (g *Granter) Counted() int {
	n := 0
	for key := range g.tenures {
		if key.rank == 0 {
			n++
		}
	}
	return n
}
