package scenarios

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/members"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/linker"
)

var meshSizes = []int{10, 20, 40, 60, 80}

const meshWindow = 4 * time.Second

// capacityLinks measures idle links between every pair of VMs. Only pings and
// their answers are on the way.
var capacityLinks = Scenario{Name: "capacity-links", Run: func(e *Env) error {
	cpu := &series{name: "cpu-per-VM", unit: "ms/s", per: "links of a VM"}
	sent := &series{name: "sent-per-VM", unit: "B/s", per: "links of a VM"}
	memory := &series{name: "links-memory", unit: "B", per: "ends of links"}
	for _, n := range meshSizes {
		if err := measureMesh(n, cpu, sent, memory); err != nil {
			return err
		}
	}
	return e.reportSeries("capacity-links", cpu, sent, memory)
}}

func measureMesh(n int, cpu, sent, memory *series) error {
	registry := prometheus.NewRegistry()
	mesh, peers, err := newMesh(n, registry)
	defer func() {
		for _, l := range mesh {
			l.Close()
		}
	}()
	if err != nil {
		return err
	}
	// The memory of a VM without links depends on pools and event loops.
	before := members.LiveMemory()
	for _, l := range mesh {
		l.SetPeers(peers)
	}
	for end := time.Now().Add(10 * time.Second); !connected(mesh); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("links between %d VMs did not come up", n)
		}
	}
	time.Sleep(500 * time.Millisecond)
	start, err := members.ProcessorTime()
	if err != nil {
		return err
	}
	startCounts, err := members.Counters(registry)
	if err != nil {
		return err
	}
	time.Sleep(meshWindow)
	end, err := members.ProcessorTime()
	if err != nil {
		return err
	}
	counts, err := members.Counters(registry)
	if err != nil {
		return err
	}
	const name = "zinniatide_link_sent_bytes_total"
	links, vms := float64(n-1), float64(n)
	cpu.add(links, ms(end-start)/meshWindow.Seconds()/vms)
	sent.add(links, (counts[name]-startCounts[name])/meshWindow.Seconds()/vms)
	memory.add(links*vms, float64(members.LiveMemory())-float64(before))
	return nil
}

func newMesh(n int, registry prometheus.Registerer) ([]*linker.Linker, map[zinniatide.VMID]string, error) {
	var mesh []*linker.Linker
	peers := map[zinniatide.VMID]string{}
	for i := range n {
		id := zinniatide.VMID(fmt.Sprintf("m%04d", i))
		l, err := linker.New(linker.Config{Self: id, Incarnation: 1, ListenAddress: "127.0.0.1:0", EventLoops: 1},
			clock.New(), prometheus.WrapRegistererWith(prometheus.Labels{"vm": string(id)}, registry))
		if err != nil {
			return mesh, nil, err
		}
		mesh = append(mesh, l)
		if err := l.Start(); err != nil {
			return mesh, nil, err
		}
		peers[id] = l.Address()
	}
	return mesh, peers, nil
}

func connected(mesh []*linker.Linker) bool {
	for i := range mesh {
		for j := range mesh {
			if !mesh[i].Connected(zinniatide.VMID(fmt.Sprintf("m%04d", j))) {
				return false
			}
		}
	}
	return true
}
