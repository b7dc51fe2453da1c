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
	return b.Owner == s.config.Member.VM && b.OwnerProcess == s.config.Member.Process
}

// ReleaseBucket reports that this VM has drained a bucket that it owns and whose
// NextOwner is set: no request is in flight, and its connections are closed. The
// release is resent until a configuration contains the new owner. A call for any
// other bucket has no effect. The caller must use the configuration returned by
// Configuration; with an older copy it must call ReleaseBucketAt.
func (s *Subscriber) ReleaseBucket(zone zinniatide.ZoneID, index int) {
	s.ReleaseBucketAt(zone, index, s.Configuration().Epoch)
}

// ReleaseBucketAt is like ReleaseBucket for a bucket that was drained for the
// move contained in the configuration of epoch. It cannot complete a later move.
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
	return bucket.Index >= 0 && bucket.Index < len(table) && s.owns(&table[bucket.Index]) && table[bucket.Index].NextOwner != ""
}

// dropCompletedReleases removes the releases that are complete in the installed
// configuration.
func (s *Subscriber) dropCompletedReleases() {
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

// sendReleasesIfDue sends the pending releases, one epoch per message.
func (s *Subscriber) sendReleasesIfDue(now zinniatide.Millis) {
	if len(s.releases) == 0 || s.releaseInFlight || now < s.nextReleaseAt {
		return
	}
	contacted := s.contactVM()
	if contacted == "" {
		return
	}
	epoch := s.nextReleaseEpoch()
	s.releaseInFlight = true
	s.nextReleaseAt = now + releaseInterval
	message := &controlproto.BucketRelease{
		VM: s.config.Member.VM, Process: s.config.Member.Process, Epoch: epoch, Buckets: slices.Clone(s.releases[epoch]),
	}
	call(s, contacted, zinniatide.KindControlRelease, message, releaseTimeout, func(reply *controlproto.ReleaseReply, err error) {
		s.releaseInFlight = false
		if err == nil && !reply.Leading && reply.Leader != "" {
			s.nextReleaseAt = 0
			s.switchContact(contacted, reply.Leader)
		}
	})
}

// nextReleaseEpoch selects the epochs in round-robin order, so that the releases
// of one epoch do not delay those of another.
func (s *Subscriber) nextReleaseEpoch() zinniatide.Epoch {
	epochs := slices.Sorted(maps.Keys(s.releases))
	next := epochs[0]
	if i, _ := slices.BinarySearch(epochs, s.lastReleaseEpoch+1); i < len(epochs) {
		next = epochs[i]
	}
	s.lastReleaseEpoch = next
	return next
}
