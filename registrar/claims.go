package registrar

import (
	"container/heap"

	"zinniatide.example/zinniatide"
)

// Limits of the claim table. The state machine is deterministic only if every
// control VM uses the same values.
const (
	// claimRetention is how long a claim is kept after its expiry.
	claimRetention zinniatide.Millis = 60_000
	// clockSlack is how far the clock of a coordinator may be ahead of the log
	// clock when the lifetime of a request id is checked.
	clockSlack zinniatide.Millis = 60_000
	// maxClaims and maxClaimBytes bound the memory of the table and the size
	// of a snapshot, which is encoded on the control goroutine.
	maxClaims     = 200_000
	maxClaimBytes = 32 << 20
	// claimOverheadBytes is charged for each claim in addition to its id, holder
	// and body.
	claimOverheadBytes = 96
)

// claimRecord is the claim of one request id.
type claimRecord struct {
	ID      zinniatide.RequestID   `cbor:"1,keyasint"`
	Expires zinniatide.Millis      `cbor:"2,keyasint"`
	Digest  zinniatide.Fingerprint `cbor:"3,keyasint"`
	Holder  zinniatide.VMID        `cbor:"4,keyasint"`
	Token   uint64                 `cbor:"5,keyasint"`
	// Outcome is empty until a result is recorded.
	Outcome zinniatide.Outcome `cbor:"6,keyasint,omitempty"`
	Body    []byte             `cbor:"7,keyasint,omitempty"`
	// Freed is set by a not-run result and allows another token to claim the id.
	// The record is kept so that a delayed duplicate of the claim with the same
	// token is denied.
	Freed bool `cbor:"8,keyasint,omitempty"`
}

// size returns the bytes charged for c.
func (c *claimRecord) size() int {
	return claimOverheadBytes + len(c.ID) + len(c.Holder) + len(c.Body)
}

// claimTable holds claims until their retention ends.
type claimTable struct {
	maxClaims, maxBytes int
	byID                map[zinniatide.RequestID]*claimRecord
	byExpiry            expiryHeap
	bytes               int // sum of the sizes of all records
}

func newClaimTable() claimTable {
	return claimTable{maxClaims: maxClaims, maxBytes: maxClaimBytes, byID: map[zinniatide.RequestID]*claimRecord{}}
}

// applyClaim grants or denies a claim. The reply is a zinniatide.ClaimReply, or
// a *zinniatide.Refusal if the claim is malformed or the table is full.
func (r *Registrar) applyClaim(c *zinniatide.Claim) any {
	if refusal := checkClaim(c, r.logClock); refusal != nil {
		return refusal
	}
	record, known := r.claims.byID[c.RequestID]
	if known && (!record.Freed || record.Token == c.Token) {
		return record.reply(c, r.logClock)
	}
	if c.Expires <= r.logClock {
		return expiredReply(c.VM)
	}
	if !known {
		record = &claimRecord{ID: c.RequestID, Expires: c.Expires, Holder: c.VM}
		if !r.claims.add(record) {
			return zinniatide.Refuse(zinniatide.CodeOverloaded,
				"%d claims with %d bytes are kept, the bounds are %d and %d; retry when older request ids have expired",
				len(r.claims.byID), r.claims.bytes, r.claims.maxClaims, r.claims.maxBytes)
		}
	}
	r.claims.bytes += len(c.VM) - len(record.Holder)
	record.Holder, record.Token, record.Digest, record.Freed = c.VM, c.Token, c.Digest, false
	return zinniatide.ClaimReply{Granted: true, Holder: c.VM}
}

// ClaimUsage returns the number of stored claims and the bytes charged for
// them.
func (r *Registrar) ClaimUsage() (claims, bytes int) {
	return len(r.claims.byID), r.claims.bytes
}

// checkClaim refuses a claim whose expiry differs from the one in its request
// id. Otherwise the id could be claimed again after its claim has been dropped.
func checkClaim(c *zinniatide.Claim, now zinniatide.Millis) *zinniatide.Refusal {
	expires, ok := requestExpiry(c.RequestID)
	switch {
	case !ok || expires != c.Expires:
		return zinniatide.Refuse(zinniatide.CodeBadRequest,
			"request id %q must have the form <expiry in unix ms>-<8 or more characters>", c.RequestID)
	case c.Expires > now+zinniatide.MaxClaimLifetime+clockSlack:
		return zinniatide.Refuse(zinniatide.CodeBadRequest,
			"request id %q expires more than %d ms ahead", c.RequestID, zinniatide.MaxClaimLifetime)
	}
	return nil
}

// requestExpiry returns the expiry encoded in a request id, and false if the id
// is invalid.
func requestExpiry(id zinniatide.RequestID) (zinniatide.Millis, bool) {
	expires, err := zinniatide.ParseRequestExpiry(id)
	return expires, err == nil && len(id) <= zinniatide.MaxIDLength
}

// reply answers a claim of an id that already has a record.
func (c *claimRecord) reply(claim *zinniatide.Claim, now zinniatide.Millis) zinniatide.ClaimReply {
	switch {
	case c.Freed: // a delayed duplicate of the attempt that freed the id
		return zinniatide.ClaimReply{Holder: c.Holder, Outcome: zinniatide.OutcomeNotRun}
	case c.Digest != claim.Digest:
		return zinniatide.ClaimReply{Holder: c.Holder, Code: zinniatide.CodeRequestIDReused, Outcome: zinniatide.OutcomeNotRun}
	case c.Outcome != "":
		return zinniatide.ClaimReply{Holder: c.Holder, Outcome: c.Outcome, Body: c.Body}
	case c.Token == claim.Token:
		return zinniatide.ClaimReply{Granted: true, Holder: c.Holder}
	case c.Expires <= now:
		return expiredReply(c.Holder)
	}
	return zinniatide.ClaimReply{Holder: c.Holder, Code: zinniatide.CodeInProgress, Outcome: zinniatide.OutcomeUnknown}
}

// expiredReply denies a claim of an expired id. The outcome is unknown because
// an earlier attempt may have run.
func expiredReply(holder zinniatide.VMID) zinniatide.ClaimReply {
	return zinniatide.ClaimReply{Holder: holder, Code: zinniatide.CodeRequestIDExpired, Outcome: zinniatide.OutcomeUnknown}
}

// recordResult stores the result reported by the token that holds the claim.
// Later results are ignored unless the recorded outcome is unknown.
func (t *claimTable) recordResult(result *zinniatide.ClaimResult, now zinniatide.Millis) {
	record, known := t.byID[result.RequestID]
	if !known {
		t.recordEarlyNotRun(result, now)
		return
	}
	if record.Freed || record.Token != result.Token || (record.Outcome != "" && record.Outcome != zinniatide.OutcomeUnknown) {
		return
	}
	switch result.Outcome {
	case zinniatide.OutcomeNotRun:
		record.Freed, record.Outcome = true, ""
		t.setBody(record, nil)
	case zinniatide.OutcomeDone, zinniatide.OutcomeUnknown:
		record.Outcome = result.Outcome
		t.setBody(record, result.Body)
	}
}

// setBody replaces the stored body of a result, by none if the new body exceeds a
// limit. The outcome is recorded in either case.
func (t *claimTable) setBody(record *claimRecord, body []byte) {
	t.bytes -= len(record.Body)
	record.Body = nil
	if len(body) > 0 && len(body) <= zinniatide.MaxRecordedBody && t.bytes+len(body) <= t.maxBytes {
		record.Body = body
		t.bytes += len(body)
	}
}

// recordEarlyNotRun stores a not-run result that arrived before its claim, so
// that the claim is denied when it arrives.
func (t *claimTable) recordEarlyNotRun(result *zinniatide.ClaimResult, now zinniatide.Millis) {
	expires, ok := requestExpiry(result.RequestID)
	if !ok || result.Outcome != zinniatide.OutcomeNotRun || expires <= now || expires > now+zinniatide.MaxClaimLifetime+clockSlack {
		return
	}
	t.add(&claimRecord{ID: result.RequestID, Expires: expires, Token: result.Token, Freed: true})
}

// add inserts a record. It returns false if the table is full.
func (t *claimTable) add(c *claimRecord) bool {
	if len(t.byID) >= t.maxClaims || t.bytes+c.size() > t.maxBytes {
		return false
	}
	t.insert(c)
	return true
}

// insert adds a record without checking the limits. Restore uses it to keep
// every claim of a snapshot, because a dropped claim could be granted again.
func (t *claimTable) insert(c *claimRecord) {
	t.byID[c.ID] = c
	t.bytes += c.size()
	heap.Push(&t.byExpiry, c)
}

// dropExpired drops claims whose retention has ended.
func (t *claimTable) dropExpired(now zinniatide.Millis) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].Expires+claimRetention <= now {
		c := heap.Pop(&t.byExpiry).(*claimRecord)
		t.bytes -= c.size()
		delete(t.byID, c.ID)
	}
}

// expiryHeap orders claims by expiry. It implements heap.Interface.
type expiryHeap []*claimRecord

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires < h[j].Expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*claimRecord)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
