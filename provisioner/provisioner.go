// Package provisioner starts a set of stand-in backend servers from a layout.
package provisioner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/emulator"
)

// ServiceLayout describes the stand-ins of one service. Each zone holds
// ServersPerZone servers with SearchersPerServer consecutive shards each,
// wrapping around at ShardCount.
type ServiceLayout struct {
	Service            zinniatide.ServiceID        `json:"service"`
	Version            zinniatide.IndexVersion     `json:"version"`
	ShardCount         uint32                      `json:"shard-count"`
	ServersPerZone     int                         `json:"servers-per-zone"`
	SearchersPerServer int                         `json:"searchers-per-server"`
	Slots              int                         `json:"slots"`
	Connections        int                         `json:"connections"`
	ServiceTime        zinniatide.Millis           `json:"service-time-ms"`
	MinTime            zinniatide.Millis           `json:"min-time-ms"`
	LinkDelay          zinniatide.Millis           `json:"link-delay-ms"`
	ConnectDelay       zinniatide.Millis           `json:"connect-delay-ms"`
	Cold               zinniatide.ColdStartSetting `json:"cold-start"`
}

// Layout describes all stand-ins of a deployment.
type Layout struct {
	Zones    []zinniatide.ZoneID `json:"zones"`
	Services []ServiceLayout     `json:"services"`
}

// Provisioner holds the started stand-ins.
type Provisioner struct {
	Servers []*emulator.Emulator
}

// Decode reads a layout and refuses unknown fields and empty layouts.
func Decode(data []byte) (*Layout, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	layout := new(Layout)
	if err := d.Decode(layout); err != nil {
		return nil, fmt.Errorf("layout, offset %d: %w", d.InputOffset(), err)
	}
	if len(layout.Zones) == 0 || len(layout.Services) == 0 {
		return nil, errors.New("layout: at least one zone and one service are needed")
	}
	for _, s := range layout.Services {
		if s.ShardCount == 0 || s.ServersPerZone <= 0 || s.SearchersPerServer <= 0 || s.Slots <= 0 || s.Connections <= 0 {
			return nil, fmt.Errorf("layout: service %q: counts must be above zero", s.Service)
		}
	}
	return layout, nil
}

// New starts every stand-in of the layout. entries are the HTTP addresses of
// entry VMs to which they announce themselves.
func New(layout *Layout, entries []string, seed uint64) (*Provisioner, error) {
	p := new(Provisioner)
	for _, service := range layout.Services {
		for _, zone := range layout.Zones {
			for i := range service.ServersPerZone {
				seed++
				e := emulator.New(config(service, zone, i, entries, seed))
				if err := e.Start(); err != nil {
					p.Close()
					return nil, err
				}
				p.Servers = append(p.Servers, e)
			}
		}
	}
	return p, nil
}

func config(s ServiceLayout, zone zinniatide.ZoneID, i int, entries []string, seed uint64) emulator.Config {
	return emulator.Config{
		Server: zinniatide.BackendServerID(fmt.Sprintf("%s-%s-%d", s.Service, zone, i)), Zone: zone,
		ListenAddress: "127.0.0.1:0", Slots: s.Slots, Connections: s.Connections,
		Offers:      []zinniatide.ServiceOffer{{Service: s.Service, Searchers: Searchers(s, i)}},
		ServiceTime: s.ServiceTime.Duration(), MinTime: s.MinTime.Duration(),
		LinkDelay: s.LinkDelay.Duration(), ConnectDelay: s.ConnectDelay.Duration(),
		Cold: s.Cold, EntryAddresses: entries, Seed: seed,
	}
}

// Searchers returns the searchers of server i of a zone.
func Searchers(s ServiceLayout, i int) []zinniatide.Searcher {
	version := zinniatide.IndexVersionSetting{Version: s.Version, ShardCount: s.ShardCount}
	shards := version.Shards()
	searchers := make([]zinniatide.Searcher, s.SearchersPerServer)
	for k := range searchers {
		searchers[k] = zinniatide.Searcher{Version: s.Version, KeyRange: shards[(i*s.SearchersPerServer+k)%len(shards)]}
	}
	return searchers
}

// Close ends every stand-in.
func (p *Provisioner) Close() {
	for _, e := range p.Servers {
		e.Kill()
	}
}

// Server tells where a stand-in listens and one shard that it serves.
type Server struct {
	Address  string              `json:"address"`
	Searcher zinniatide.Searcher `json:"searcher"`
}

// Totals sums up the counts of all stand-ins.
type Totals struct {
	Servers         []Server                        `json:"servers"`
	SubQueries      int64                           `json:"sub-queries"`
	Executes        int64                           `json:"executes"`
	Shed            int64                           `json:"shed"`
	BeyondAllowance int64                           `json:"beyond-allowance"`
	BeyondLimit     int64                           `json:"beyond-connection-limit"`
	Cancelled       int64                           `json:"cancelled"`
	Crashes         int64                           `json:"crashes"`
	MaxConnections  int64                           `json:"max-connections"` // of one server
	LastWork        map[zinniatide.ZoneID]time.Time `json:"last-work"`
	Executed        map[string]int                  `json:"executed"` // runs by request id
	WorkByZone      map[zinniatide.ZoneID]int64     `json:"work-by-zone"`
}

// Totals returns the sums at this moment.
func (p *Provisioner) Totals() Totals {
	t := Totals{
		LastWork: make(map[zinniatide.ZoneID]time.Time), Executed: make(map[string]int),
		WorkByZone: make(map[zinniatide.ZoneID]int64),
	}
	add := func(sum *int64, n *atomic.Int64) { *sum += n.Load() }
	for _, e := range p.Servers {
		c := &e.Counts
		t.Servers = append(t.Servers, Server{Address: e.Address(), Searcher: e.Searcher()})
		add(&t.SubQueries, &c.SubQueries)
		add(&t.Executes, &c.Executes)
		add(&t.Shed, &c.Shed)
		add(&t.BeyondAllowance, &c.BeyondAllowance)
		add(&t.BeyondLimit, &c.BeyondLimit)
		add(&t.Cancelled, &c.Cancelled)
		add(&t.Crashes, &c.Crashes)
		t.MaxConnections = max(t.MaxConnections, c.MaxConnections.Load())
		t.WorkByZone[e.Zone()] += c.SubQueries.Load() + c.Executes.Load()
		if last := c.LastWork(); last.After(t.LastWork[e.Zone()]) {
			t.LastWork[e.Zone()] = last
		}
		for id, n := range c.Executed() {
			t.Executed[id] += n
		}
	}
	return t
}
