package registrar

import (
	"maps"
	"slices"
	"strconv"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/controlproto"
)

// bucketKey identifies a bucket.
type bucketKey = controlproto.BucketID

// eligibleOwners lists the VMs of a configuration that may own buckets. All
// lists are sorted.
type eligibleOwners struct {
	byZone map[zinniatide.ZoneID][]zinniatide.VMID
	all    []zinniatide.VMID // computed when a zone has no eligible VM of its own
}

func findEligibleOwners(c *zinniatide.Configuration) *eligibleOwners {
	o := &eligibleOwners{byZone: map[zinniatide.ZoneID][]zinniatide.VMID{}}
	for vm, m := range c.Members {
		if c.VMServing(vm) {
			o.byZone[m.Zone] = append(o.byZone[m.Zone], vm)
		}
	}
	for _, vms := range o.byZone {
		slices.Sort(vms)
	}
	return o
}

// candidates returns the VMs that may own the buckets of zone: its own VMs, or
// the VMs of all zones if it has none.
func (o *eligibleOwners) candidates(zone zinniatide.ZoneID) []zinniatide.VMID {
	if vms := o.byZone[zone]; len(vms) > 0 {
		return vms
	}
	if o.all == nil {
		for _, vms := range o.byZone {
			o.all = append(o.all, vms...)
		}
		slices.Sort(o.all)
	}
	return o.all
}

// assignBuckets reassigns bucket owners after members or states have changed.
// It rehashes only zones whose candidates changed, because hashing every bucket
// over thousands of VMs on each restart would overload the control VMs.
func (r *Registrar) assignBuckets(tx *transaction) {
	before, after := r.eligible, findEligibleOwners(tx.next)
	if before == nil {
		before = findEligibleOwners(r.configuration)
	}
	r.eligible = after
	zones := map[zinniatide.ZoneID]bool{}
	for zone := range tx.next.Buckets {
		zones[zone] = true
	}
	for _, m := range tx.next.Members {
		zones[m.Zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		table := tx.next.Buckets[zone]
		candidates := after.candidates(zone)
		rehash := table == nil || !slices.Equal(candidates, before.candidates(zone))
		if table == nil {
			table = make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		}
		r.assignZoneBuckets(tx, zone, table, candidates, rehash)
	}
}

// assignZoneBuckets assigns the buckets of one zone. Without rehash it skips
// buckets whose owner is still a member.
func (r *Registrar) assignZoneBuckets(tx *transaction, zone zinniatide.ZoneID, table []zinniatide.Bucket, candidates []zinniatide.VMID, rehash bool) {
	var changes []BucketChange
	for i, bucket := range table {
		live := hasLiveOwner(tx.next, &bucket)
		if live && !rehash {
			continue
		}
		wanted := picker.Pick(string(zone)+"/"+strconv.Itoa(i), candidates)
		next := r.assignBucket(tx.next, bucketKey{Zone: zone, Index: i}, bucket, live, wanted)
		if next != bucket || tx.next.Buckets[zone] == nil {
			changes = append(changes, BucketChange{Zone: zone, Index: i, Bucket: next})
		}
	}
	if len(changes) > 0 {
		tx.add(Delta{Buckets: changes})
	}
}

// hasLiveOwner reports whether the process that owns b is a member.
func hasLiveOwner(c *zinniatide.Configuration, b *zinniatide.Bucket) bool {
	m, ok := c.Members[b.Owner]
	return ok && m.Process == b.OwnerProcess
}

// assignBucket returns b with wanted as its owner or, if its owner is live, as
// its next owner.
//
// A pending move is never cancelled. If the owner itself is wanted again,
// NextOwner names the owner, which still drains and releases the bucket.
// Cancelling would let the owner start new work after sending a release that has
// yet to be applied.
func (r *Registrar) assignBucket(c *zinniatide.Configuration, key bucketKey, b zinniatide.Bucket, live bool, wanted zinniatide.VMID) zinniatide.Bucket {
	if !live {
		delete(r.pendingMoves, key)
		_, replaced := c.Members[b.Owner]
		return zinniatide.Bucket{Owner: wanted, OwnerProcess: c.Members[wanted].Process, DelayStart: replaced}
	}
	if wanted == "" {
		wanted = b.Owner // no VM can take over
	}
	if b.NextOwner == "" && wanted == b.Owner {
		return b
	}
	if b.NextOwner == "" {
		r.pendingMoves[key] = r.configuration.Epoch + 1
	}
	b.NextOwner = wanted
	return b
}

// ReleaseHasEffect reports whether applying release now would move a bucket. The
// leader uses it to skip repeated releases of buckets that have already moved.
func (r *Registrar) ReleaseHasEffect(release *controlproto.BucketRelease) bool {
	for _, key := range release.Buckets {
		if r.completesMove(r.configuration.Buckets[key.Zone], release, key) {
			return true
		}
	}
	return false
}

// completesMove reports whether release completes the pending move of the bucket.
func (r *Registrar) completesMove(table []zinniatide.Bucket, release *controlproto.BucketRelease, key bucketKey) bool {
	if key.Index < 0 || key.Index >= len(table) {
		return false
	}
	b := &table[key.Index]
	return b.Owner == release.VM && b.OwnerProcess == release.Process && b.NextOwner != "" && release.Epoch >= r.pendingMoves[key]
}

// applyRelease moves the released buckets to their next owner. It skips a bucket
// unless the sender owns it and had seen the pending move.
func (r *Registrar) applyRelease(release *controlproto.BucketRelease) any {
	tx := newTransaction(r.configuration)
	for _, key := range release.Buckets {
		table := tx.next.Buckets[key.Zone]
		if !r.completesMove(table, release, key) {
			continue
		}
		b := table[key.Index]
		delete(r.pendingMoves, key)
		owner := zinniatide.Bucket{Owner: b.NextOwner, OwnerProcess: tx.next.Members[b.NextOwner].Process}
		tx.add(Delta{Buckets: []BucketChange{{Zone: key.Zone, Index: key.Index, Bucket: owner}}})
	}
	return r.commit(tx)
}
