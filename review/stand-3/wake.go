//go:build review3

package main

import (
	"fmt"
	"math"
	"syscall"
	"time"
)

func init() { cases["cold-server-wake"] = coldServerAtWake }

// coldServerAtWake turns a server cold while one front machine stands still.
func coldServerAtWake(s *stand) []string {
	const coldPerS = 3.0
	s.deploy(threeZones, []string{"nbo-a", "nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c"})
	var servers []*server
	for i, zone := range threeZones {
		v := s.newServer(i+1, fmt.Sprintf("i-view-%d", i+1), "account-view", zone, 5*time.Millisecond)
		v.begin(0)
		servers = append(servers, v)
	}
	c := newConfiguration(7)
	c.addService("account-view", coldPerS)
	c.addRoute("/view/", "idempotent", "account-view", 5000, 2)
	if !s.put(c, 15*time.Second) {
		s.fail("the configuration is not acknowledged")
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	fronts := s.class("front")
	t := s.startTraffic(fronts[:1], 30, 500*time.Millisecond, 5*time.Second, "GET", "/view/1", "")
	others := s.startTraffic(fronts[1:], 6, 300*time.Millisecond, 5*time.Second, "GET", "/view/1", "")
	time.Sleep(5 * time.Second)
	if s.trouble {
		victim := fronts[0]
		victim.signal(syscall.SIGSTOP)
		time.AfterFunc(4*time.Second, func() { victim.signal(syscall.SIGCONT) })
	}
	time.Sleep(3 * time.Second)
	servers[0].turnCold(3 * time.Second)
	time.Sleep(6 * time.Second)
	t.end()
	others.end()
	limit := int(math.Floor(1.5*coldPerS + 5)) // cold_overshoot and cold_slack
	var broken []string
	for _, v := range servers {
		if n, at := v.mostCold(); n > limit {
			broken = append(broken, fmt.Sprintf("FAILBACK: the cold server %s got %d requests in the second from %.3f, at most %d are allowed", v.id, n, at.Seconds(), limit))
		} else {
			s.log("server %s: at most %d requests in a second while cold, %d allowed", v.id, n, limit)
		}
	}
	return broken
}
