package registrar

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
)

// large returns a state with the 7,300 nodes in 7 zones of the scale in two
// years.
func large(b *testing.B) *Registrar {
	b.Helper()
	r := New()
	for i := range 7300 {
		c := join(zinniatide.VMID(fmt.Sprintf("vm-%05d", i)), zinniatide.ZoneID(fmt.Sprintf("zone-%d", i%7)), 1)
		// Joined without bucket assignment, which would make the set-up slow.
		r.configuration.Members[c.Join.Members[0].VM] = c.Join.Members[0]
	}
	apply(b, r, 0, join("vm-00000", "zone-0", 2))
	return r
}

// BenchmarkRestart measures the entry of one restart among 7,300 members.
func BenchmarkRestart(b *testing.B) {
	r := large(b)
	b.ResetTimer()
	for i := range b.N {
		apply(b, r, 0, join("vm-00001", "zone-1", zinniatide.Incarnation(i+2)))
	}
}

// BenchmarkLoss measures the removal and return of one of 7,300 members, which
// hashes the buckets of its zone again.
func BenchmarkLoss(b *testing.B) {
	r := large(b)
	b.ResetTimer()
	for range b.N {
		apply(b, r, 0, Command{Remove: &Removal{Sessions: []Session{{VM: "vm-00001", Incarnation: 1}}}})
		apply(b, r, 0, join("vm-00001", "zone-1", 1))
	}
}

// BenchmarkInstall measures the installation of one restart on a VM.
func BenchmarkInstall(b *testing.B) {
	c := large(b).Configuration()
	m := c.Members["vm-00001"]
	m.Incarnation = 9
	deltas := []Delta{{Epoch: c.Epoch + 1, Members: map[zinniatide.VMID]*zinniatide.Member{m.VM: &m}}}
	b.ResetTimer()
	for range b.N {
		ApplyDeltas(c, deltas)
	}
}

// BenchmarkClaim measures a claim and its result.
func BenchmarkClaim(b *testing.B) {
	r := New()
	for i := range b.N {
		id := fmt.Sprintf("%d-%08d", start+10_000, i)
		c := claim(id, 1, 1)
		apply(b, r, zinniatide.Millis(i), Command{Claim: c})
		apply(b, r, zinniatide.Millis(i), Command{Result: &zinniatide.ClaimResult{RequestID: c.RequestID, Token: 1, Outcome: zinniatide.OutcomeDone, Body: []byte("{}")}})
	}
}
