package scenarios

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/members"
	"zinniatide.example/zinniatide/common/picker"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/registrar"
)

// The scale expected in two years. The configuration holds a state only for backend
// servers that a ticket has changed; a state for every server is the worst case.
const (
	scaleVMs      = 7300
	scaleServers  = 38_000
	scaleZones    = 7
	scaleServices = 100
)

// capacityConfiguration measures the memory and encoded size of a Configuration,
// separately for each table and with all tables, and the cost of a change on a VM
// and on the leader.
var capacityConfiguration = Scenario{Name: "capacity-configuration", Run: func(e *Env) error {
	shares := []float64{0.1, 0.25, 0.5, 0.75, 1}
	parts := []struct {
		name string
		size int
		fill func(c *zinniatide.Configuration, n int)
	}{
		{"members", scaleVMs, fillMembers},
		{"zones-of-64-buckets", 20 * scaleZones, fillBuckets},
		{"services", scaleServices, fillServices},
		{"server-states", scaleServers, fillStates},
	}
	for _, part := range parts {
		memory := &scalingSeries{name: "memory", unit: "B", sizeUnit: part.name}
		encoded := &scalingSeries{name: "encoded", unit: "B", sizeUnit: part.name}
		for _, share := range shares {
			n := int(share * float64(part.size))
			c, bytes := measureConfiguration(func(c *zinniatide.Configuration) { part.fill(c, n) })
			memory.add(float64(n), bytes)
			raw, err := encoder.Marshal(c)
			if err != nil {
				return zinniatide.WrapStep(err, "encode configuration", part.name)
			}
			encoded.add(float64(n), float64(len(raw)))
		}
		if err := e.reportSeries("capacity-configuration", memory, encoded); err != nil {
			return err
		}
	}
	return reportAllTables(e, shares)
}}

// reportAllTables measures configurations with all tables. A share of 1 is the
// scale expected in two years.
func reportAllTables(e *Env, shares []float64) error {
	list := map[string]*scalingSeries{}
	add := func(name, unit string, x, y float64) {
		if list[name] == nil {
			list[name] = &scalingSeries{name: name, unit: unit, sizeUnit: "VMs"}
		}
		list[name].add(x, y)
	}
	for _, share := range shares {
		vms := int(share * scaleVMs)
		c, bytes := measureConfiguration(func(c *zinniatide.Configuration) {
			fillMembers(c, vms)
			fillBuckets(c, scaleZones)
			fillServices(c, scaleServices)
			fillStates(c, int(share*scaleServers))
		})
		raw, err := encoder.Marshal(c)
		if err != nil {
			return zinniatide.WrapStep(err, "encode configuration", "whole")
		}
		x := float64(vms)
		add("whole-memory", "B", x, bytes)
		add("whole-encoded", "B", x, float64(len(raw)))
		costs, err := changeCPUMicros(c, raw)
		if err != nil {
			return err
		}
		for name, us := range costs {
			add(name, "us", x, us)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(list)) {
		if err := e.reportSeries("capacity-configuration", list[name]); err != nil {
			return err
		}
	}
	return nil
}

// changeCPUMicros returns the CPU time in µs of installing changes on a VM and of
// applying them on the leader, by metric name.
func changeCPUMicros(c *zinniatide.Configuration, raw []byte) (map[string]float64, error) {
	m := c.Members["vm-00001"]
	m.Process++
	state := zinniatide.StateSetting{State: zinniatide.StateLeaving}
	restart := []registrar.Delta{{Epoch: c.Epoch + 1, Members: map[zinniatide.VMID]*zinniatide.Member{m.VM: &m}}}
	ticket := []registrar.Delta{{Epoch: c.Epoch + 1, BackendServers: map[zinniatide.BackendServerID]*zinniatide.StateSetting{"server-0000001": &state}}}
	r, err := restoreRegistrar(c)
	if err != nil {
		return nil, err
	}
	vms := slices.Sorted(maps.Keys(c.Members))
	var kept *zinniatide.Configuration // prevents the compiler from discarding the results
	tasks := map[string]func(i int) error{
		"install-restart-cpu": func(int) error { kept = registrar.ApplyDeltas(c, restart); return nil },
		"install-ticket-cpu":  func(int) error { kept = registrar.ApplyDeltas(c, ticket); return nil },
		"install-whole-cpu": func(int) error {
			kept = registrar.NewConfiguration()
			return encoder.Unmarshal(raw, kept)
		},
		"encode-whole-cpu": func(int) error { _, err := encoder.Marshal(c); return err },
		"apply-restart-cpu": func(i int) error {
			m.Process = c.Members[m.VM].Process + zinniatide.ProcessID(i) + 1
			return applyCommand(r, &registrar.Command{Join: &registrar.Join{Members: []zinniatide.Member{m}}})
		},
		"apply-loss-cpu": func(i int) error {
			lost := c.Members[zinniatide.VMID(fmt.Sprintf("vm-%05d", i+2))]
			return applyCommand(r, &registrar.Command{Remove: &registrar.Removal{Sessions: []registrar.Session{{VM: lost.VM, Process: lost.Process}}}})
		},
		// Selects the arbiters, which decide whether requests are quarantined.
		"guards-of-100-requests-cpu": func(i int) error {
			for j := range 100 {
				if picker.Pick(fmt.Sprintf("%x", 100*i+j), vms) == "" {
					return errors.New("no arbiter was selected from the members")
				}
			}
			return nil
		},
		"snapshot-cpu": func(int) error { _, err := r.Snapshot(); return err },
	}
	costs := map[string]float64{}
	for name, task := range tasks {
		if costs[name], err = cpuMicrosPerCall(10, task); err != nil {
			return nil, zinniatide.WrapStep(err, name, "whole")
		}
	}
	_ = kept
	return costs, nil
}

// restoreRegistrar returns a state machine with configuration c. It restores the
// snapshot of an empty registrar in which the configuration was replaced by c.
func restoreRegistrar(c *zinniatide.Configuration) (*registrar.Registrar, error) {
	r := registrar.New()
	raw, err := r.Snapshot()
	if err != nil {
		return nil, zinniatide.WrapStep(err, "snapshot", "empty")
	}
	var snapshot map[int]any
	if err := encoder.Unmarshal(raw, &snapshot); err != nil {
		return nil, zinniatide.WrapStep(err, "decode snapshot", "empty")
	}
	const configurationField = 3
	snapshot[configurationField] = c
	if raw, err = encoder.Marshal(snapshot); err != nil {
		return nil, zinniatide.WrapStep(err, "encode snapshot", "whole")
	}
	return r, r.Restore(raw)
}

func applyCommand(r *registrar.Registrar, command *registrar.Command) error {
	before := r.Configuration().Epoch
	raw, err := command.Encode()
	if err != nil {
		return zinniatide.WrapStep(err, "encode command", "registrar")
	}
	r.Apply(1, raw)
	if got := r.Configuration().Epoch; got != before+1 {
		return fmt.Errorf("epoch is %d after a change of epoch %d", got, before)
	}
	return nil
}

func measureConfiguration(fill func(*zinniatide.Configuration)) (*zinniatide.Configuration, float64) {
	before := members.LiveMemory()
	c := registrar.NewConfiguration()
	c.Epoch = 1
	fill(c)
	return c, float64(members.LiveMemory()) - float64(before)
}

func fillMembers(c *zinniatide.Configuration, n int) {
	for i := range n {
		m := zinniatide.Member{
			VM: zinniatide.VMID(fmt.Sprintf("vm-%05d", i)), Process: 1_700_000_000_000,
			Zone:        zinniatide.ZoneID(fmt.Sprintf("zone-%d", i%scaleZones+1)),
			HTTPAddress: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255), Entry: true, State: zinniatide.StateIn,
		}
		c.Members[m.VM] = m
	}
}

func fillBuckets(c *zinniatide.Configuration, zones int) {
	for z := range zones {
		table := make([]zinniatide.Bucket, zinniatide.BucketsPerZone)
		for i := range table {
			// With at most scaleZones zones, the owner is in the zone that fillMembers
			// assigns to it.
			vm := zinniatide.VMID(fmt.Sprintf("vm-%05d", z+i*scaleZones))
			table[i] = zinniatide.Bucket{Owner: vm, OwnerProcess: 1_700_000_000_000}
		}
		c.Buckets[zinniatide.ZoneID(fmt.Sprintf("zone-%d", z+1))] = table
	}
}

func fillServices(c *zinniatide.Configuration, n int) {
	for i := range n {
		c.Services[zinniatide.ServiceID(fmt.Sprintf("service-%03d", i))] = zinniatide.ServiceSetting{
			Versions: []zinniatide.IndexVersionSetting{{Version: 1, ShardCount: catalogShards}, {Version: 2, ShardCount: catalogShards}},
			Slots:    2, Connections: 25, ColdStart: unlimitedRamp,
			Classes:    map[zinniatide.ClassID]zinniatide.ClassSetting{"interactive": {MaxDeadline: 3500, Weight: 3}, "batch": {MaxDeadline: 3500, Weight: 1}},
			Workspaces: map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting{"counter": {Share: 3}, "outlet": {Share: 2}, "office": {Share: 1}},
		}
	}
}

func fillStates(c *zinniatide.Configuration, n int) {
	for i := range n {
		c.BackendServers[zinniatide.BackendServerID(fmt.Sprintf("server-%07d", i))] = zinniatide.StateSetting{State: zinniatide.StateIn}
	}
}
