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

const serviceID zinniatide.ServiceID = "search"

var zones = []zinniatide.ZoneID{"zone-1", "zone-2", "zone-3"}

// zoneLinkDelay is the one-way delay of links between zones.
const zoneLinkDelay = 750 * time.Microsecond

// unlimitedRamp is a cold-start setting that limits nothing.
var unlimitedRamp = zinniatide.ColdStartSetting{InitialRate: 1_000_000, DoubleAfter: 1, FullRate: 1_000_000}

// systemConfig describes the cluster of a measurement and its only service.
type systemConfig struct {
	shards             uint32
	serversPerZone     int
	searchersPerServer int
	slots              int
	serviceTime        zinniatide.Millis           // mean of the exponentially distributed part of a request's run time
	minServiceTime     zinniatide.Millis           // constant part of a request's run time
	assumedColdStart   zinniatide.ColdStartSetting // configured in the query tier
	actualColdStart    zinniatide.ColdStartSetting // capacity of the backend servers after a start
	workspaces         map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting
	entryVMs           int
	linkDelay          time.Duration
	queryPolicy        *querier.Config // nil selects querier.DefaultConfig

	withoutAdmission, withoutQuarantine bool
}

func (cfg systemConfig) layout() provisioner.ServiceLayout {
	return provisioner.ServiceLayout{
		Service: serviceID, Version: 1, ShardCount: cfg.shards, ServersPerZone: cfg.serversPerZone,
		SearchersPerServer: cfg.searchersPerServer, Slots: cfg.slots, Connections: 25,
		ServiceTime: cfg.serviceTime, MinTime: cfg.minServiceTime, Cold: cfg.actualColdStart,
	}
}

func (cfg systemConfig) serviceSetting() *zinniatide.ServiceSetting {
	workspaces := cfg.workspaces
	if workspaces == nil {
		workspaces = map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting{"counter": {Share: 1}}
	}
	return &zinniatide.ServiceSetting{
		Versions: []zinniatide.IndexVersionSetting{{Version: 1, ShardCount: cfg.shards}},
		Slots:    uint16(cfg.slots), Connections: 25, ColdStart: cfg.assumedColdStart, Workspaces: workspaces,
		Classes: map[zinniatide.ClassID]zinniatide.ClassSetting{"interactive": {MaxDeadline: zinniatide.MaxRequestTime, Weight: 1}},
	}
}

// startCluster starts the cluster described by cfg. It has 6 entry VMs if cfg does
// not specify their number.
func (e *Env) startCluster(cfg systemConfig) (*cluster.Cluster, error) {
	query := querier.DefaultConfig()
	if cfg.queryPolicy != nil {
		query = *cfg.queryPolicy
	}
	if cfg.entryVMs == 0 {
		cfg.entryVMs = 6
	}
	return cluster.New(cluster.Options{
		EntryVMs: cfg.entryVMs, ControlVMs: 3, Zones: zones, LinkDelay: cfg.linkDelay, Query: query, Seed: e.Seed,
		Services:         map[zinniatide.ServiceID]*zinniatide.ServiceSetting{serviceID: cfg.serviceSetting()},
		WithoutAdmission: cfg.withoutAdmission, WithoutQuarantine: cfg.withoutQuarantine,
		Layout: &provisioner.Layout{Zones: zones, Services: []provisioner.ServiceLayout{cfg.layout()}},
	})
}

// callers holds one caller per zone. They are used in turn.
type callers []*loader.Loader

func (e *Env) newCallers(c *cluster.Cluster, timeout time.Duration, workspace zinniatide.WorkspaceID) callers {
	var list callers
	for i, zone := range zones {
		list = append(list, c.NewCaller(loader.Config{
			Zone: zone, Service: serviceID, Workspace: workspace, Class: "interactive", Timeout: timeout, RandomSeed: e.Seed + uint64(i),
		}))
	}
	return list
}

// sendSearches sends searches at a constant rate per second and records them in r.
func (l callers) sendSearches(r *recorder.Recorder, rate float64, duration time.Duration, prefix string) {
	recorder.RunOpenLoop(rate, duration, func(i int) {
		r.Search(l[i%len(l)], fmt.Sprintf("%s-%d", prefix, i))
	})
}

// ms converts d to milliseconds.
func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
