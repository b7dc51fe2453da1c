package controller

import (
	"math"

	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/registrar"
)

const (
	// relayCheckInterval is the time between checks of the load of relay VMs.
	relayCheckInterval zinniatide.Millis = 1000
	// minRelaysPerZone limits the effect of the loss of one relay VM to about a
	// quarter of the callers of a zone.
	minRelaysPerZone = 4
	// relayReductionDelay is how long a zone must have had too many relay VMs
	// before their number is reduced. It is longer than a short drop in load.
	relayReductionDelay zinniatide.Millis = 15_000
)

// relayCountPlanner computes the number of active relay VMs per zone. It
// tracks since when each zone has had more than it needs.
type relayCountPlanner struct {
	nextCheck   zinniatide.Millis
	excessSince map[zinniatide.ZoneID]zinniatide.Millis
}

// adjustRelayCounts adjusts the number of active relay VMs of each zone to its
// load. With fewer active VMs each handles more requests, so it has fresher data
// on the backend servers, the zone needs fewer connections, and the retry limit
// is divided among fewer VMs.
func (c *Controller) adjustRelayCounts(now zinniatide.Millis) {
	if !c.config.AdjustRelayCounts || now < c.relayCounts.nextCheck {
		return
	}
	c.relayCounts.nextCheck = now + relayCheckInterval
	configuration := c.stateMachine.Configuration()
	load := map[zinniatide.ZoneID]float64{}
	for i := range c.sessions.entries {
		s := &c.sessions.entries[i]
		if m, ok := configuration.Members[s.vm]; ok && m.Relay {
			load[m.Zone] += s.load
		}
	}
	changed := c.relayCounts.plan(configuration, load, now)
	if len(changed) == 0 {
		return
	}
	klog.InfoS("changing the number of active relay VMs", "step", "relays", "counts", changed, "load", load)
	c.propose(&registrar.Command{ActiveRelays: &registrar.ActiveRelays{Zones: changed}}, func(_ any, err error) {
		if err != nil {
			klog.InfoS("failed to change the number of active relay VMs", "step", "relays", "err", err.Error())
		}
	})
}

// plan returns the counts to change, given the load of each zone in units of one
// VM's target load. Counts are raised at once and reduced after
// relayReductionDelay.
func (r *relayCountPlanner) plan(c *zinniatide.Configuration, load map[zinniatide.ZoneID]float64, now zinniatide.Millis) map[zinniatide.ZoneID]int {
	if r.excessSince == nil {
		r.excessSince = map[zinniatide.ZoneID]zinniatide.Millis{}
	}
	changed := map[zinniatide.ZoneID]int{}
	for _, zone := range c.RelayZones() {
		required := max(minRelaysPerZone, int(math.Ceil(load[zone])))
		current, bounded := c.ActiveRelays[zone]
		switch {
		case !bounded || required > current:
			changed[zone] = required
			delete(r.excessSince, zone)
		case required == current:
			delete(r.excessSince, zone)
		case r.excessSince[zone] == 0:
			r.excessSince[zone] = now
		case now-r.excessSince[zone] >= relayReductionDelay:
			changed[zone] = required
			delete(r.excessSince, zone)
		}
	}
	return changed
}
