package relayer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/estimator"
	"zinniatide.example/zinniatide/selector"
)

// A relay VM sends parts to the servers in its own zone. Shards without a
// server there are delegated to another relay VM, the delegate, in a zone that
// has one. The request and the merged top records then cross zones once instead
// of once per shard.
//
// Queries with many shards are also split among the relay VMs of the same zone.
// Each of them gathers the shards that it wins by rendezvous hashing. A single
// small VM would take longer to send all parts than the servers take to answer,
// and this way each delegate sees all requests of the zone for its shards.

const (
	// minDelegatedParts is the smallest number of parts for which delegation saves
	// bytes.
	minDelegatedParts = 2
	// remoteRoundTrip and zoneRoundTrip approximate the round trip to a delegate
	// in another zone and in the same zone. The cutoff sent to the delegate is
	// earlier by this time, or by up to maxReplyDelay more where replies are late.
	remoteRoundTrip zinniatide.Millis = 6
	zoneRoundTrip   zinniatide.Millis = 2
	// maxReplyDelay covers the time that a VM with a fifth of a core takes to write, read
	// and merge a reply while it serves other queries.
	maxReplyDelay zinniatide.Millis = 8
	// maxOwnParts is the number of parts that a VM sends itself before it
	// delegates some to other relay VMs of its zone.
	maxOwnParts = 32
	// delegateBackoff is how long no requests are sent to a delegate that failed
	// or did not reply in time.
	delegateBackoff zinniatide.Millis = 1000
	// delegateGrace is how long after the cutoff the reply of a delegate is still
	// awaited. It is also the interval at which the link to a delegate is checked
	// for late parts.
	delegateGrace zinniatide.Millis = 60
)

// delegate is another relay VM that can gather parts on behalf of this one.
type delegate struct {
	vm           zinniatide.VMID
	backoffUntil zinniatide.Millis
}

// delegationKey identifies a gather request that runs here on behalf of another
// VM. Each process of the VM numbers its delegations from 1.
type delegationKey struct {
	from    zinniatide.VMID
	process zinniatide.ProcessID
	callID  uint64
}

// delegationRequest asks a delegate to gather parts.
type delegationRequest struct {
	Call          uint64                 `cbor:"1,keyasint"`
	RequestID     string                 `cbor:"2,keyasint"`
	Head          []byte                 `cbor:"3,keyasint"`
	Body          []byte                 `cbor:"4,keyasint,omitempty"`
	Route         zinniatide.RouteID     `cbor:"5,keyasint"`
	Shards        []zinniatide.ServiceID `cbor:"6,keyasint"`
	TopRecords    int                    `cbor:"7,keyasint"`
	MaxAttempts   int                    `cbor:"8,keyasint"`
	TargetLatency zinniatide.Millis      `cbor:"9,keyasint"`
	// TimeToCutoff and TimeToDeadline count from receipt: the time until the
	// delegate replies with the parts that it has, and until the caller's
	// deadline.
	TimeToCutoff   zinniatide.Millis `cbor:"10,keyasint"`
	TimeToDeadline zinniatide.Millis `cbor:"11,keyasint"`
	// Hedge marks parts that have already been sent to another server. The sender
	// has charged them to its retry budget. The records of each part are returned
	// separately, because the first server may still answer.
	Hedge bool `cbor:"12,keyasint,omitempty"`
	// RecordThreshold is a record that the records of hedged parts must exceed to
	// be returned. If it is empty, all records are returned.
	RecordThreshold []byte `cbor:"13,keyasint,omitempty"`
	// Process is the process that sends the request and numbered Call.
	Process zinniatide.ProcessID `cbor:"14,keyasint"`
	// LendsAttempts is set if the sender can be asked for more attempts than
	// MaxAttempts.
	LendsAttempts bool `cbor:"15,keyasint,omitempty"`
	// Priority is that of the request. VMs of earlier versions send none, which counts as
	// the highest.
	Priority int `cbor:"16,keyasint,omitempty"`
}

// digest identifies what a delegate is asked for: the request and the shards in
// their order, to which the indexes in its replies refer.
func (m *delegationRequest) digest() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.RequestID)
	for _, shard := range m.Shards {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(shard))
	}
	return uint32(d.Sum64()) //nolint:gosec // half of the hash is enough
}

// maxDelegatedTime bounds the times of a delegationRequest. It is longer than the
// timeout of any route.
const maxDelegatedTime zinniatide.Millis = 3_600_000

// check returns an error if values of a received message are out of bounds.
func (m *delegationRequest) check() error {
	switch {
	case len(m.Shards) == 0:
		return errors.New("no shards")
	case m.TimeToCutoff < 0 || m.TimeToCutoff > maxDelegatedTime || m.TimeToDeadline <= 0 || m.TimeToDeadline > maxDelegatedTime:
		return fmt.Errorf("times of %d ms and %d ms are out of bounds", m.TimeToCutoff, m.TimeToDeadline)
	case m.MaxAttempts < 0 || m.TopRecords < 0:
		return fmt.Errorf("%d attempts or %d records are out of bounds", m.MaxAttempts, m.TopRecords)
	}
	return nil
}

// delegationReply answers a delegationRequest.
type delegationReply struct {
	// Parts are indexes into delegationRequest.Shards; Stamps are the stamps of
	// the corresponding responses.
	Parts   []int    `cbor:"1,keyasint"`
	Stamps  []string `cbor:"2,keyasint"`
	Records []byte   `cbor:"3,keyasint"`
	// Bodies are the responses for Parts if the request has Hedge set. Records is
	// empty in that case.
	Bodies [][]byte `cbor:"7,keyasint,omitempty"`
	// Missing are the indexes of parts that failed. PossibleRuns is, for each of
	// them, the number of servers that may have started the request.
	Missing      []int `cbor:"5,keyasint,omitempty"`
	PossibleRuns []int `cbor:"6,keyasint,omitempty"`
	// MayHaveRun is set if any server may have started the request.
	MayHaveRun bool `cbor:"4,keyasint,omitempty"`
	// MorePending is set while other parts are still awaited. They follow in
	// lateDelegationReply messages.
	MorePending bool `cbor:"8,keyasint,omitempty"`
	// DroppedBy is the number of servers that dropped their connection while they
	// ran the request, since the last reply. Survived is set once a server has
	// answered it.
	DroppedBy int  `cbor:"9,keyasint,omitempty"`
	Survived  bool `cbor:"10,keyasint,omitempty"`
	// Leaving are the processes that said in their answers that they are leaving,
	// since the last reply.
	Leaving []leavingProcess `cbor:"11,keyasint,omitempty"`
	// Digest is the digest of the delegationRequest that is answered.
	Digest uint32 `cbor:"12,keyasint"`
}

// leavingProcess identifies a process that has said that it is leaving.
type leavingProcess struct {
	Server    zinniatide.BackendServerID `cbor:"1,keyasint"`
	StartedAt zinniatide.Millis          `cbor:"2,keyasint"`
}

// lateDelegationReply carries parts that arrived after the first reply.
type lateDelegationReply struct {
	Call  uint64          `cbor:"1,keyasint"`
	Reply delegationReply `cbor:"2,keyasint"`
	// Process is the process that asked for the parts.
	Process zinniatide.ProcessID `cbor:"3,keyasint"`
}

// delegationCancel ends a delegation early.
type delegationCancel struct {
	Call uint64 `cbor:"1,keyasint"`
	// Answered is set if the caller has been answered without the pending parts.
	// Otherwise the caller has disconnected, and the requests at the servers are
	// cancelled.
	Answered bool `cbor:"2,keyasint,omitempty"`
	// Process is the process that sends the message and asked for the parts.
	Process zinniatide.ProcessID `cbor:"3,keyasint"`
}

// updateDelegates rebuilds the list of delegates from the members of c. Known
// delegates keep their backoff.
func (r *Relayer) updateDelegates(c *zinniatide.Configuration) {
	known := map[zinniatide.VMID]*delegate{}
	for _, list := range r.delegates {
		for _, d := range list {
			known[d.vm] = d
		}
	}
	maps.DeleteFunc(r.delegatingVMs, func(vm zinniatide.VMID, _ *delegatingVM) bool { return !c.Members[vm].Relay })
	r.delegates = map[zinniatide.ZoneID][]*delegate{}
	for vm, member := range c.Members {
		if !member.Relay || member.State != zinniatide.StateIn || vm == r.config.VM {
			continue
		}
		d := known[vm]
		if d == nil {
			d = &delegate{vm: vm}
		}
		r.delegates[member.Zone] = append(r.delegates[member.Zone], d)
	}
}

// delegateIn returns a random reachable delegate in zone, or nil.
func (r *Relayer) delegateIn(zone zinniatide.ZoneID, now zinniatide.Millis) *delegate {
	list := r.delegates[zone]
	if len(list) == 0 {
		return nil
	}
	first := r.deps.Random.IntN(len(list))
	for i := range list {
		delegate := list[(first+i)%len(list)]
		if now >= delegate.backoffUntil && r.deps.Links.Connected(delegate.vm) {
			return delegate
		}
	}
	return nil
}

// canDelegate reports whether other VMs can gather parts of the request. They
// could not decode a message with an id that is not UTF-8.
func (g *gatherRequest) canDelegate() bool {
	return g.r.deps.Links != nil && utf8.ValidString(g.req.ID)
}

// delegateParts delegates the shards without a server in this zone to VMs of
// other zones. If many shards remain, some of them go to VMs of this zone.
func (g *gatherRequest) delegateParts(o *selector.Options) {
	if len(g.r.delegates) == 0 || !g.canDelegate() {
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
		zone, indexes := g.zoneWithMostParts(byZone)
		delete(byZone, zone)
		indexes = slices.DeleteFunc(indexes, func(i int) bool { return g.parts[i].delegation != nil })
		if len(indexes) < minDelegatedParts {
			continue
		}
		if delegate := g.r.delegateIn(zone, o.Now); delegate != nil {
			g.sendDelegation(delegate, indexes, g.r.remoteReplyTime, o.Now)
		}
	}
	if len(local) > maxOwnParts {
		g.delegateWithinZone(local, o.Now)
	}
}

// delegateWithinZone delegates parts to other relay VMs of this zone.
func (g *gatherRequest) delegateWithinZone(local []int, now zinniatide.Millis) {
	byVM := map[zinniatide.VMID][]int{}
	for _, i := range local {
		vm := picker.Pick(string(g.route.Shards[i]), g.r.zonePeers)
		byVM[vm] = append(byVM[vm], i)
	}
	for _, delegate := range g.r.delegates[g.r.config.Zone] {
		indexes := byVM[delegate.vm]
		if len(indexes) >= minDelegatedParts && now >= delegate.backoffUntil && g.r.deps.Links.Connected(delegate.vm) {
			g.sendDelegation(delegate, indexes, g.r.zoneReplyTime, now)
		}
	}
}

// zoneWithMostParts returns the zone with the most parts. Ties are broken at
// random, which spreads the load over the zones.
func (g *gatherRequest) zoneWithMostParts(byZone map[zinniatide.ZoneID][]int) (zinniatide.ZoneID, []int) {
	var best zinniatide.ZoneID
	n := -1
	ties := 0
	for zone, list := range byZone {
		switch {
		case len(list) > n:
			best, n, ties = zone, len(list), 1
		case len(list) == n:
			ties++
			if g.r.deps.Random.IntN(ties) == 0 {
				best = zone
			}
		}
	}
	return best, byZone[best]
}

// sendDelegation has a delegate gather parts. replyTime is the time that its reply
// needs.
func (g *gatherRequest) sendDelegation(delegate *delegate, indexes []int, replyTime *estimator.Estimator, now zinniatide.Millis) {
	d := newDelegation(g, delegate, len(indexes))
	d.replyTime = replyTime
	for _, i := range indexes {
		g.parts[i].delegation = d
		g.parts[i].lend()
		d.add(g, i)
	}
	g.callDelegate(d, replyTime.Estimate(), now)
	// A working delegate replies before the cutoff with the parts that it has, so
	// one that has not replied by then is treated as failed.
	g.after(g.cutoff-now, func() { g.handleLateDelegate(d) })
}

// callDelegate sends a delegation to its delegate and records it until it has ended.
func (g *gatherRequest) callDelegate(d *delegation, replyTime, now zinniatide.Millis) {
	r := g.r
	r.lastCallID++
	d.callID, d.open = r.lastCallID, true
	msg := &delegationRequest{
		Call: d.callID, Process: r.config.Process, RequestID: g.req.ID, Head: g.req.Head, Body: g.req.Body, Route: g.route.ID, Shards: d.shards,
		TopRecords: g.route.TopRecords, MaxAttempts: 1, TargetLatency: g.route.TargetLatency,
		TimeToCutoff: max(g.cutoff-now-replyTime, 1), TimeToDeadline: max(g.deadline-now, 1), Hedge: d.hedge, Priority: g.priority,
	}
	if d.hedge {
		msg.RecordThreshold = g.topRecords.Threshold()
	} else {
		msg.LendsAttempts = g.route.MaxAttempts > 1
	}
	d.digest = msg.digest()
	g.delegations = append(g.delegations, d)
	r.delegations[d.callID] = d
	r.metrics.delegations.Inc()
	r.deps.Links.Call(d.delegate.vm, zinniatide.KindGather, msg, msg.TimeToDeadline, func(body []byte, err error) {
		var reply delegationReply
		if err == nil {
			err = encoder.Unmarshal(body, &reply)
		}
		// Call may report an error synchronously, while the lock is held.
		r.deps.Timer.After(0, func() {
			r.deps.Lock.Lock()
			defer r.deps.Lock.Unlock()
			g.handleDelegationReply(d, &reply, err)
		})
	})
}
