package controller

import (
	"math"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

const (
	// relayInterval spaces the looks at the load of relay VMs.
	relayInterval zinniatide.Millis = 1000
	// leastRelays of a zone serve callers, so that the loss of one is a small
	// part.
	leastRelays = 4
	// shrinkDelay is how long a zone must have had too many relay VMs before
	// their number falls. It outlasts a wave of load.
	shrinkDelay zinniatide.Millis = 15_000
)

// relayCounter remembers since when zones could do with fewer relay VMs.
type relayCounter struct {
	next   zinniatide.Millis
	excess map[zinniatide.ZoneID]zinniatide.Millis
}

// tendRelays follows the load of each zone with the number of relay VMs that
// callers are sent to. Fewer VMs see more requests each: they know the backend
// servers better, need fewer connections and share the bound on repeats among
// fewer.
func (c *Controller) tendRelays(now zinniatide.Millis) {
	if !c.config.CountRelays || now < c.relays.next {
		return
	}
	c.relays.next = now + relayInterval
	configuration := c.machine.Configuration()
	load := map[zinniatide.ZoneID]float64{}
	for i := range c.sessions.rows {
		s := &c.sessions.rows[i]
		if m, ok := configuration.Members[s.vm]; ok && m.Relay {
			load[m.Zone] += s.load
		}
	}
	changed := c.relays.decide(configuration, load, now)
	if len(changed) == 0 {
		return
	}
	klog.InfoS("changing the number of relay VMs for callers", "step", "relays", "counts", changed, "load", load)
	c.propose(&registrar.Command{Relays: &registrar.RelayCounts{Zones: changed}}, func(_ any, err error) {
		if err != nil {
			klog.InfoS("number of relay VMs not changed", "step", "relays", "err", err.Error())
		}
	})
}

// decide returns the numbers that change, given the load of each zone in VMs.
// They grow at once and fall late.
func (r *relayCounter) decide(c *zinniatide.Configuration, load map[zinniatide.ZoneID]float64, now zinniatide.Millis) map[zinniatide.ZoneID]int {
	if r.excess == nil {
		r.excess = map[zinniatide.ZoneID]zinniatide.Millis{}
	}
	changed := map[zinniatide.ZoneID]int{}
	for _, zone := range c.RelayZones() {
		wanted := max(leastRelays, int(math.Ceil(load[zone])))
		current, bounded := c.ActiveRelays[zone]
		switch {
		case !bounded || wanted > current:
			changed[zone] = wanted
			delete(r.excess, zone)
		case wanted == current:
			delete(r.excess, zone)
		case r.excess[zone] == 0:
			r.excess[zone] = now
		case now-r.excess[zone] >= shrinkDelay:
			changed[zone] = wanted
			delete(r.excess, zone)
		}
	}
	return changed
}
