package relayer

import (
	"slices"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/ranker"
	"zinniatide.example/zinniatide/router"
	"zinniatide.example/zinniatide/selector"
)

// A relay VM sends parts to servers of its own zone. Shards without a server
// there are gathered by a helper, a relay VM of a zone that has one: the request
// crosses zones once instead of once for each shard, and so do the greatest
// records of all of them.
//
// The parts of a query with many shards are spread over helpers of the own zone
// as well, each of which gathers the shards that it wins by rendezvous hash. One
// small VM would take longer to send them all than the servers to answer, and
// each helper sees all requests of the zone for its shards.

const (
	// leastDelegated is the number of parts from which on a helper saves bytes.
	leastDelegated = 2
	// helperWay is about the way to a helper of another zone and back, siblingWay
	// to one of the own zone. It answers so much sooner.
	helperWay  zinniatide.Millis = 6
	siblingWay zinniatide.Millis = 2
	// spreadAbove is the number of parts that one VM sends itself at most when
	// others of its zone can take some.
	spreadAbove = 32
	// helperRest keeps requests from a helper that did not answer in time.
	helperRest zinniatide.Millis = 1000
	// helperGrace is how long after the cutoff a helper's answer is waited for.
	helperGrace zinniatide.Millis = 60
)

// helper is a relay VM of another zone.
type helper struct {
	vm        zinniatide.VMID
	restUntil zinniatide.Millis
}

// delegationID names a gathering that runs for another VM.
type delegationID struct {
	from zinniatide.VMID
	call uint64
}

// delegation asks a helper for parts.
type delegation struct {
	Call       uint64                 `cbor:"1,keyasint"`
	RequestID  string                 `cbor:"2,keyasint"`
	Head       []byte                 `cbor:"3,keyasint"`
	Body       []byte                 `cbor:"4,keyasint,omitempty"`
	Route      zinniatide.RouteID     `cbor:"5,keyasint"`
	Shards     []zinniatide.ServiceID `cbor:"6,keyasint"`
	TopRecords int                    `cbor:"7,keyasint"`
	Attempts   int                    `cbor:"8,keyasint"`
	Target     zinniatide.Millis      `cbor:"9,keyasint"`
	// Cutoff and Left are the times, from the receipt, to answer with what has
	// arrived and to the caller's deadline.
	Cutoff zinniatide.Millis `cbor:"10,keyasint"`
	Left   zinniatide.Millis `cbor:"11,keyasint"`
	// Repeat marks parts that have been sent to another server before. The sender
	// has counted them, and wants the records of each part by itself, as the first
	// server may answer after all.
	Repeat bool `cbor:"12,keyasint,omitempty"`
	// Floor is a record that those of repeated parts must be greater than to get
	// into the answer, empty when any may.
	Floor []byte `cbor:"13,keyasint,omitempty"`
}

// delegated answers a delegation.
type delegated struct {
	// Parts are positions in delegation.Shards, Stamps the stamps of their
	// answers.
	Parts   []int    `cbor:"1,keyasint"`
	Stamps  []string `cbor:"2,keyasint"`
	Records []byte   `cbor:"3,keyasint"`
	// Bodies are the answers to Parts, for a delegation of repeats; Records is
	// empty then.
	Bodies [][]byte `cbor:"7,keyasint,omitempty"`
	// Missing are the other positions, Runs the servers that may have begun to
	// run the request for each of them.
	Missing []int `cbor:"5,keyasint,omitempty"`
	Runs    []int `cbor:"6,keyasint,omitempty"`
	// Ran is set when any server may have begun to run the request.
	Ran bool `cbor:"4,keyasint,omitempty"`
	// More is set when other parts are still awaited. They follow in
	// delegatedRest messages.
	More bool `cbor:"8,keyasint,omitempty"`
}

// delegatedRest carries parts that arrived after the answer to a delegation.
type delegatedRest struct {
	Call uint64    `cbor:"1,keyasint"`
	Rest delegated `cbor:"2,keyasint"`
}

// delegationCancel ends a delegation.
type delegationCancel struct {
	Call uint64 `cbor:"1,keyasint"`
	// Answered is set when the caller has got an answer without the parts that
	// are still awaited. Otherwise the caller has left, and the servers stop.
	Answered bool `cbor:"2,keyasint,omitempty"`
}

// updateHelpers follows the members.
func (r *Relayer) updateHelpers(c *zinniatide.Configuration) {
	known := map[zinniatide.VMID]*helper{}
	for _, list := range r.helpers {
		for _, h := range list {
			known[h.vm] = h
		}
	}
	r.helpers = map[zinniatide.ZoneID][]*helper{}
	for vm, m := range c.Members {
		if !m.Relay || m.State != zinniatide.StateIn || vm == r.config.VM {
			continue
		}
		h := known[vm]
		if h == nil {
			h = &helper{vm: vm}
		}
		r.helpers[m.Zone] = append(r.helpers[m.Zone], h)
	}
}

// helperIn returns a helper of zone that can be reached, or nil.
func (r *Relayer) helperIn(zone zinniatide.ZoneID, now zinniatide.Millis) *helper {
	list := r.helpers[zone]
	if len(list) == 0 {
		return nil
	}
	first := r.d.Random.IntN(len(list))
	for i := range list {
		h := list[(first+i)%len(list)]
		if now >= h.restUntil && r.d.Links.Connected(h.vm) {
			return h
		}
	}
	return nil
}

// delegate hands the shards without a server in this zone to helpers.
func (g *gathering) delegate(o *selector.Options) {
	if g.r.d.Links == nil || len(g.r.helpers) == 0 {
		return
	}
	byZone := map[zinniatide.ZoneID][]int{}
	var local []int
	for i := range g.parts {
		p := &g.parts[i]
		if p.failed {
			continue
		}
		zones := p.service.Zones(o)
		if slices.Contains(zones, o.Zone) {
			local = append(local, i)
			continue
		}
		for _, zone := range zones {
			byZone[zone] = append(byZone[zone], i)
		}
	}
	for len(byZone) > 0 {
		zone, list := g.largest(byZone)
		delete(byZone, zone)
		list = slices.DeleteFunc(list, func(i int) bool { return g.parts[i].group != nil })
		if len(list) < leastDelegated {
			continue
		}
		if h := g.r.helperIn(zone, o.Now); h != nil {
			g.hand(h, list, helperWay, o.Now)
		}
	}
	if len(local) > spreadAbove {
		g.spread(local, o.Now)
	}
}

// spread hands local parts to helpers of the own zone.
func (g *gathering) spread(local []int, now zinniatide.Millis) {
	byVM := map[zinniatide.VMID][]int{}
	for _, i := range local {
		vm := picker.Pick(string(g.route.Shards[i]), g.r.siblings)
		byVM[vm] = append(byVM[vm], i)
	}
	for _, h := range g.r.helpers[g.r.config.Zone] {
		list := byVM[h.vm]
		if len(list) >= leastDelegated && now >= h.restUntil && g.r.d.Links.Connected(h.vm) {
			g.hand(h, list, siblingWay, now)
		}
	}
}

// largest returns the zone with most parts. Equal zones are drawn, so that
// their servers share the load.
func (g *gathering) largest(byZone map[zinniatide.ZoneID][]int) (zinniatide.ZoneID, []int) {
	var best zinniatide.ZoneID
	n := -1
	ties := 0
	for zone, list := range byZone {
		switch {
		case len(list) > n:
			best, n, ties = zone, len(list), 1
		case len(list) == n:
			ties++
			if g.r.d.Random.IntN(ties) == 0 {
				best = zone
			}
		}
	}
	return best, byZone[best]
}

// hand sends parts to a helper.
func (g *gathering) hand(h *helper, list []int, way, now zinniatide.Millis) {
	r := g.r
	r.lastCall++
	gr := &group{gathering: g, helper: h, call: r.lastCall, open: true}
	d := &delegation{
		Call: gr.call, RequestID: g.req.ID, Head: g.req.Head, Body: g.req.Body, Route: g.route.ID, TopRecords: g.route.TopRecords,
		Attempts: g.route.MaxAttempts, Target: g.route.TargetLatency, Cutoff: max(g.cutoff-now-way, 1), Left: g.end - now,
	}
	for _, i := range list {
		p := &g.parts[i]
		p.group = gr
		gr.parts = append(gr.parts, p)
		d.Shards = append(d.Shards, g.route.Shards[i])
	}
	g.groups = append(g.groups, gr)
	r.groups[gr.call] = gr
	r.metrics.delegations.Inc()
	// A helper answers before the cutoff with what it has, so one that has not
	// is lost.
	g.after(g.cutoff-now, func() { g.suspect(gr) })
	r.d.Links.Call(h.vm, zinniatide.KindGather, d, max(g.end-now, 1), func(body []byte, err error) {
		var answer delegated
		if err == nil {
			err = encoder.Unmarshal(body, &answer)
		}
		// An error may come within the call, under the lock.
		r.d.Timer.After(0, func() {
			r.d.Lock.Lock()
			defer r.d.Lock.Unlock()
			g.handed(gr, &answer, err)
		})
	})
}

// HandleGather serves a delegation. It is a zinniatide.LinkHandler.
func (r *Relayer) HandleGather(from zinniatide.VMID, body []byte, reply func(any, error)) {
	var d delegation
	if err := encoder.Unmarshal(body, &d); err != nil || reply == nil {
		klog.ErrorS(err, "delegation dropped", "step", "decode delegation", "peer", from)
		if reply != nil {
			reply(nil, zinniatide.Refuse(zinniatide.CodeBadRequest, "decode delegation: %v", err))
		}
		return
	}
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	now := r.d.Clock.Now()
	id := delegationID{from, d.Call}
	route := &router.Route{Route: zinniatide.Route{
		ID: d.Route, Idempotent: true, Shards: d.Shards, TopRecords: d.TopRecords, MaxAttempts: d.Attempts, TargetLatency: d.Target,
	}}
	g := &gathering{task: task{
		r: r, repeat: d.Repeat, req: &Request{ID: d.RequestID, Head: d.Head, Body: d.Body, Arrived: now}, route: route,
		respond: func(Reply) {}, begun: now, end: now + d.Left,
	}, cutoff: now + d.Cutoff}
	g.deliver = func() { g.deliverParts(id, &d, reply) }
	r.delegated[id] = g
	r.metrics.helped.Inc()
	g.begin()
}

// HandleGatherCancel ends a delegation. It is a zinniatide.LinkHandler.
func (r *Relayer) HandleGatherCancel(from zinniatide.VMID, body []byte, _ func(any, error)) {
	var c delegationCancel
	if err := encoder.Unmarshal(body, &c); err != nil {
		klog.ErrorS(err, "cancel of a delegation dropped", "step", "decode cancel", "peer", from)
		return
	}
	r.d.Lock.Lock()
	defer r.d.Lock.Unlock()
	id := delegationID{from, c.Call}
	g := r.delegated[id]
	delete(r.delegated, id)
	switch {
	case g == nil:
	case c.Answered:
		g.finish(Reply{})
	default:
		g.cancelLocked()
	}
}

// deliverParts answers a delegation with the parts that have arrived since the
// last time. Those that are still awaited follow, so that a query which needs
// them is answered late instead of not at all. Repeats are answered once, as
// their first servers may still answer.
func (g *gathering) deliverParts(id delegationID, d *delegation, reply func(any, error)) {
	last := d.Repeat || g.pending == 0 || g.r.d.Clock.Now() >= g.end-endMargin
	answer := &delegated{Ran: g.ran || len(g.open) > 0, More: !last}
	for i := range g.parts {
		p := &g.parts[i]
		switch {
		case p.told:
		case p.done:
			p.told = true
			answer.Parts = append(answer.Parts, i)
			answer.Stamps = append(answer.Stamps, p.stamp)
			if d.Repeat {
				answer.Bodies = append(answer.Bodies, ranker.Above([]byte{}, p.body, d.Floor))
			}
		case p.failed || last:
			p.told = true
			answer.Missing = append(answer.Missing, i)
			answer.Runs = append(answer.Runs, p.runs)
		}
	}
	if !d.Repeat {
		answer.Records = g.ranker.Append(nil)
		g.ranker = ranker.New(g.route.TopRecords)
	}
	if last {
		delete(g.r.delegated, id)
		g.finish(Reply{})
	}
	switch {
	case !g.delivered:
		g.delivered = true
		reply(answer, nil)
	case last || len(answer.Parts)+len(answer.Missing) > 0:
		// Without a link the asking VM gives the parts up by itself.
		_ = g.r.d.Links.Send(id.from, zinniatide.KindGatherRest, &delegatedRest{Call: id.call, Rest: *answer})
	}
}
