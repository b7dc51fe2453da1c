package scenarios

import (
	"fmt"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cataloger"
	"zinniatide.example/zinniatide/cmd/zinniabench/members"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
)

// catalogSizes are the numbers of backend servers, up to the scale expected in two
// years.
var catalogSizes = []int{1000, 2000, 5000, 10_000, 20_000, 38_000}

const (
	// serversPerOwner is the number of servers per bucket with 38,000 servers in
	// 7 zones of 64 buckets each.
	serversPerOwner = 85
	catalogShards   = 84
	catalogChanges  = 20
)

// capacityCatalog measures the catalog on a VM that owns no servers: its memory,
// and the cost of a change of one server, of a configuration change that affects
// no server, and of building the planner index.
var capacityCatalog = Scenario{Name: "capacity-catalog", Run: func(e *Env) error {
	memory := &scalingSeries{name: "memory", unit: "B", sizeUnit: "servers"}
	pulled := &scalingSeries{name: "pulled", unit: "B", sizeUnit: "servers"}
	perChange := &scalingSeries{name: "bytes-per-change", unit: "B", sizeUnit: "servers"}
	change := &scalingSeries{name: "cpu-per-change", unit: "us", sizeUnit: "servers"}
	unrelated := &scalingSeries{name: "cpu-per-configuration", unit: "us", sizeUnit: "servers"}
	index := &scalingSeries{name: "cpu-per-index", unit: "us", sizeUnit: "servers"}
	indexMemory := &scalingSeries{name: "index-memory", unit: "B", sizeUnit: "servers"}
	for _, n := range catalogSizes {
		h, err := newCatalogHarness(n)
		if err != nil {
			return err
		}
		x := float64(n)
		pulled.add(x, float64(h.messageBytes))
		memory.add(x, h.readerMemory)
		h.messageBytes = 0
		each, err := cpuMicrosPerCall(catalogChanges, func(i int) error { return h.changeServer(i) })
		if err != nil {
			return err
		}
		change.add(x, each)
		perChange.add(x, float64(h.messageBytes)/catalogChanges)
		if each, err = cpuMicrosPerCall(catalogChanges, func(int) error { h.bumpEpoch(); return nil }); err != nil {
			return err
		}
		unrelated.add(x, each)
		table := observer.New()
		var built *planner.Index
		before := members.LiveMemory()
		if each, err = cpuMicrosPerCall(catalogChanges, func(int) error {
			built = planner.BuildIndex(h.configuration, h.reader.Catalog(), "zone-1", table, h.now)
			return nil
		}); err != nil {
			return err
		}
		index.add(x, each)
		indexMemory.add(x, float64(members.LiveMemory())-float64(before))
		if got, want := built.Service(serviceID).Slots, 2*h.countNotDraining(); got != want {
			return fmt.Errorf("planner index of %d servers has %d slots, want %d", n, got, want)
		}
	}
	return e.reportSeries("capacity-catalog", memory, pulled, perChange, change, unrelated, index, indexMemory)
}}

// cpuMicrosPerCall calls f n times and returns the CPU time per call in µs,
// including garbage collection.
func cpuMicrosPerCall(n int, f func(i int) error) (float64, error) {
	start, err := members.CPUTime()
	if err != nil {
		return 0, err
	}
	for i := range n {
		if err := f(i); err != nil {
			return 0, err
		}
	}
	end, err := members.CPUTime()
	return float64((end - start).Nanoseconds()) / 1000 / float64(n), err
}

// catalogHarness connects catalogers that each own some servers to a reader that
// owns none. Messages are encoded as on a link, but delivered synchronously.
type catalogHarness struct {
	configuration *zinniatide.Configuration
	owners        []*cataloger.Cataloger
	servers       [][]zinniatide.Announcement // by owner
	reader        *cataloger.Cataloger
	handlers      map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	messageBytes  int
	readerMemory  float64
	// now only advances explicitly, so that no server expires during a long
	// measurement.
	now zinniatide.Millis
}

// digestPause is longer than the digest interval and shorter than the lifetime of
// an announcement.
const digestPause zinniatide.Millis = 600

const readerVM zinniatide.VMID = "reader"

func newCatalogHarness(n int) (*catalogHarness, error) {
	h := &catalogHarness{handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{}}
	h.configure(n)
	for i := range h.servers {
		h.owners = append(h.owners, h.cataloger(ownerVM(i)))
	}
	for i, servers := range h.servers {
		for _, a := range servers {
			if _, err := h.owners[i].Announce(a); err != nil {
				return nil, err
			}
		}
	}
	// The reader is created last, so that its memory can be measured separately.
	before := members.LiveMemory()
	h.reader = h.cataloger(readerVM)
	h.messageBytes = 0
	h.now += digestPause
	for _, o := range h.owners {
		o.Tick() // sends the digest again
	}
	if got := len(h.reader.Catalog().Servers); got != n {
		return nil, fmt.Errorf("the reader knows %d of %d servers", got, n)
	}
	h.readerMemory = float64(members.LiveMemory()) - float64(before)
	return h, nil
}

func ownerVM(i int) zinniatide.VMID { return zinniatide.VMID(fmt.Sprintf("owner-%05d", i)) }

// configure creates a configuration with one bucket per owner and distributes n
// servers over the owners. The last owner may have fewer servers.
func (h *catalogHarness) configure(n int) {
	owners := (n + serversPerOwner - 1) / serversPerOwner
	h.configuration = &zinniatide.Configuration{
		Epoch: 1, Members: map[zinniatide.VMID]zinniatide.Member{}, Buckets: map[zinniatide.ZoneID][]zinniatide.Bucket{},
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
			serviceID: {Versions: []zinniatide.IndexVersionSetting{{Version: 1, ShardCount: catalogShards}}, Slots: 2},
		},
	}
	h.servers = make([][]zinniatide.Announcement, owners)
	h.configuration.Members[readerVM] = zinniatide.Member{VM: readerVM, Process: 1, Zone: "zone-1", Entry: true, State: zinniatide.StateIn}
	for i := range owners {
		zone := zinniatide.ZoneID(fmt.Sprintf("zone-%d", i/zinniatide.BucketsPerZone+1))
		if h.configuration.Buckets[zone] == nil {
			h.configuration.Buckets[zone] = make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		}
		h.configuration.Buckets[zone][i%zinniatide.BucketsPerZone] = zinniatide.Bucket{Owner: ownerVM(i), OwnerProcess: 1}
		h.configuration.Members[ownerVM(i)] = zinniatide.Member{
			VM: ownerVM(i), Process: 1, Zone: zone, Entry: true, State: zinniatide.StateIn, HTTPAddress: "10.0.0.1:80",
		}
	}
	for i, found := 0, 0; found < n; i++ {
		id := zinniatide.BackendServerID(fmt.Sprintf("server-%07d", i))
		owner := found / serversPerOwner
		if zinniatide.BucketOf(id) != owner%zinniatide.BucketsPerZone {
			continue
		}
		h.servers[owner] = append(h.servers[owner], newAnnouncement(id, owner/zinniatide.BucketsPerZone+1, found))
		found++
	}
}

func newAnnouncement(id zinniatide.BackendServerID, zone, number int) zinniatide.Announcement {
	setting := zinniatide.IndexVersionSetting{ShardCount: catalogShards}
	return zinniatide.Announcement{
		Server: id, Incarnation: 1, Zone: zinniatide.ZoneID(fmt.Sprintf("zone-%d", zone)),
		Address: fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&255, number&255), Slots: 2, Connections: 25,
		Offers: []zinniatide.ServiceOffer{{Service: serviceID, Searchers: []zinniatide.Searcher{
			{Version: 1, KeyRange: setting.Shards()[number%catalogShards]}}}},
	}
}

func (h *catalogHarness) cataloger(id zinniatide.VMID) *cataloger.Cataloger {
	h.handlers[id] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	return cataloger.New(cataloger.Options{
		VM: id, Process: 1, Clock: h, Configuration: h, Linker: &directLinker{h, id},
	})
}

// changeServer changes one server at its owner. The owner sends a digest, and the
// reader pulls the changed list and rebuilds its catalog.
func (h *catalogHarness) changeServer(i int) error {
	owner := i % len(h.owners)
	a := &h.servers[owner][0]
	a.Draining = !a.Draining
	sequence := h.reader.Catalog().Sequence
	if _, err := h.owners[owner].Announce(*a); err != nil {
		return err
	}
	if got := h.reader.Catalog().Sequence; got != sequence+1 {
		return fmt.Errorf("the reader's catalog has sequence %d, want %d", got, sequence+1)
	}
	return nil
}

// countNotDraining returns the number of servers that are not draining.
func (h *catalogHarness) countNotDraining() int {
	n := 0
	for _, servers := range h.servers {
		for i := range servers {
			if !servers[i].Draining {
				n++
			}
		}
	}
	return n
}

// bumpEpoch makes the reader process a configuration that differs only in its
// epoch.
func (h *catalogHarness) bumpEpoch() {
	next := *h.configuration
	next.Epoch++
	h.configuration = &next
	h.reader.Tick()
}

// Now implements zinniatide.Clock.
func (h *catalogHarness) Now() zinniatide.Millis { return h.now }

// Unix implements zinniatide.Clock.
func (h *catalogHarness) Unix() zinniatide.Millis { return h.now }

// Configuration implements zinniatide.ConfigurationProvider.
func (h *catalogHarness) Configuration() *zinniatide.Configuration { return h.configuration }

// LeaseUntil implements zinniatide.ConfigurationProvider.
func (h *catalogHarness) LeaseUntil() zinniatide.Millis { return 1 << 40 }

// directLinker passes messages between the owners and the reader in memory and
// counts the bytes of their bodies. Messages between owners are dropped.
type directLinker struct {
	harness *catalogHarness
	self    zinniatide.VMID
}

// Handle implements zinniatide.Linker.
func (l *directLinker) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.harness.handlers[l.self][kind] = h
}

// SetPeers implements zinniatide.Linker.
func (l *directLinker) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {}

// Connected implements zinniatide.Linker.
func (l *directLinker) Connected(zinniatide.VMID) bool { return true }

// Send implements zinniatide.Linker.
func (l *directLinker) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	h := l.harness.handlers[peer][kind]
	if peer != readerVM || h == nil {
		return nil
	}
	raw, err := encoder.Marshal(body)
	if err == nil {
		l.harness.messageBytes += len(raw)
		h(l.self, raw, nil)
	}
	return err
}

// Call implements zinniatide.Linker.
func (l *directLinker) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	l.harness.messageBytes += len(raw)
	l.harness.handlers[peer][kind](l.self, raw, func(value any, err error) {
		var answer []byte
		if err == nil {
			answer, err = encoder.Marshal(value)
		}
		l.harness.messageBytes += len(answer)
		done(answer, err)
	})
}
