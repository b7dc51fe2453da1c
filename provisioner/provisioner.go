// Package provisioner starts a set of emulated backend servers from a layout.
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

// ServiceLayout describes the emulated backend servers of one service. Each zone
// has ServersPerZone servers, and each server has SearchersPerServer searchers
// for consecutive shards, wrapping around at ShardCount.
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

// Layout describes all emulated backend servers of a deployment.
type Layout struct {
	Zones    []zinniatide.ZoneID `json:"zones"`
	Services []ServiceLayout     `json:"services"`
}

// Provisioner holds the started emulators.
type Provisioner struct {
	Emulators []*emulator.Emulator
}

// Decode decodes a layout from JSON and validates it. It rejects unknown fields,
// so that a misspelled one is not replaced by a default.
func Decode(data []byte) (*Layout, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	layout := new(Layout)
	if err := d.Decode(layout); err != nil {
		return nil, fmt.Errorf("layout, offset %d: %w", d.InputOffset(), err)
	}
	if len(layout.Zones) == 0 || len(layout.Services) == 0 {
		return nil, errors.New("layout: at least one zone and one service are required")
	}
	for _, s := range layout.Services {
		if s.ShardCount == 0 || s.ServersPerZone <= 0 || s.SearchersPerServer <= 0 || s.Slots <= 0 || s.Connections <= 0 {
			return nil, fmt.Errorf("layout: service %q: shard-count, servers-per-zone, searchers-per-server, slots and connections must be positive", s.Service)
		}
	}
	return layout, nil
}

// New starts an emulator for every server of the layout. entries are the HTTP
// addresses of the entry VMs to which the servers announce themselves.
func New(layout *Layout, entries []string, seed uint64) (*Provisioner, error) {
	p := new(Provisioner)
	for _, service := range layout.Services {
		for _, zone := range layout.Zones {
			for i := range service.ServersPerZone {
				seed++
				e := emulator.New(emulatorConfig(service, zone, i, entries, seed))
				if err := e.Start(); err != nil {
					p.Close()
					return nil, err
				}
				p.Emulators = append(p.Emulators, e)
			}
		}
	}
	return p, nil
}

func emulatorConfig(s ServiceLayout, zone zinniatide.ZoneID, index int, entries []string, seed uint64) emulator.Config {
	return emulator.Config{
		Server: zinniatide.BackendServerID(fmt.Sprintf("%s-%s-%d", s.Service, zone, index)), Zone: zone,
		ListenAddress: "127.0.0.1:0", Slots: s.Slots, Connections: s.Connections,
		Offers:      []zinniatide.ServiceOffer{{Service: s.Service, Searchers: Searchers(s, index)}},
		ServiceTime: s.ServiceTime.Duration(), MinTime: s.MinTime.Duration(),
		LinkDelay: s.LinkDelay.Duration(), ConnectDelay: s.ConnectDelay.Duration(),
		Cold: s.Cold, EntryAddresses: entries, Seed: seed,
	}
}

// Searchers returns the searchers of the server with the given index in its
// zone.
func Searchers(s ServiceLayout, index int) []zinniatide.Searcher {
	version := zinniatide.IndexVersionSetting{Version: s.Version, ShardCount: s.ShardCount}
	shards := version.Shards()
	searchers := make([]zinniatide.Searcher, s.SearchersPerServer)
	for k := range searchers {
		searchers[k] = zinniatide.Searcher{Version: s.Version, KeyRange: shards[(index*s.SearchersPerServer+k)%len(shards)]}
	}
	return searchers
}

// Close stops all emulators.
func (p *Provisioner) Close() {
	for _, e := range p.Emulators {
		e.Crash()
	}
}

// Server has the address of an emulated backend server and one of its searchers.
type Server struct {
	Address  string              `json:"address"`
	Searcher zinniatide.Searcher `json:"searcher"`
}

// Totals holds the addresses and the combined counters of all emulators.
type Totals struct {
	Servers         []Server                        `json:"servers"`
	SubQueries      int64                           `json:"sub-queries"`
	Executes        int64                           `json:"executes"`
	Shed            int64                           `json:"shed"`
	BeyondAllowance int64                           `json:"beyond-allowance"`
	BeyondLimit     int64                           `json:"beyond-connection-limit"`
	Cancelled       int64                           `json:"cancelled"`
	Crashes         int64                           `json:"crashes"`
	MaxConnections  int64                           `json:"max-connections"` // highest of all servers
	LastWork        map[zinniatide.ZoneID]time.Time `json:"last-work"`       // start of the latest request, by zone; Unix epoch if none
	Executed        map[string]int                  `json:"executed"`        // number of runs by request ID
	WorkByZone      map[zinniatide.ZoneID]int64     `json:"work-by-zone"`    // sub-queries and executes started
}

// Totals returns the addresses and the current combined counters of all
// emulators.
func (p *Provisioner) Totals() Totals {
	t := Totals{
		LastWork: make(map[zinniatide.ZoneID]time.Time), Executed: make(map[string]int),
		WorkByZone: make(map[zinniatide.ZoneID]int64),
	}
	add := func(sum *int64, n *atomic.Int64) { *sum += n.Load() }
	for _, e := range p.Emulators {
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
