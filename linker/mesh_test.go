package linker_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/linker"
)

// Guards against VMs that do not reconnect after some of them have restarted,
// although only one VM of each pair knows the other, and against calls that get
// the reply to another call.
func TestMeshWithRestarts(t *testing.T) {
	const vms = 6
	random := rand.New(rand.NewPCG(1, 2))
	sharedClock := clock.New()
	nodes := make([]*linker.Linker, vms)
	addresses := map[zinniatide.VMID]string{}
	id := func(i int) zinniatide.VMID { return zinniatide.VMID(fmt.Sprintf("vm%d", i)) }
	process := 0
	launch := func(i int) {
		process++
		l, err := linker.New(linker.Config{Self: id(i), Process: zinniatide.ProcessID(process), ListenAddress: "127.0.0.1:0", EventLoops: 1}, sharedClock, prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(kindEcho, func(_ zinniatide.VMID, body []byte, reply func(any, error)) { reply(append([]byte(nil), body...), nil) })
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		nodes[i], addresses[id(i)] = l, l.Address()
	}
	call := func(from, to, n int) error {
		done := make(chan error, 1)
		nodes[from].Call(id(to), kindEcho, []byte(fmt.Sprint(n)), 5000, func(reply []byte, err error) {
			if err == nil && !strings.HasSuffix(string(reply), fmt.Sprint(n)) {
				err = fmt.Errorf("call %d got reply %q", n, reply)
				t.Error(err)
			}
			done <- err
		})
		return <-done
	}
	for i := range vms {
		launch(i)
	}
	for round := range 5 {
		for i, l := range nodes {
			// Each VM knows only the VMs with lower ids, so every pair needs a
			// dial-back.
			known := map[zinniatide.VMID]zinniatide.Peer{}
			for j := range i {
				known[id(j)] = zinniatide.Peer{Address: addresses[id(j)]}
			}
			l.SetPeers(known)
		}
		for from := range vms {
			for to := range vms {
				eventually(t, fmt.Sprintf("call from %d to %d in round %d", from, to, round), func() bool { return call(from, to, 1000+100*round+10*from+to) == nil })
			}
		}
		for range 2 {
			i := random.IntN(vms)
			nodes[i].Close()
			launch(i)
		}
	}
}
