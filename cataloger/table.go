package cataloger

import (
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

// rememberedFor is how long a silent server's incarnation is remembered, so
// that a delayed announcement of a replaced process cannot bring it back.
const rememberedFor = 15 * zinniatide.AnnouncementExpiry

// table is what backend servers have announced to this VM. It is pure state
// with time passed in, and not safe for concurrent use.
type table struct {
	entries map[zinniatide.BackendServerID]*entry
	// sequence grows with each change that matters to other VMs.
	sequence uint64
}

type entry struct {
	announcement zinniatide.Announcement
	heard        zinniatide.Millis
	listed       bool
}

func newTable() *table {
	return &table{entries: map[zinniatide.BackendServerID]*entry{}}
}

// put takes an announcement. It fails with CodeSuperseded when a newer process
// of the server is known, and with CodeOverloaded when the table is full.
func (t *table) put(a *zinniatide.Announcement, now zinniatide.Millis) error {
	e := t.entries[a.Server]
	if e == nil {
		if len(t.entries) >= maxServers {
			return zinniatide.Refuse(zinniatide.CodeOverloaded, "the table of %d servers is full", maxServers)
		}
		e = &entry{}
		t.entries[a.Server] = e
	}
	if a.Incarnation < e.announcement.Incarnation {
		return superseded(a, e.announcement.Incarnation)
	}
	if !e.listed || !sameOffer(&e.announcement, a) {
		t.sequence++
	}
	e.announcement, e.heard, e.listed = *a, now, true
	return nil
}

func superseded(a *zinniatide.Announcement, newest zinniatide.Incarnation) error {
	return zinniatide.Refuse(zinniatide.CodeSuperseded,
		"incarnation %d of server %s was replaced by %d", a.Incarnation, a.Server, newest)
}

// expire unlists silent servers.
func (t *table) expire(now zinniatide.Millis) {
	for id, e := range t.entries {
		if e.listed && now >= e.heard+zinniatide.AnnouncementExpiry {
			e.listed = false
			t.sequence++
		}
		if now >= e.heard+rememberedFor {
			delete(t.entries, id)
		}
	}
}

// nextExpiry returns when the next silent server expires, at most limit.
func (t *table) nextExpiry(limit zinniatide.Millis) zinniatide.Millis {
	for _, e := range t.entries {
		if e.listed {
			limit = min(limit, e.heard+zinniatide.AnnouncementExpiry)
		}
	}
	return limit
}

// list returns the listed servers, sorted by id. Those of buckets that this VM
// has given up are included until they expire, so that a hand-over leaves no gap.
func (t *table) list() []zinniatide.Announcement {
	var servers []zinniatide.Announcement
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; e.listed {
			servers = append(servers, e.announcement)
		}
	}
	return servers
}

// sameOffer compares everything but the load report.
func sameOffer(a, b *zinniatide.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Address == b.Address &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.Draining == b.Draining &&
		slices.EqualFunc(a.Offers, b.Offers, func(x, y zinniatide.ServiceOffer) bool {
			return x.Service == y.Service && slices.Equal(x.Searchers, y.Searchers)
		})
}
