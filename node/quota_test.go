package node_test

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/acceptor"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/relayer"
	"zinniatide.example/zinniatide/transporter"
)

// waitFor waits until a condition holds, for 20 s at most.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no %s within 20 s", what)
		}
	}
}

// Guards against parts of the quota that do not fit together in real processes: limits in
// the routing table, confirmations of the control leader, clocks and links.
func TestQuotaOverRelayVMs(t *testing.T) {
	self := zinniatide.VMID(node.FreeAddress(t))
	seeds := []zinniatide.ControlVM{{VM: self, PeerAddress: string(self)}}
	control, err := node.NewRelay(node.RelayConfig{VM: self, Zone: "a", ControlAddress: node.FreeAddress(t), DataFolder: t.TempDir(), FirstStart: true, Seeds: seeds, Voters: 1},
		clock.New(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	if err := control.Start(nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(control.Kill)
	var relays []*node.Relay
	var ids []zinniatide.VMID
	for range 2 {
		id := zinniatide.VMID(node.FreeAddress(t))
		r, err := node.NewRelay(node.RelayConfig{
			VM: id, Zone: "a", CallerAddress: node.FreeAddress(t), Seeds: seeds, Voters: 1, StopLimit: 6000, Quota: granter.Bounds{Window: 5000, Overshoot: 0.1, Slack: 20},
			CallerNames: acceptor.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline"}, RelayNames: relayer.HeaderNames{RequestID: "X-Id"},
			BackendNames: transporter.HeaderNames{RequestID: "X-Id", Deadline: "X-Left", ExpectServer: "X-Expect", Stamp: "X-Stamp"},
		}, clock.New(), prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Start(nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Kill)
		relays, ids = append(relays, r), append(ids, id)
	}
	routing := &zinniatide.Routing{Workspaces: []zinniatide.RelayWorkspace{{Workspace: "w", Rate: 0.01, Burst: 20}},
		Limits: zinniatide.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3000, IdleTimeout: 15_000}}
	waitFor(t, "accepted table", func() bool {
		_, err := control.Operator().FileRouting(1, routing, []byte("{}"), 2000)
		return err == nil
	})
	waitFor(t, "table on the relay VMs", func() bool { return relays[0].RoutingNumber() == 1 && relays[1].RoutingNumber() == 1 })
	waitFor(t, "link between the relay VMs", func() bool { return relays[0].Connected(ids[1]) && relays[1].Connected(ids[0]) })

	take := func(i int) zinniatide.QuotaDecision {
		decided := make(chan zinniatide.QuotaDecision, 1)
		relays[i%2].TakeQuota("w", 0.01, 20, func(d zinniatide.QuotaDecision) { decided <- d })
		select {
		case d := <-decided:
			return d
		case <-time.After(20 * time.Second):
			t.Fatal("got no decision within 20 s")
			return zinniatide.QuotaDecision{}
		}
	}
	admitted, exhausted := 0, 0
	// A VM that has joined after the table was filed waits before it counts, grants single
	// tokens meanwhile, and leaves out the burst for a window after that.
	waitFor(t, "admitted burst", func() bool {
		if take(0).Admitted {
			admitted++
		}
		return admitted >= 5
	})
	for i := range 60 {
		switch d := take(i); {
		case d.Admitted:
			admitted++
		case d.Exhausted:
			exhausted++
			if d.RetryAfter <= 0 {
				t.Errorf("got decision %+v, want a Retry-After", d)
			}
		}
	}
	// The bucket has 22 tokens; both VMs together may waste some that they hold.
	if admitted < 20 || admitted > 22+20 || exhausted == 0 {
		t.Errorf("got %d admitted and %d exhausted requests, want 20 to 42 and more than 0", admitted, exhausted)
	}
}
