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

// capacityLinks measures a full mesh of idle links, which carry only pings and
// their answers.
var capacityLinks = Scenario{Name: "capacity-links", Run: func(e *Env) error {
	cpu := &scalingSeries{name: "cpu-per-VM", unit: "ms/s", sizeUnit: "links of a VM"}
	sent := &scalingSeries{name: "sent-per-VM", unit: "B/s", sizeUnit: "links of a VM"}
	memory := &scalingSeries{name: "links-memory", unit: "B", sizeUnit: "ends of links"}
	for _, n := range meshSizes {
		if err := measureMesh(n, cpu, sent, memory); err != nil {
			return err
		}
	}
	return e.reportSeries("capacity-links", cpu, sent, memory)
}}

func measureMesh(n int, cpu, sent, memory *scalingSeries) error {
	m, err := startMesh(n)
	defer m.close()
	if err != nil {
		return err
	}
	usedCPU, usedBytes, err := m.measure(func() error { time.Sleep(meshWindow); return nil })
	if err != nil {
		return err
	}
	links, vms := float64(n-1), float64(n)
	cpu.add(links, usedCPU/vms)
	sent.add(links, usedBytes/vms)
	memory.add(links*vms, float64(members.LiveMemory())-float64(m.memoryBefore))
	return nil
}

const (
	messageMeshSize = 40
	messageWindow   = 4 * time.Second
)

// messageRates are in messages per second, per link and direction.
var messageRates = []float64{0, 1, 2, 4, 8}

// capacityMessages measures small one-way messages that every VM sends to every
// other VM, such as catalog digests.
var capacityMessages = Scenario{Name: "capacity-messages", Run: func(e *Env) error {
	m, err := startMesh(messageMeshSize)
	defer m.close()
	if err != nil {
		return err
	}
	cpu := &scalingSeries{name: "cpu-per-VM", unit: "ms/s", sizeUnit: "messages/s"}
	sent := &scalingSeries{name: "sent-per-VM", unit: "B/s", sizeUnit: "messages/s"}
	for _, rate := range messageRates {
		usedCPU, usedBytes, err := m.measure(func() error { return m.sendAll(rate) })
		if err != nil {
			return err
		}
		x := rate * (messageMeshSize - 1)
		cpu.add(x, usedCPU/messageMeshSize)
		sent.add(x, usedBytes/messageMeshSize)
	}
	return e.reportSeries("capacity-messages", cpu, sent)
}}

// digestBody has the same encoding as the digest of package cataloger.
type digestBody struct {
	Process  zinniatide.ProcessID `json:"incarnation"`
	Sequence uint64               `json:"sequence"`
}

// sendAll sends messages from each VM to all others at the given rate. The VMs send
// one after the other, so that the messages of a round are not batched.
func (m *mesh) sendAll(rate float64) error {
	end := time.Now().Add(messageWindow)
	if rate == 0 {
		time.Sleep(messageWindow)
		return nil
	}
	for round := 0; time.Now().Before(end); round++ {
		next := time.Now().Add(time.Duration(float64(time.Second) / rate))
		for i, l := range m.vms {
			for j, id := range m.ids {
				if i == j {
					continue
				}
				body := digestBody{Process: 1_700_000_000_000, Sequence: uint64(round)}
				if err := l.Send(id, zinniatide.KindCatalogDigest, body); err != nil {
					return err
				}
			}
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// mesh is a set of VMs with a link between every pair.
type mesh struct {
	vms      []*linker.Linker
	ids      []zinniatide.VMID
	registry *prometheus.Registry
	// memoryBefore is the memory before the links are set up. It is subtracted
	// because the memory of a VM without links depends on pools and event loops.
	memoryBefore uint64
}

func startMesh(n int) (*mesh, error) {
	m := &mesh{registry: prometheus.NewRegistry()}
	peers := map[zinniatide.VMID]zinniatide.Peer{}
	for i := range n {
		id := zinniatide.VMID(fmt.Sprintf("m%04d", i))
		l, err := linker.New(linker.Config{Self: id, Process: 1, ListenAddress: "127.0.0.1:0", EventLoops: 1},
			clock.New(), prometheus.WrapRegistererWith(prometheus.Labels{"vm": string(id)}, m.registry))
		if err != nil {
			return m, err
		}
		l.Handle(zinniatide.KindCatalogDigest, func(zinniatide.VMID, []byte, func(any, error)) {})
		m.vms, m.ids = append(m.vms, l), append(m.ids, id)
		if err := l.Start(); err != nil {
			return m, err
		}
		peers[id] = zinniatide.Peer{Address: l.Address()}
	}
	m.memoryBefore = members.LiveMemory()
	for _, l := range m.vms {
		l.SetPeers(peers)
	}
	for end := time.Now().Add(10 * time.Second); !m.connected(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return m, fmt.Errorf("links between %d VMs were not established in time", n)
		}
	}
	time.Sleep(500 * time.Millisecond) // until the initial pings are spread out
	return m, nil
}

func (m *mesh) connected() bool {
	for _, l := range m.vms {
		for _, id := range m.ids {
			if !l.Connected(id) {
				return false
			}
		}
	}
	return true
}

func (m *mesh) close() {
	for _, l := range m.vms {
		l.Close()
	}
}

// measure runs f and returns the CPU time in ms and the bytes sent, both per second.
func (m *mesh) measure(f func() error) (cpu, sent float64, err error) {
	const name = "zinniatide_link_sent_bytes_total"
	start, began := time.Now(), time.Duration(0)
	if began, err = members.CPUTime(); err != nil {
		return 0, 0, err
	}
	before, err := members.MetricSums(m.registry)
	if err != nil {
		return 0, 0, err
	}
	if err := f(); err != nil {
		return 0, 0, err
	}
	ended, err := members.CPUTime()
	if err != nil {
		return 0, 0, err
	}
	seconds := time.Since(start).Seconds()
	after, err := members.MetricSums(m.registry)
	return ms(ended-began) / seconds, (after[name] - before[name]) / seconds, err
}
