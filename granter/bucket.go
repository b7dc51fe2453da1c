package granter

import (
	"math"

	"zinniatide.example/zinniatide"
)

// bucket is the token bucket of a workspace.
type bucket struct {
	limit    Limit
	size     float64
	tokens   float64
	filledAt zinniatide.Millis
	// early is what a bucket that was empty at the start would hold. It limits the grants
	// until earlyUntil, a window after the start: the tokens of the previous counting VM
	// fall into the same windows until then.
	early      float64
	earlyUntil zinniatide.Millis
	// held are the tokens that VMs hold for later requests. They take room in the bucket:
	// otherwise it would fill up again while they are held, and both could be used in the
	// same window.
	held map[zinniatide.VMID]heldTokens
	// nextRetryAt is when the next refused request should come back.
	nextRetryAt zinniatide.Millis
	refused     refusedVMs
}

type heldTokens struct {
	count int
	at    zinniatide.Millis
}

// refusedVMs counts the VMs that had requests refused, in periods of one second.
type refusedVMs struct {
	startedAt zinniatide.Millis
	vms       map[zinniatide.VMID]bool
	previous  int
}

const refusalPeriod zinniatide.Millis = 1000

// refill adds the tokens that have become available until now.
func (b *bucket) refill(now zinniatide.Millis) {
	room := b.size
	for vm, h := range b.held {
		if now-h.at > Lease {
			delete(b.held, vm)
			continue
		}
		room -= float64(h.count)
	}
	if now > b.filledAt {
		added := b.limit.Rate * float64(now-b.filledAt) / 1000
		b.tokens += added
		b.early += added
		b.filledAt = now
	}
	b.tokens, b.early = min(b.tokens, room), min(b.early, room)
}

// available returns the tokens that may be granted at the time of the last refill.
func (b *bucket) available() float64 {
	if b.filledAt < b.earlyUntil {
		return min(b.tokens, b.early)
	}
	return b.tokens
}

func (b *bucket) add(n float64) {
	b.tokens += n
	b.early += n
}

func (b *bucket) heldCount() int {
	n := 0
	for _, h := range b.held {
		n += h.count
	}
	return n
}

// takeNeeded grants up to needed tokens.
func (b *bucket) takeNeeded(needed int) int {
	granted := max(0, min(needed, int(math.Floor(b.available()+1e-9))))
	b.add(-float64(granted))
	return granted
}

// answer grants tokens to a VM.
func (b *bucket) answer(from zinniatide.VMID, r *Request, reply *Reply, now zinniatide.Millis) {
	b.refill(now)
	if r.Returned > 0 && now-r.ReturnedAt <= ReturnTime && now >= r.ReturnedAt {
		b.add(float64(r.Returned))
		b.refill(now)
	}
	// Tokens that are still held are granted again; only new ones leave the bucket.
	held := 0
	if old, ok := b.held[from]; ok && old.at == r.GrantedAt {
		held = min(r.Unused, old.count)
	}
	reply.GrantedAt = now
	reply.Granted = b.takeNeeded(r.Needed)
	// Only tokens beyond the burst of the limit are granted to be held: those that are not
	// used are lost, and must not be missed by a workspace within its limit.
	if spare := int(math.Floor(b.available() - max(1, b.limit.Burst))); spare > 0 && r.Extra > held {
		extra := min(r.Extra-held, spare)
		b.add(-float64(extra))
		held += extra
	}
	reply.Held = held
	if held > 0 {
		b.held[from] = heldTokens{held, now}
	} else {
		delete(b.held, from)
	}
	if refused := r.Needed - reply.Granted; refused > 0 {
		b.spread(from, refused, reply, now)
	}
}

// spread assigns to each refused request a time at which a token is expected.
func (b *bucket) spread(from zinniatide.VMID, refused int, reply *Reply, now zinniatide.Millis) {
	if b.limit.Rate <= 0 {
		reply.RetryAfter, reply.Spacing, reply.VMs = maxRetryAfter, 1, 1
		return
	}
	reply.Spacing = 1000 / b.limit.Rate
	first := now + zinniatide.Millis(math.Ceil(min((1-b.available())*reply.Spacing, float64(maxRetryAfter))))
	at := max(first, b.nextRetryAt)
	if at > now+maxRetryAfter {
		at = first
	}
	reply.RetryAfter = max(1, at-now)
	b.nextRetryAt = at + zinniatide.Millis(min(float64(refused)*reply.Spacing, float64(maxRetryAfter)))
	reply.VMs = b.refused.add(from, now)
}

func (r *refusedVMs) add(vm zinniatide.VMID, now zinniatide.Millis) int {
	if r.vms == nil || now-r.startedAt >= refusalPeriod {
		r.previous = len(r.vms)
		if now-r.startedAt >= 2*refusalPeriod {
			r.previous = 0
		}
		r.startedAt, r.vms = now, map[zinniatide.VMID]bool{}
	}
	r.vms[vm] = true
	return max(r.previous, len(r.vms))
}
