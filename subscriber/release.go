package subscriber

import (
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/controlproto"
)

type bucketID = controlproto.BucketID

// owns reports whether this process owns b.
func (s *Subscriber) owns(b *zinniatide.Bucket) bool {
	return b.Owner == s.config.Member.VM && b.OwnerIncarnation == s.config.Member.Incarnation
}

// ReleaseBucket tells that this VM has drained a bucket that it owns and whose
// Next is set: nothing is in flight, and its connections are closed. The
// release is repeated until a configuration shows the new owner. A call for
// another bucket has no effect. The caller must act on the configuration that
// Configuration returns; one that acts on an older copy uses ReleaseBucketAt.
func (s *Subscriber) ReleaseBucket(zone zinniatide.ZoneID, index int) {
	s.ReleaseBucketAt(zone, index, s.Configuration().Epoch)
}

// ReleaseBucketAt is ReleaseBucket for a caller that drained the bucket for the
// move which the configuration of epoch shows. It cannot end a later move.
func (s *Subscriber) ReleaseBucketAt(zone zinniatide.ZoneID, index int, epoch zinniatide.Epoch) {
	bucket := bucketID{Zone: zone, Index: index}
	if !s.releasable(s.Configuration(), bucket) {
		return
	}
	s.post(func() {
		if !slices.Contains(s.releases[epoch], bucket) {
			s.releases[epoch] = append(s.releases[epoch], bucket)
		}
	})
}

func (s *Subscriber) releasable(c *zinniatide.Configuration, bucket bucketID) bool {
	table := c.Buckets[bucket.Zone]
	return bucket.Index >= 0 && bucket.Index < len(table) && s.owns(&table[bucket.Index]) && table[bucket.Index].Next != ""
}

// forgetReleases drops the releases that the installed configuration shows as
// done.
func (s *Subscriber) forgetReleases() {
	c := s.Configuration()
	for epoch, buckets := range s.releases {
		buckets = slices.DeleteFunc(buckets, func(b bucketID) bool { return !s.releasable(c, b) })
		if len(buckets) == 0 {
			delete(s.releases, epoch)
		} else {
			s.releases[epoch] = buckets
		}
	}
}

// tickReleases sends the releases of one epoch at a time.
func (s *Subscriber) tickReleases(now zinniatide.Millis) {
	if len(s.releases) == 0 || s.releasing || now < s.nextRelease {
		return
	}
	leader := s.leader()
	if leader == "" {
		return
	}
	epoch := s.releaseTurn()
	s.releasing = true
	s.nextRelease = now + releaseRetry
	message := &controlproto.BucketRelease{
		VM: s.config.Member.VM, Incarnation: s.config.Member.Incarnation, Epoch: epoch, Buckets: slices.Clone(s.releases[epoch]),
	}
	call(s, leader, zinniatide.KindControlRelease, message, releaseTimeout, func(reply *controlproto.ReleaseReply, err error) {
		s.releasing = false
		if err == nil && !reply.Leading && reply.Leader != "" {
			s.nextRelease = 0
			s.changeLeader(leader, reply.Leader)
		}
	})
}

// releaseTurn returns the epoch after the one that was sent last, so that the
// releases of one epoch do not hold up those of another.
func (s *Subscriber) releaseTurn() zinniatide.Epoch {
	epochs := slices.Sorted(maps.Keys(s.releases))
	next := epochs[0]
	if i, _ := slices.BinarySearch(epochs, s.releaseSent+1); i < len(epochs) {
		next = epochs[i]
	}
	s.releaseSent = next
	return next
}
