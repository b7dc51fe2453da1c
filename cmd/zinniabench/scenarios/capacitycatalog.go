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

// catalogSizes are numbers of backend servers, up to the scale in two years.
var catalogSizes = []int{1000, 2000, 5000, 10_000, 20_000, 38_000}

const (
	// serversPerOwner is the number of servers per bucket at 38,000 servers in
	// 7 zones of 64 buckets.
	serversPerOwner = 85
	catalogShards   = 84
	catalogChanges  = 20
)

// capacityCatalog measures the catalogue at a VM that owns none of the
// servers: its memory, a change of one server, a configuration change that
// concerns no server, and the index of the planner.
var capacityCatalog = Scenario{Name: "capacity-catalog", Run: func(e *Env) error {
	memory := &series{name: "memory", unit: "B", per: "servers"}
	pulled := &series{name: "pulled", unit: "B", per: "servers"}
	perChange := &series{name: "bytes-per-change", unit: "B", per: "servers"}
	change := &series{name: "cpu-per-change", unit: "us", per: "servers"}
	unrelated := &series{name: "cpu-per-configuration", unit: "us", per: "servers"}
	index := &series{name: "cpu-per-index", unit: "us", per: "servers"}
	indexMemory := &series{name: "index-memory", unit: "B", per: "servers"}
	for _, n := range catalogSizes {
		w, err := newCatalogWorld(n)
		if err != nil {
			return err
		}
		x := float64(n)
		pulled.add(x, float64(w.bytes))
		memory.add(x, w.memory)
		w.bytes = 0
		each, err := cpuOf(catalogChanges, func(i int) error { return w.change(i) })
		if err != nil {
			return err
		}
		change.add(x, each)
		perChange.add(x, float64(w.bytes)/catalogChanges)
		if each, err = cpuOf(catalogChanges, func(int) error { w.touchConfiguration(); return nil }); err != nil {
			return err
		}
		unrelated.add(x, each)
		table := observer.New()
		var built *planner.Index
		before := members.LiveMemory()
		if each, err = cpuOf(catalogChanges, func(int) error {
			built = planner.Build(w.configuration, w.reader.Catalog(), "zone-1", table, w.now)
			return nil
		}); err != nil {
			return err
		}
		index.add(x, each)
		indexMemory.add(x, float64(members.LiveMemory())-float64(before))
		if got, want := built.Service(service).Slots, 2*w.taking(); got != want {
			return fmt.Errorf("the index of %d servers has %d slots, want %d", n, got, want)
		}
	}
	return e.reportSeries("capacity-catalog", memory, pulled, perChange, change, unrelated, index, indexMemory)
}}

// cpuOf returns the processor time of one call of f in µs, with the garbage
// collection that it causes.
func cpuOf(n int, f func(i int) error) (float64, error) {
	start, err := members.ProcessorTime()
	if err != nil {
		return 0, err
	}
	for i := range n {
		if err := f(i); err != nil {
			return 0, err
		}
	}
	end, err := members.ProcessorTime()
	return float64((end - start).Nanoseconds()) / 1000 / float64(n), err
}

// catalogWorld has owners that each list some servers, and one reader. Their
// messages are encoded and decoded as on a link, and handled at once.
type catalogWorld struct {
	configuration *zinniatide.Configuration
	owners        []*cataloger.Cataloger
	servers       [][]zinniatide.Announcement // by owner
	reader        *cataloger.Cataloger
	handlers      map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler
	bytes         int
	memory        float64
	// now stands still, so that no server expires however long a size takes.
	now zinniatide.Millis
}

// digestPause is longer than the interval of the owners' digests and shorter
// than the expiry of an announcement.
const digestPause zinniatide.Millis = 600

const readerVM zinniatide.VMID = "reader"

func newCatalogWorld(n int) (*catalogWorld, error) {
	w := &catalogWorld{handlers: map[zinniatide.VMID]map[zinniatide.MessageKind]zinniatide.LinkHandler{}}
	w.configure(n)
	for i := range w.servers {
		w.owners = append(w.owners, w.cataloger(ownerVM(i)))
	}
	for i, servers := range w.servers {
		for _, a := range servers {
			if _, err := w.owners[i].Announce(a); err != nil {
				return nil, err
			}
		}
	}
	// The reader starts last, so that its memory can be told apart.
	before := members.LiveMemory()
	w.reader = w.cataloger(readerVM)
	w.bytes = 0
	w.now += digestPause
	for _, o := range w.owners {
		o.Tick() // repeats the digest
	}
	if got := len(w.reader.Catalog().Servers); got != n {
		return nil, fmt.Errorf("the reader knows %d of %d servers", got, n)
	}
	w.memory = float64(members.LiveMemory()) - float64(before)
	return w, nil
}

func ownerVM(i int) zinniatide.VMID { return zinniatide.VMID(fmt.Sprintf("owner-%05d", i)) }

// configure gives each owner one bucket. The last owner may have fewer servers.
func (w *catalogWorld) configure(n int) {
	owners := (n + serversPerOwner - 1) / serversPerOwner
	w.configuration = &zinniatide.Configuration{
		Epoch: 1, Members: map[zinniatide.VMID]zinniatide.Member{}, Buckets: map[zinniatide.ZoneID][]zinniatide.Bucket{},
		Services: map[zinniatide.ServiceID]zinniatide.ServiceSetting{
			service: {Versions: []zinniatide.IndexVersionSetting{{Version: 1, ShardCount: catalogShards}}, Slots: 2},
		},
	}
	w.servers = make([][]zinniatide.Announcement, owners)
	w.configuration.Members[readerVM] = zinniatide.Member{VM: readerVM, Incarnation: 1, Zone: "zone-1", Entry: true, State: zinniatide.StateIn}
	for i := range owners {
		zone := zinniatide.ZoneID(fmt.Sprintf("zone-%d", i/zinniatide.BucketsPerZone+1))
		if w.configuration.Buckets[zone] == nil {
			w.configuration.Buckets[zone] = make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		}
		w.configuration.Buckets[zone][i%zinniatide.BucketsPerZone] = zinniatide.Bucket{Owner: ownerVM(i), OwnerIncarnation: 1}
		w.configuration.Members[ownerVM(i)] = zinniatide.Member{
			VM: ownerVM(i), Incarnation: 1, Zone: zone, Entry: true, State: zinniatide.StateIn, HTTPAddress: "10.0.0.1:80",
		}
	}
	for i, found := 0, 0; found < n; i++ {
		id := zinniatide.BackendServerID(fmt.Sprintf("server-%07d", i))
		owner := found / serversPerOwner
		if zinniatide.BucketOf(id) != owner%zinniatide.BucketsPerZone {
			continue
		}
		w.servers[owner] = append(w.servers[owner], announcementOf(id, owner/zinniatide.BucketsPerZone+1, found))
		found++
	}
}

func announcementOf(id zinniatide.BackendServerID, zone, number int) zinniatide.Announcement {
	setting := zinniatide.IndexVersionSetting{ShardCount: catalogShards}
	return zinniatide.Announcement{
		Server: id, Incarnation: 1, Zone: zinniatide.ZoneID(fmt.Sprintf("zone-%d", zone)),
		Address: fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&255, number&255), Slots: 2, Connections: 25,
		Offers: []zinniatide.ServiceOffer{{Service: service, Searchers: []zinniatide.Searcher{
			{Version: 1, KeyRange: setting.Shards()[number%catalogShards]}}}},
	}
}

func (w *catalogWorld) cataloger(id zinniatide.VMID) *cataloger.Cataloger {
	w.handlers[id] = map[zinniatide.MessageKind]zinniatide.LinkHandler{}
	return cataloger.New(cataloger.Options{
		VM: id, Incarnation: 1, Clock: w, Configuration: w, Linker: &directLinks{w, id},
	})
}

// change changes one server at its owner, which sends its digest; the reader
// pulls the list and assembles the catalogue.
func (w *catalogWorld) change(i int) error {
	owner := i % len(w.owners)
	a := &w.servers[owner][0]
	a.Draining = !a.Draining
	sequence := w.reader.Catalog().Sequence
	if _, err := w.owners[owner].Announce(*a); err != nil {
		return err
	}
	if got := w.reader.Catalog().Sequence; got != sequence+1 {
		return fmt.Errorf("the reader's catalogue has sequence %d, want %d", got, sequence+1)
	}
	return nil
}

// taking counts the servers that are not draining.
func (w *catalogWorld) taking() int {
	n := 0
	for _, servers := range w.servers {
		for i := range servers {
			if !servers[i].Draining {
				n++
			}
		}
	}
	return n
}

// touchConfiguration installs a configuration that differs in its epoch.
func (w *catalogWorld) touchConfiguration() {
	next := *w.configuration
	next.Epoch++
	w.configuration = &next
	w.reader.Tick()
}

// Now implements zinniatide.Clock.
func (w *catalogWorld) Now() zinniatide.Millis { return w.now }

// Unix implements zinniatide.Clock.
func (w *catalogWorld) Unix() zinniatide.Millis { return w.now }

// Configuration implements zinniatide.ConfigurationProvider.
func (w *catalogWorld) Configuration() *zinniatide.Configuration { return w.configuration }

// LeaseUntil implements zinniatide.ConfigurationProvider.
func (w *catalogWorld) LeaseUntil() zinniatide.Millis { return 1 << 40 }

// directLinks carries the messages between the owners and the reader, and
// counts the bytes of their bodies. Owners do not read each other's lists.
type directLinks struct {
	world *catalogWorld
	self  zinniatide.VMID
}

// Handle implements zinniatide.Linker.
func (l *directLinks) Handle(kind zinniatide.MessageKind, h zinniatide.LinkHandler) {
	l.world.handlers[l.self][kind] = h
}

// SetPeers implements zinniatide.Linker.
func (l *directLinks) SetPeers(map[zinniatide.VMID]string) {}

// Connected implements zinniatide.Linker.
func (l *directLinks) Connected(zinniatide.VMID) bool { return true }

// Send implements zinniatide.Linker.
func (l *directLinks) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	h := l.world.handlers[peer][kind]
	if peer != readerVM || h == nil {
		return nil
	}
	raw, err := encoder.Marshal(body)
	if err == nil {
		l.world.bytes += len(raw)
		h(l.self, raw, nil)
	}
	return err
}

// Call implements zinniatide.Linker.
func (l *directLinks) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, _ zinniatide.Millis, done func([]byte, error)) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	l.world.bytes += len(raw)
	l.world.handlers[peer][kind](l.self, raw, func(value any, err error) {
		var answer []byte
		if err == nil {
			answer, err = encoder.Marshal(value)
		}
		l.world.bytes += len(answer)
		done(answer, err)
	})
}
