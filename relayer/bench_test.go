package relayer

import (
	"fmt"
	"io"
	"testing"

	"k8s.io/klog/v2"
)

// BenchmarkDelegation measures gathered requests whose parts are all gathered by a
// delegate, without faults: the time of both VMs and of the simulated servers, and the
// bytes of the messages between the VMs.
func BenchmarkDelegation(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, shards := range []int{4, 84} {
		b.Run(fmt.Sprintf("parts=%d", shards), func(b *testing.B) {
			m := newMeshWithRemoteShards(b, shards, shards)
			before := m.sentBytes
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a, _ := m.ask("front", fmt.Sprint("r", i))
				m.run(m.clock.Now() + 200)
				if a.reply.Status != 200 {
					b.Fatalf("got status %d, want 200", a.reply.Status)
				}
			}
			b.ReportMetric(float64(m.sentBytes-before)/float64(b.N), "link-bytes/op")
		})
	}
}
