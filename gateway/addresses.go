package gateway

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// address is the entry of one VM in the address list for callers.
type address struct {
	VM      zinniatide.VMID   `json:"vm"`
	Zone    zinniatide.ZoneID `json:"zone"`
	Address string            `json:"address"`
}

// addressCache caches the address list of the latest configuration, because
// building it for each response would sort all VMs.
type addressCache struct {
	current  atomic.Pointer[addressList]
	rotation atomic.Uint64
}

type addressList struct {
	configuration *zinniatide.Configuration
	all           []address // sorted by VM
}

// serving returns the addresses of the serving VMs of c. The caller must not
// modify the list.
func (t *addressCache) serving(c *zinniatide.Configuration) []address {
	if l := t.current.Load(); l != nil && l.configuration == c {
		return l.all
	}
	l := &addressList{configuration: c, all: []address{}}
	for id, m := range c.Members {
		if c.VMServing(id) {
			l.all = append(l.all, address{VM: id, Zone: m.Zone, Address: m.HTTPAddress})
		}
	}
	slices.SortFunc(l.all, func(a, b address) int { return cmp.Compare(a.VM, b.VM) })
	t.current.Store(l)
	return l.all
}

// filterConnected removes the VMs without a live link, so that callers do not
// get the address of a failed VM whose lease has not expired yet. If more than
// half of the links are down, this VM is probably partitioned itself, and the
// list is returned unfiltered.
func filterConnected(all []address, live func(zinniatide.VMID) bool) []address {
	if live == nil {
		return all
	}
	kept := make([]address, 0, len(all))
	for _, a := range all {
		if live(a.VM) {
			kept = append(kept, a)
		}
	}
	if 2*len(kept) < len(all) {
		return all
	}
	return kept
}

// forZone returns the serving VMs, those of zone first. Each call rotates
// both groups by one entry to spread callers over the VMs.
func (t *addressCache) forZone(c *zinniatide.Configuration, zone zinniatide.ZoneID, live func(zinniatide.VMID) bool) []address {
	all := filterConnected(t.serving(c), live)
	local := make([]address, 0, len(all))
	var remote []address
	for _, a := range all {
		if a.Zone == zone {
			local = append(local, a)
		} else {
			remote = append(remote, a)
		}
	}
	offset := t.rotation.Add(1)
	rotate(local, offset)
	rotate(remote, offset)
	return append(local, remote...)
}

// rotate moves the first offset entries, modulo the length, to the end of list.
func rotate(list []address, offset uint64) {
	if len(list) < 2 {
		return
	}
	n := int(offset % uint64(len(list))) //nolint:gosec // less than the length
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// listAddresses does not require a lease: a caller that reaches a VM that cannot
// serve must still learn which other VMs to use.
func (g *Gateway) listAddresses(r *request) {
	zone := string(r.QueryArgs().Peek("zone"))
	if zone != "" {
		if err := checkID(zone); err != nil {
			r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter \"zone\" %s", err))
			return
		}
	}
	r.writeJSON(fasthttp.StatusOK, struct {
		Addresses []address         `json:"addresses"`
		Lifetime  zinniatide.Millis `json:"lifetime-ms"`
	}{g.addresses.forZone(g.deps.Configuration.Configuration(), zinniatide.ZoneID(zone), g.deps.Connected), zinniatide.AddressLifetime})
}

// health reports whether this VM accepts new work. The status is 200 in either
// case, because a VM that accepts no new work is not faulty.
func (g *Gateway) health(r *request) {
	lease := max(0, g.deps.Configuration.LeaseUntil()-g.deps.Clock.Now())
	c := g.deps.Configuration.Configuration()
	r.writeJSON(fasthttp.StatusOK, struct {
		VM             zinniatide.VMID   `json:"vm"`
		Zone           zinniatide.ZoneID `json:"zone"`
		Serving        bool              `json:"serving"`
		Draining       bool              `json:"draining"`
		Epoch          zinniatide.Epoch  `json:"epoch"`
		Lease          zinniatide.Millis `json:"lease-ms"`
		BackendServers int               `json:"backend-servers"`
	}{g.config.VM, g.config.Zone, lease > 0 && c.VMServing(g.config.VM), g.draining.Load(), c.Epoch, lease,
		len(g.deps.Catalog.Catalog().Servers)})
}
