//go:build review3

package main

import (
	"fmt"
	"math"
	"syscall"
	"time"
)

func init() { cases["cold-server"] = coldServer }

var threeZones = []string{"nbo-a", "nbo-b", "nbo-c"}

// coldServer turns a server cold while one core machine stands still. Another core
// machine acknowledges the server's heartbeat, which says so.
func coldServer(s *stand) []string {
	const coldPerS = 5.0
	s.deploy(threeZones, []string{"nbo-a", "nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c"})
	var servers []*server
	for i, zone := range []string{"nbo-a", "nbo-b", "nbo-c"} {
		v := s.newServer(i+1, fmt.Sprintf("i-view-%d", i+1), "account-view", zone, 5*time.Millisecond)
		v.home = s.control()[1]
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
	t := s.startTraffic(fronts, 6, 300*time.Millisecond, 5*time.Second, "GET", "/view/1", "")
	time.Sleep(5 * time.Second)
	// All is calm. The core machine of the server's zone stands still for 4 s.
	if s.trouble {
		victim := s.class("core")[0]
		victim.signal(syscall.SIGSTOP)
		time.AfterFunc(4*time.Second, func() { victim.signal(syscall.SIGCONT) })
	}
	time.Sleep(300 * time.Millisecond)
	servers[0].turnCold(3 * time.Second)
	time.Sleep(9 * time.Second)
	t.end()
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

// mostCold returns the most requests that reached the server in one second while it was
// cold, and the beginning of that second.
func (v *server) mostCold() (most int, from time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, first := range v.arrivals {
		if !first.cold {
			continue
		}
		n := 0
		for _, a := range v.arrivals[i:] {
			if a.cold && a.at < first.at+time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, first.at
		}
	}
	return most, from
}
