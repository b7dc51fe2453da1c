package cataloger

import (
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// assembly holds the newest list of each VM and merges them into a catalogue.
// It is pure state with time passed in, and not safe for concurrent use.
type assembly struct {
	lists map[zinniatide.VMID]*heldList
	// orphans records since when a server has been listed only by VMs that do
	// not own its bucket.
	orphans map[zinniatide.BackendServerID]zinniatide.Millis
	// former holds the last list of replaced processes of a VM until until,
	// because the new process lists a server only once it has announced itself.
	former []formerList
}

type formerList struct {
	*heldList
	until zinniatide.Millis
}

type heldList struct {
	digest
	servers []zinniatide.Announcement
}

// choice is the entry of a server that the catalogue shows.
type choice struct {
	announcement *zinniatide.Announcement
	// owned is set when the owner of the bucket lists the server.
	owned bool
}

func newAssembly() *assembly {
	return &assembly{
		lists:   map[zinniatide.VMID]*heldList{},
		orphans: map[zinniatide.BackendServerID]zinniatide.Millis{},
	}
}

// behind reports whether d is newer than what is held of vm.
func (s *assembly) behind(vm zinniatide.VMID, d digest) bool {
	held, ok := s.lists[vm]
	return !ok || d.newer(held.digest)
}

// put replaces the list of vm, unless a newer one is held.
func (s *assembly) put(vm zinniatide.VMID, l list, now zinniatide.Millis) bool {
	d := digest{l.Incarnation, l.Sequence}
	if !s.behind(vm, d) {
		return false
	}
	if old := s.lists[vm]; old != nil && old.Incarnation != l.Incarnation {
		s.former = append(s.former, formerList{old, now + zinniatide.AnnouncementExpiry})
	}
	s.lists[vm] = &heldList{d, l.Servers}
	return true
}

// merge returns the servers of the catalogue, sorted by id, and drops what no
// longer counts. Of several entries of a server the newest incarnation wins,
// and among equal ones the owner's. An entry that only a VM without the bucket
// lists stays for AnnouncementExpiry, so that a hand-over does not empty the
// catalogue.
func (s *assembly) merge(c *zinniatide.Configuration, now zinniatide.Millis) []zinniatide.ServerStatus {
	s.former = slices.DeleteFunc(s.former, func(f formerList) bool { return now >= f.until })
	chosen := s.choose(c)
	for id := range s.orphans {
		if ch, ok := chosen[id]; !ok || ch.owned {
			delete(s.orphans, id)
		}
	}
	servers := make([]zinniatide.ServerStatus, 0, len(chosen))
	for id, ch := range chosen {
		if !ch.owned && s.orphaned(id, now) {
			continue
		}
		owner, _ := ownerOf(c, ch.announcement)
		servers = append(servers, zinniatide.ServerStatus{Announcement: *ch.announcement, Owner: owner})
	}
	s.dropMembers(c, now)
	slices.SortFunc(servers, func(a, b zinniatide.ServerStatus) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return servers
}

func (s *assembly) choose(c *zinniatide.Configuration) map[zinniatide.BackendServerID]choice {
	chosen := map[zinniatide.BackendServerID]choice{}
	for vm, held := range s.lists {
		member, isMember := c.Members[vm]
		isMember = isMember && member.Incarnation == held.Incarnation
		for i := range held.servers {
			a := &held.servers[i]
			b := bucketOf(c, a)
			owned := isMember && b != nil && b.Owner == vm && b.OwnerIncarnation == held.Incarnation
			offer(chosen, choice{a, owned})
		}
	}
	for _, f := range s.former {
		for i := range f.servers {
			offer(chosen, choice{&f.servers[i], false})
		}
	}
	return chosen
}

func offer(chosen map[zinniatide.BackendServerID]choice, next choice) {
	old, ok := chosen[next.announcement.Server]
	if !ok || next.better(old) {
		chosen[next.announcement.Server] = next
	}
}

func (n choice) better(old choice) bool {
	if n.announcement.Incarnation != old.announcement.Incarnation {
		return n.announcement.Incarnation > old.announcement.Incarnation
	}
	return n.owned && !old.owned
}

func (s *assembly) orphaned(id zinniatide.BackendServerID, now zinniatide.Millis) bool {
	since, ok := s.orphans[id]
	if !ok {
		s.orphans[id] = now
		return false
	}
	return now >= since+zinniatide.AnnouncementExpiry
}

// dropMembers forgets the lists of VMs that are gone once all their entries
// have expired.
func (s *assembly) dropMembers(c *zinniatide.Configuration, now zinniatide.Millis) {
	for vm, held := range s.lists {
		if _, ok := c.Members[vm]; ok {
			continue
		}
		needed := slices.ContainsFunc(held.servers, func(a zinniatide.Announcement) bool {
			since, ok := s.orphans[a.Server]
			return ok && now < since+zinniatide.AnnouncementExpiry
		})
		if !needed {
			delete(s.lists, vm)
		}
	}
}

func bucketOf(c *zinniatide.Configuration, a *zinniatide.Announcement) *zinniatide.Bucket {
	buckets := c.Buckets[a.Zone]
	if i := zinniatide.BucketOf(a.Server); i < len(buckets) {
		return &buckets[i]
	}
	return nil
}

// ownerOf returns the VM that may get work for the server, empty during a
// hand-over, and the VM that takes its announcements.
func ownerOf(c *zinniatide.Configuration, a *zinniatide.Announcement) (owner, announce zinniatide.VMID) {
	b := bucketOf(c, a)
	if b == nil || b.Owner == "" {
		return "", ""
	}
	if m, ok := c.Members[b.Owner]; !ok || m.Incarnation != b.OwnerIncarnation {
		return "", ""
	}
	if b.Next != "" {
		return "", b.Owner
	}
	return b.Owner, b.Owner
}
