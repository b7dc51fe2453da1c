package registrar

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
)

// BenchmarkScale measures single changes with 7,300 VMs in 7 zones, the size
// expected in two years.
func BenchmarkScale(b *testing.B) {
	r := New()
	for i := range 7300 {
		m := join(zinniatide.VMID(fmt.Sprintf("vm-%05d", i)), zinniatide.ZoneID(fmt.Sprintf("zone-%d", i%7)), 1).Join.Members[0]
		r.configuration.Members[m.VM] = m // set directly, because assigning buckets after each join would be slow
	}
	apply(b, r, 0, join("vm-00000", "zone-0", 2))
	base := r.Configuration()
	m := base.Members["vm-00003"]
	m.Process = 9
	deltas := []Delta{{Epoch: base.Epoch + 1, Members: map[zinniatide.VMID]*zinniatide.Member{m.VM: &m}}}
	process := zinniatide.ProcessID(1)
	for name, step := range map[string]func(){
		"install": func() { ApplyDeltas(base, deltas) },
		"restart": func() {
			process++
			apply(b, r, 0, join("vm-00001", "zone-1", process))
		},
		"loss-and-return": func() {
			apply(b, r, 0, Command{Remove: &Removal{Sessions: []Session{{VM: "vm-00002", Process: 1}}}})
			apply(b, r, 0, join("vm-00002", "zone-2", 1))
		},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				step()
			}
		})
	}
}
