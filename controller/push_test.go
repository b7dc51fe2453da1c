package controller

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

// Guards against deltas kept for pushes that grow without a bound in bytes when each
// change is large, and against fewer kept than there is room for.
func TestKeptDeltasAreBoundedInBytes(t *testing.T) {
	const large = 100 << 10
	var cache pushCache
	c := registrar.NewConfiguration()
	for i := range 3000 {
		epoch := zinniatide.Epoch(i + 1)
		c.Epoch = epoch
		address := make([]byte, large)
		if i < 1500 {
			address = address[:10]
		}
		cache.add(c, &registrar.Delta{Epoch: epoch, Members: map[zinniatide.VMID]*zinniatide.Member{"e1": {VM: "e1", HTTPAddress: string(address)}}})
		size := 0
		for _, delta := range cache.deltas {
			size += len(delta)
		}
		if size > maxCachedDeltaBytes || size != cache.deltaBytes {
			t.Fatalf("got %d bytes of deltas, counted as %d, want at most %d", size, cache.deltaBytes, maxCachedDeltaBytes)
		}
		if want := min(i+1, maxCachedDeltaBytes/2/(large+100)); len(cache.deltas) < want {
			t.Fatalf("got %d deltas after %d changes, want at least %d", len(cache.deltas), i+1, want)
		}
	}
	if push := cache.since(zinniatide.Epoch(2995)); push == nil || len(push.Deltas) != 5 {
		t.Errorf("got push %v for a VM that lacks five epochs, want five deltas", push)
	}
}
