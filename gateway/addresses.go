package gateway

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// address is one VM that callers may use.
type address struct {
	VM      zinniatide.VMID   `json:"vm"`
	Zone    zinniatide.ZoneID `json:"zone"`
	Address string            `json:"address"`
}

// addressTable keeps the list of one configuration, as building it for each
// answer would cost a sort of all VMs.
type addressTable struct {
	current atomic.Pointer[addressList]
	answers atomic.Uint64
}

type addressList struct {
	configuration *zinniatide.Configuration
	all           []address // sorted by VM
}

func (t *addressTable) list(c *zinniatide.Configuration) []address {
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

// connected leaves out the VMs without a live link, so that callers are not
// sent to a VM that was lost and whose lease still runs. When more than half
// of the links are down, this VM is cut off itself and leaves out none.
func connected(all []address, live func(zinniatide.VMID) bool) []address {
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

// answer lists the serving VMs, those of zone first. Both groups start one
// further with each answer, so that callers spread over them.
func (t *addressTable) answer(c *zinniatide.Configuration, zone zinniatide.ZoneID, live func(zinniatide.VMID) bool) []address {
	all := connected(t.list(c), live)
	near := make([]address, 0, len(all))
	var far []address
	for _, a := range all {
		if a.Zone == zone {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	turn := t.answers.Add(1)
	rotate(near, turn)
	rotate(far, turn)
	return append(near, far...)
}

func rotate(list []address, turn uint64) {
	if len(list) < 2 {
		return
	}
	n := int(turn % uint64(len(list))) //nolint:gosec // less than the length
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// listAddresses is answered without a lease too: a caller that asks a VM that
// cannot serve must learn which others to use.
func (g *Gateway) listAddresses(r *request) {
	zone := string(r.QueryArgs().Peek("zone"))
	if zone != "" {
		if err := checkID(zone); err != nil {
			r.refuse(zinniatide.Refuse(zinniatide.CodeBadRequest, "parameter \"zone\" %s", err))
			return
		}
	}
	r.answer(fasthttp.StatusOK, struct {
		Addresses []address         `json:"addresses"`
		Lifetime  zinniatide.Millis `json:"lifetime-ms"`
	}{g.addresses.answer(g.deps.Configuration.Configuration(), zinniatide.ZoneID(zone), g.deps.Connected), zinniatide.AddressLifetime})
}

// health tells whether this VM takes new work. It is answered with status 200
// in either case, as the VM itself is well.
func (g *Gateway) health(r *request) {
	lease := max(0, g.deps.Configuration.LeaseUntil()-g.deps.Clock.Now())
	c := g.deps.Configuration.Configuration()
	r.answer(fasthttp.StatusOK, struct {
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
