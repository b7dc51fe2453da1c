package linker_test

import (
	"bytes"
	"io"
	"testing"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
)

// subRequest has the fields and size of a sub-request on a link.
type subRequest struct {
	RequestID   zinniatide.RequestID       `json:"request-id"`
	Service     zinniatide.ServiceID       `json:"service"`
	Version     zinniatide.IndexVersion    `json:"version"`
	First       uint32                     `json:"first"`
	Last        uint32                     `json:"last"`
	Server      zinniatide.BackendServerID `json:"server"`
	Fingerprint zinniatide.Fingerprint     `json:"fingerprint"`
	Deadline    zinniatide.Millis          `json:"deadline-ms"`
	Body        []byte                     `json:"body"`
}

// BenchmarkRoundTrips measures 64 concurrent calls, each with a request of about
// 400 bytes and a reply of about 1 KiB.
func BenchmarkRoundTrips(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	x, y := pair(b, nil)
	body := &subRequest{RequestID: "1700000060000-abcdefgh", Service: "dispatcher-search", Version: 7, Last: 16384,
		Server: "search-server-17", Fingerprint: 1 << 60, Deadline: 300, Body: bytes.Repeat([]byte("q"), 250)}
	answer := bytes.Repeat([]byte("h"), 1024)
	go func() {
		for reply := range y.held {
			reply(answer, nil)
		}
	}()
	defer close(y.held)
	slots := make(chan struct{}, 64)
	done := func(reply []byte, err error) {
		if err != nil || len(reply) < len(answer) {
			b.Errorf("got %d bytes, %v", len(reply), err)
		}
		<-slots
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		slots <- struct{}{}
		x.Call("b", kindHold, body, 60000, done)
	}
	for range cap(slots) {
		slots <- struct{}{}
	}
	b.StopTimer()
	b.ReportMetric(x.metric(b, "writes_total")/float64(b.N), "writes/op")
}
