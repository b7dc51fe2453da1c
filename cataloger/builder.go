package cataloger

import (
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// catalogBuilder holds the newest list of each VM and merges them into a catalog.
// It reads no clock: times are passed in. It is not safe for concurrent use.
type catalogBuilder struct {
	lists map[zinniatide.VMID]*receivedList
	// orphanedSince holds the time since which a server has been listed only by VMs
	// that do not own its bucket.
	orphanedSince map[zinniatide.BackendServerID]zinniatide.Millis
	// replacedLists holds the last lists of replaced VM processes until they expire.
	// The new process lists a server only after the server has announced itself
	// again.
	replacedLists []replacedList
}

type replacedList struct {
	*receivedList
	until zinniatide.Millis
}

type receivedList struct {
	digest
	servers []zinniatide.Announcement
}

// candidate is the preferred entry for one server of the catalog.
type candidate struct {
	announcement *zinniatide.Announcement
	// owned is set if the entry comes from the owner of the server's bucket.
	owned bool
}

func newCatalogBuilder() *catalogBuilder {
	return &catalogBuilder{
		lists:         map[zinniatide.VMID]*receivedList{},
		orphanedSince: map[zinniatide.BackendServerID]zinniatide.Millis{},
	}
}

// outdated reports whether d is newer than the list held for vm.
func (b *catalogBuilder) outdated(vm zinniatide.VMID, d digest) bool {
	current, ok := b.lists[vm]
	return !ok || d.newer(current.digest)
}

// put replaces the list of vm if l is newer, and reports whether it did.
func (b *catalogBuilder) put(vm zinniatide.VMID, l list, now zinniatide.Millis) bool {
	d := digest{l.Process, l.Sequence}
	if !b.outdated(vm, d) {
		return false
	}
	if old := b.lists[vm]; old != nil && old.Process != l.Process {
		b.replacedLists = append(b.replacedLists, replacedList{old, now + zinniatide.AnnouncementExpiry})
	}
	b.lists[vm] = &receivedList{d, l.Servers}
	return true
}

// merge returns the servers of the catalog, sorted by id, and removes lists that
// are no longer needed. If several VMs list a server, the newest incarnation wins
// and, among equal ones, the entry of the bucket's owner. An entry listed only by
// VMs that do not own the bucket stays for AnnouncementExpiry, so that the
// catalog keeps its servers during a hand-over.
func (b *catalogBuilder) merge(c *zinniatide.Configuration, now zinniatide.Millis) []zinniatide.ServerStatus {
	b.replacedLists = slices.DeleteFunc(b.replacedLists, func(replaced replacedList) bool { return now >= replaced.until })
	candidates := b.selectCandidates(c)
	for id := range b.orphanedSince {
		if selected, ok := candidates[id]; !ok || selected.owned {
			delete(b.orphanedSince, id)
		}
	}
	servers := make([]zinniatide.ServerStatus, 0, len(candidates))
	for id, selected := range candidates {
		if !selected.owned && b.orphanExpired(id, now) {
			continue
		}
		owner, _ := ownerOf(c, selected.announcement)
		servers = append(servers, zinniatide.ServerStatus{Announcement: *selected.announcement, Owner: owner})
	}
	b.dropDepartedMembers(c, now)
	slices.SortFunc(servers, func(a, b zinniatide.ServerStatus) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return servers
}

func (b *catalogBuilder) selectCandidates(c *zinniatide.Configuration) map[zinniatide.BackendServerID]candidate {
	candidates := map[zinniatide.BackendServerID]candidate{}
	for vm, received := range b.lists {
		member, isMember := c.Members[vm]
		isMember = isMember && member.Process == received.Process
		for i := range received.servers {
			a := &received.servers[i]
			bucket := bucketOf(c, a)
			owned := isMember && bucket != nil && bucket.Owner == vm && bucket.OwnerProcess == received.Process
			addCandidate(candidates, candidate{a, owned})
		}
	}
	for _, replaced := range b.replacedLists {
		for i := range replaced.servers {
			addCandidate(candidates, candidate{&replaced.servers[i], false})
		}
	}
	return candidates
}

func addCandidate(candidates map[zinniatide.BackendServerID]candidate, next candidate) {
	old, ok := candidates[next.announcement.Server]
	if !ok || next.preferredOver(old) {
		candidates[next.announcement.Server] = next
	}
}

func (c candidate) preferredOver(old candidate) bool {
	if c.announcement.Incarnation != old.announcement.Incarnation {
		return c.announcement.Incarnation > old.announcement.Incarnation
	}
	return c.owned && !old.owned
}

func (b *catalogBuilder) orphanExpired(id zinniatide.BackendServerID, now zinniatide.Millis) bool {
	since, ok := b.orphanedSince[id]
	if !ok {
		b.orphanedSince[id] = now
		return false
	}
	return now >= since+zinniatide.AnnouncementExpiry
}

// dropDepartedMembers removes the lists of VMs that are no longer members, once
// all entries of the list have expired.
func (b *catalogBuilder) dropDepartedMembers(c *zinniatide.Configuration, now zinniatide.Millis) {
	for vm, received := range b.lists {
		if _, ok := c.Members[vm]; ok {
			continue
		}
		inUse := slices.ContainsFunc(received.servers, func(a zinniatide.Announcement) bool {
			since, ok := b.orphanedSince[a.Server]
			return ok && now < since+zinniatide.AnnouncementExpiry
		})
		if !inUse {
			delete(b.lists, vm)
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

// ownerOf returns owner, the VM to which work for the server is sent, which is
// empty during a hand-over, and announceTo, the VM to which its announcements are
// sent.
func ownerOf(c *zinniatide.Configuration, a *zinniatide.Announcement) (owner, announceTo zinniatide.VMID) {
	b := bucketOf(c, a)
	if b == nil || b.Owner == "" {
		return "", ""
	}
	if m, ok := c.Members[b.Owner]; !ok || m.Process != b.OwnerProcess {
		return "", ""
	}
	if b.NextOwner != "" {
		return "", b.Owner
	}
	return b.Owner, b.Owner
}
