package cataloger

import (
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
)

// incarnationRetention is how long the incarnation of a server is kept after its
// last announcement. It keeps a delayed announcement of a replaced process from
// being accepted.
const incarnationRetention = 15 * zinniatide.AnnouncementExpiry

// table holds the announcements sent to this VM by backend servers. It reads no
// clock: times are passed in. It is not safe for concurrent use.
type table struct {
	entries map[zinniatide.BackendServerID]*entry
	// sequence is incremented with each change that is relevant to other VMs.
	sequence uint64
}

type entry struct {
	announcement    zinniatide.Announcement
	lastAnnouncedAt zinniatide.Millis
	listed          bool
}

func newTable() *table {
	return &table{entries: map[zinniatide.BackendServerID]*entry{}}
}

// put adds an announcement. It fails with CodeSuperseded if a newer process of
// the server is known, and with CodeOverloaded if the table is full.
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
		return supersededError(a, e.announcement.Incarnation)
	}
	if !e.listed || !sameExceptLoad(&e.announcement, a) {
		t.sequence++
	}
	e.announcement, e.lastAnnouncedAt, e.listed = *a, now, true
	return nil
}

func supersededError(a *zinniatide.Announcement, newest zinniatide.Incarnation) error {
	return zinniatide.Refuse(zinniatide.CodeSuperseded,
		"incarnation %d of server %s was replaced by %d", a.Incarnation, a.Server, newest)
}

// expire unlists servers whose last announcement has expired, and removes them
// after incarnationRetention.
func (t *table) expire(now zinniatide.Millis) {
	for id, e := range t.entries {
		if e.listed && now >= e.lastAnnouncedAt+zinniatide.AnnouncementExpiry {
			e.listed = false
			t.sequence++
		}
		if now >= e.lastAnnouncedAt+incarnationRetention {
			delete(t.entries, id)
		}
	}
}

// nextExpiry returns when the next announcement expires, at most limit.
func (t *table) nextExpiry(limit zinniatide.Millis) zinniatide.Millis {
	for _, e := range t.entries {
		if e.listed {
			limit = min(limit, e.lastAnnouncedAt+zinniatide.AnnouncementExpiry)
		}
	}
	return limit
}

// list returns the listed servers, sorted by id. Servers of buckets that this VM
// no longer owns are included until they expire, so that none is missing from the
// catalog during a hand-over.
func (t *table) list() []zinniatide.Announcement {
	var servers []zinniatide.Announcement
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; e.listed {
			servers = append(servers, e.announcement)
		}
	}
	return servers
}

// sameExceptLoad compares two announcements without their load reports.
func sameExceptLoad(a, b *zinniatide.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Address == b.Address &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.Draining == b.Draining &&
		slices.EqualFunc(a.Offers, b.Offers, func(x, y zinniatide.ServiceOffer) bool {
			return x.Service == y.Service && slices.Equal(x.Searchers, y.Searchers)
		})
}
