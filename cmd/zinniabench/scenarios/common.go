package scenarios

import (
	"fmt"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/provisioner"
	"zinniatide.example/zinniatide/querier"
	"zinniatide.example/zinniatide/recorder"
)

const service zinniatide.ServiceID = "search"

var zones = []zinniatide.ZoneID{"zone-1", "zone-2", "zone-3"}

// associationDelay and barafuDelay are the one-way delays between the zones.
const (
	associationDelay = 750 * time.Microsecond
	barafuDelay      = 250 * time.Microsecond
)

// warm is a cold-start setting that never bounds.
var warm = zinniatide.ColdStartSetting{InitialRate: 1_000_000, DoubleAfter: 1, FullRate: 1_000_000}

// plan describes the one service of a measurement.
type plan struct {
	shards         uint32
	serversPerZone int
	searchers      int // per server
	slots          int
	serviceTime    zinniatide.Millis
	minTime        zinniatide.Millis
	cold           zinniatide.ColdStartSetting // what the query tier is told
	trueCold       zinniatide.ColdStartSetting // what the servers bear
	tenants        map[zinniatide.TenantID]zinniatide.TenantSetting
	entries        int
	delay          time.Duration
	query          *querier.Config // nil for the default

	withoutAdmission, withoutQuarantine bool
}

func (p plan) layout() provisioner.ServiceLayout {
	return provisioner.ServiceLayout{
		Service: service, Version: 1, ShardCount: p.shards, ServersPerZone: p.serversPerZone,
		SearchersPerServer: p.searchers, Slots: p.slots, Connections: 25,
		ServiceTime: p.serviceTime, MinTime: p.minTime, Cold: p.trueCold,
	}
}

func (p plan) setting() *zinniatide.ServiceSetting {
	tenants := p.tenants
	if tenants == nil {
		tenants = map[zinniatide.TenantID]zinniatide.TenantSetting{"counter": {Share: 1}}
	}
	return &zinniatide.ServiceSetting{
		Versions: []zinniatide.IndexVersionSetting{{Version: 1, ShardCount: p.shards}},
		Slots:    uint16(p.slots), Connections: 25, ColdStart: p.cold, Tenants: tenants,
		Classes: map[zinniatide.ClassID]zinniatide.ClassSetting{"interactive": {MaxDeadline: zinniatide.MaxRequestTime, Weight: 1}},
	}
}

// start runs the system of a plan.
func (e *Env) start(p plan) (*cluster.Cluster, error) {
	query := querier.DefaultConfig()
	if p.query != nil {
		query = *p.query
	}
	if p.entries == 0 {
		p.entries = 6
	}
	return cluster.New(cluster.Options{
		Entries: p.entries, Controls: 3, Zones: zones, LinkDelay: p.delay, Query: query, Seed: e.Seed,
		Services:         map[zinniatide.ServiceID]*zinniatide.ServiceSetting{service: p.setting()},
		WithoutAdmission: p.withoutAdmission, WithoutQuarantine: p.withoutQuarantine,
		Layout: &provisioner.Layout{Zones: zones, Services: []provisioner.ServiceLayout{p.layout()}},
	})
}

// callers are one caller in each zone, used in turn.
type callers []*loader.Loader

func (e *Env) callers(c *cluster.Cluster, timeout time.Duration, tenant zinniatide.TenantID) callers {
	var list callers
	for i, zone := range zones {
		list = append(list, c.Caller(loader.Config{
			Zone: zone, Service: service, Tenant: tenant, Class: "interactive", Timeout: timeout, Seed: e.Seed + uint64(i),
		}))
	}
	return list
}

// load sends searches at a steady rate.
func (l callers) load(r *recorder.Recorder, rate float64, duration time.Duration, prefix string) {
	recorder.Pace(rate, duration, func(i int) {
		r.Search(l[i%len(l)], fmt.Sprintf("%s-%d", prefix, i))
	})
}

// ms converts d to milliseconds.
func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
