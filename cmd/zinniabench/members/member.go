package members

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/linker"
	"zinniatide.example/zinniatide/subscriber"
)

// controlLinker links a member to the control VMs only. A full mesh of a few
// hundred VMs in one process would need tens of thousands of connections. The
// cost of these links is measured by the capacity-links scenario.
type controlLinker struct {
	*linker.Linker
	controlVMs []zinniatide.ControlVM
}

// SetPeers implements zinniatide.Linker.
func (l *controlLinker) SetPeers(map[zinniatide.VMID]zinniatide.Peer) {
	peers := map[zinniatide.VMID]zinniatide.Peer{}
	for _, vm := range l.controlVMs {
		peers[vm.VM] = zinniatide.Peer{Address: vm.PeerAddress}
	}
	l.Linker.SetPeers(peers)
}

// member is a VM that only maintains a session. It has no requests in flight, so
// it releases its buckets as soon as another owner is assigned.
type member struct {
	id         zinniatide.VMID
	links      *linker.Linker
	subscriber *subscriber.Subscriber
	clock      zinniatide.Clock
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// newMember starts VM number n. Its ID sorts before those of the control VMs, so
// that it is the side that dials the links to them.
func newMember(n int, control []zinniatide.ControlVM, registry prometheus.Registerer) (*member, error) {
	m := &member{id: zinniatide.VMID(fmt.Sprintf("a%05d", n))}
	registry = prometheus.WrapRegistererWith(prometheus.Labels{"vm": string(m.id)}, registry)
	now := clock.New()
	m.clock = now
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	if m.links, err = newLinker(m.id, address, now, registry); err != nil {
		return nil, err
	}
	m.subscriber = subscriber.New(subscriber.Config{
		Member: zinniatide.Member{
			VM: m.id, Process: zinniatide.ProcessID(rand.Uint64()), Zone: zinniatide.ZoneID(fmt.Sprintf("zone-%d", n%7+1)),
			Entry: true, HTTPAddress: address, PeerAddress: address, State: zinniatide.StateIn,
		},
		ControlVMs: control,
	}, &controlLinker{m.links, control}, now, newJitterRand(), registry)
	m.subscriber.OnConfiguration(m.releaseBuckets)
	if err := m.links.Start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.subscriber.Run(ctx)
	}()
	return m, nil
}

func (m *member) releaseBuckets(c *zinniatide.Configuration) {
	for zone, table := range c.Buckets {
		for i := range table {
			if table[i].Owner == m.id && table[i].NextOwner != "" {
				m.subscriber.ReleaseBucket(zone, i)
			}
		}
	}
}

func (m *member) close() {
	m.cancel()
	m.links.Close()
	m.running.Wait()
}

// ClaimCounts holds the outcomes of the claims of one run.
type ClaimCounts struct {
	Granted int64 `json:"granted"`
	Refused int64 `json:"refused"`
	// Undecided is the part of Refused without a decision in time, for example while the
	// disks of a quorum stall. The leader may store such a claim later, to free its id.
	Undecided int64 `json:"undecided"`
}

// add counts the outcome of one claim and reports whether it was granted.
func (c *ClaimCounts) add(reply zinniatide.ClaimReply, err error) bool {
	if err == nil && reply.Granted {
		atomic.AddInt64(&c.Granted, 1)
		return true
	}
	atomic.AddInt64(&c.Refused, 1)
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) && refusal.Code == zinniatide.CodeNoQuorum {
		atomic.AddInt64(&c.Undecided, 1)
	}
	return false
}

// claimLifetime is the time from a claim to its expiry.
const claimLifetime zinniatide.Millis = 5000

var lastToken atomic.Uint64

// claimUntil sends claims one after the other, each followed by its result, until
// end.
func (m *member) claimUntil(end time.Time, counts *ClaimCounts) {
	body := make([]byte, 64)
	answered := make(chan bool, 1)
	now := clock.New()
	for time.Now().Before(end) {
		token := lastToken.Add(1)
		expires := now.Unix() + claimLifetime
		id := zinniatide.RequestID(fmt.Sprintf("%d-%s-%08d", expires, m.id, token))
		m.subscriber.Claim(zinniatide.Claim{RequestID: id, Expires: expires, Digest: 1, VM: m.id, Token: token},
			func(reply zinniatide.ClaimReply, err error) { answered <- counts.add(reply, err) })
		if <-answered {
			m.subscriber.Finish(zinniatide.ClaimResult{RequestID: id, Token: token, Outcome: zinniatide.OutcomeDone, Body: body})
		}
	}
}
