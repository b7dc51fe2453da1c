//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["drain-after-clock-step"] = drainAfterClockStep }

const (
	// clockStep is how far the clock of the server is ahead at its first start.
	clockStep = 2000 * time.Millisecond
	drain     = 3 * time.Second // drain_ms
)

// drainAfterClockStep has a server crash, start again under its id, and drain. With trouble,
// its clock is ahead at the first start, and right at the second.
func drainAfterClockStep(s *stand) []string {
	s.deploy(threeZones, []string{"nbo-a", "nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c"})
	for i, zone := range []string{"nbo-b", "nbo-b", "nbo-c"} {
		s.newServer(i+1, fmt.Sprintf("i-view-%d", i+1), "account-view", zone, 5*time.Millisecond).begin(0)
	}
	c := newConfiguration(7)
	c.addService("account-view", 0)
	c.addRoute("/view/", "idempotent", "account-view", 5000, 2)
	if !s.put(c, 15*time.Second) {
		s.fail("the configuration is not acknowledged")
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(5 * time.Second)
	t := s.startTraffic(s.class("front"), 4, 200*time.Millisecond, 5*time.Second, "GET", "/view/1", "")
	v := s.newServer(9, "i-view-9", "account-view", "nbo-a", 5*time.Millisecond)
	if s.trouble {
		v.clockAhead = clockStep
	}
	v.begin(0)
	s.log("server %s starts, its clock is %v ahead", v.id, v.clockAhead)
	time.Sleep(500 * time.Millisecond)
	v.crash()
	time.Sleep(time.Second)
	v.clockAhead = 0
	v.begin(0)
	s.log("server %s starts again, its clock is right", v.id)
	time.Sleep(6 * time.Second)
	served := len(v.arrivals)
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	if !v.beat() {
		s.fail("the heartbeat that says draining is not acknowledged")
	}
	acknowledged := s.now()
	time.Sleep(drain + 5*time.Second)
	v.mu.Lock()
	late := 0
	for _, a := range v.arrivals {
		if a.at > acknowledged+drain {
			late++
		}
	}
	v.mu.Unlock()
	v.leave()
	v.end()
	time.Sleep(time.Second)
	t.end()
	s.log("server %s ran %d requests before it drained, and %d later than drain_ms after the acknowledgement", v.id, served, late)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached the server %s later than drain_ms after a heartbeat that says draining was acknowledged", late, v.id)}
}
