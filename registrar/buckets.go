package registrar

import (
	"maps"
	"slices"
	"strconv"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/controlproto"
)

// bucketKey names a bucket within the move table.
type bucketKey = controlproto.BucketID

// serving lists the VMs of a configuration that may own buckets, by zone and
// in all, sorted.
type serving struct {
	byZone map[zinniatide.ZoneID][]zinniatide.VMID
	all    []zinniatide.VMID // filled when a zone has none of its own
}

func servingVMs(c *zinniatide.Configuration) *serving {
	s := &serving{byZone: map[zinniatide.ZoneID][]zinniatide.VMID{}}
	for vm, m := range c.Members {
		if c.VMServing(vm) {
			s.byZone[m.Zone] = append(s.byZone[m.Zone], vm)
		}
	}
	for _, vms := range s.byZone {
		slices.Sort(vms)
	}
	return s
}

// candidates returns the VMs that may own buckets of zone.
func (s *serving) candidates(zone zinniatide.ZoneID) []zinniatide.VMID {
	if vms := s.byZone[zone]; len(vms) > 0 {
		return vms
	}
	if s.all == nil {
		for _, vms := range s.byZone {
			s.all = append(s.all, vms...)
		}
		slices.Sort(s.all)
	}
	return s.all
}

// assignBuckets decides the bucket owners after members or states changed.
// Only zones whose candidates changed are hashed again, because hashing every
// bucket over thousands of VMs for each restart would load the control VMs.
func (r *Registrar) assignBuckets(c *change) {
	before, after := r.serving, servingVMs(c.next)
	if before == nil {
		before = servingVMs(r.configuration)
	}
	r.serving = after
	zones := map[zinniatide.ZoneID]bool{}
	for zone := range c.next.Buckets {
		zones[zone] = true
	}
	for _, m := range c.next.Members {
		zones[m.Zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		table := c.next.Buckets[zone]
		candidates := after.candidates(zone)
		moved := table == nil || !slices.Equal(candidates, before.candidates(zone))
		if table == nil {
			table = make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		}
		r.assignZone(c, zone, table, candidates, moved)
	}
}

func (r *Registrar) assignZone(c *change, zone zinniatide.ZoneID, table []zinniatide.Bucket, candidates []zinniatide.VMID, moved bool) {
	var changes []BucketChange
	for i, bucket := range table {
		live := isLive(c.next, &bucket)
		if live && !moved {
			continue
		}
		wanted := picker.Pick(string(zone)+"/"+strconv.Itoa(i), candidates)
		next := r.decide(c.next, bucketKey{Zone: zone, Index: i}, bucket, live, wanted)
		if next != bucket || c.next.Buckets[zone] == nil {
			changes = append(changes, BucketChange{Zone: zone, Index: i, Bucket: next})
		}
	}
	if len(changes) > 0 {
		c.add(Delta{Buckets: changes})
	}
}

// isLive reports whether the incarnation that owns b is a member.
func isLive(c *zinniatide.Configuration, b *zinniatide.Bucket) bool {
	m, ok := c.Members[b.Owner]
	return ok && m.Incarnation == b.OwnerIncarnation
}

// decide returns the bucket after wanted became its wanted owner.
//
// A pending move is never cancelled: when the owner is wanted again, Next
// names the owner itself. The owner still drains and releases, so it never
// starts work again between a release that is under way and its entry.
func (r *Registrar) decide(c *zinniatide.Configuration, key bucketKey, b zinniatide.Bucket, live bool, wanted zinniatide.VMID) zinniatide.Bucket {
	if !live {
		delete(r.moves, key)
		_, replaced := c.Members[b.Owner]
		return zinniatide.Bucket{Owner: wanted, OwnerIncarnation: c.Members[wanted].Incarnation, Settle: replaced}
	}
	if wanted == "" {
		wanted = b.Owner // nobody can take over
	}
	if b.Next == "" && wanted == b.Owner {
		return b
	}
	if b.Next == "" {
		r.moves[key] = r.configuration.Epoch + 1
	}
	b.Next = wanted
	return b
}

// ReleaseHasEffect reports whether applying release now would move a bucket.
// A leader does not propose the repeated releases of buckets that have moved.
func (r *Registrar) ReleaseHasEffect(release *controlproto.BucketRelease) bool {
	for _, key := range release.Buckets {
		if r.releases(r.configuration.Buckets[key.Zone], release, key) {
			return true
		}
	}
	return false
}

// releases reports whether release ends the pending move of one bucket.
func (r *Registrar) releases(table []zinniatide.Bucket, release *controlproto.BucketRelease, key bucketKey) bool {
	if key.Index < 0 || key.Index >= len(table) {
		return false
	}
	b := &table[key.Index]
	return b.Owner == release.VM && b.OwnerIncarnation == release.Incarnation && b.Next != "" && release.Epoch >= r.moves[key]
}

// applyRelease moves the named buckets to their next owner. A release is
// ignored unless its sender owns the bucket and had seen the pending move.
func (r *Registrar) applyRelease(release *controlproto.BucketRelease) any {
	c := newChange(r.configuration)
	for _, key := range release.Buckets {
		table := c.next.Buckets[key.Zone]
		if !r.releases(table, release, key) {
			continue
		}
		b := table[key.Index]
		delete(r.moves, key)
		owner := zinniatide.Bucket{Owner: b.Next, OwnerIncarnation: c.next.Members[b.Next].Incarnation}
		c.add(Delta{Buckets: []BucketChange{{Zone: key.Zone, Index: key.Index, Bucket: owner}}})
	}
	return r.commit(c)
}
