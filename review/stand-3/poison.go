//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// crashAfter is how long a server works on the crashing request before it crashes, and
	// backAfter how long it is down then.
	crashAfter = 150 * time.Millisecond
	backAfter  = 2500 * time.Millisecond
	// giveUpAfter is when the caller leaves: half of the objective of order-fetch.
	giveUpAfter = 250 * time.Millisecond
	contact     = 4 * time.Second // contact_ms
)

// crashingRequest sends a request that crashes each server that runs it, again and again.
// With trouble, its caller leaves before its deadline each time.
func crashingRequest(s *stand) []string {
	const path = "/view/crash"
	s.deploy(threeZones, []string{"nbo-a", "nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c"})
	var mu sync.Mutex
	var crashes []time.Duration
	var reached []arrival // of the crashing request
	for i, zone := range []string{"nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c", "nbo-c"} {
		v := s.newServer(i+1, fmt.Sprintf("i-view-%d", i+1), "account-view", zone, 120*time.Millisecond)
		incarnation := 1
		v.onRequest = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != path {
				return false
			}
			mu.Lock()
			reached = append(reached, arrival{at: s.now(), id: r.Header.Get("X-Request-Id")})
			mu.Unlock()
			s.log("server %s begins to run the crashing request %s", v.id, r.Header.Get("X-Request-Id"))
			select {
			case <-r.Context().Done():
				s.log("server %s drops the crashing request, because its connection has closed", v.id)
				return true
			case <-time.After(crashAfter):
			}
			mu.Lock()
			crashes = append(crashes, s.now())
			mu.Unlock()
			v.crash()
			time.AfterFunc(backAfter, func() {
				mu.Lock()
				incarnation++
				v.id = fmt.Sprintf("i-view-%d-%d", i+1, incarnation)
				mu.Unlock()
				v.begin(0)
				s.log("server %s is back", v.id)
			})
			return true
		}
		v.begin(0)
	}
	c := newConfiguration(7)
	c.addService("account-view", 0)
	c.addRoute("/view/", "idempotent", "account-view", 5000, 2)
	if !s.put(c, 15*time.Second) {
		s.fail("the configuration is not acknowledged")
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	fronts := s.class("front")
	t := s.startTraffic(fronts, 3, time.Second, 5*time.Second, "GET", "/view/*", "")
	time.Sleep(5 * time.Second)
	for i := range 12 {
		caller := &client{s: s, front: fronts[i%len(fronts)].front()}
		wait := 5 * time.Second
		if s.trouble {
			wait = giveUpAfter
		}
		r := caller.sendFor(newID(), path, 5*time.Second, wait)
		s.log("caller of the crashing request: %s to %s answered %d after %d ms", r.id, fronts[i%len(fronts)].name, r.status, r.took.Milliseconds())
		caller.close()
		time.Sleep(4*time.Second - r.took)
	}
	time.Sleep(time.Second)
	t.end()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		s.fail("only %d servers have crashed", len(crashes))
	}
	// The attempts that reached servers later than contact_ms after the third crash.
	late := map[string]bool{}
	for _, a := range reached {
		if a.at > crashes[2]+contact {
			late[a.id] = true
		}
	}
	s.log("%d servers crashed; %d retries reached servers later than contact_ms after the third crash, 3 are allowed", len(crashes), len(late))
	if len(late) > 3 {
		return []string{fmt.Sprintf("BUDGET: the crashing request reached servers in %d retries later than contact_ms after it had crashed the third, at most 3 are allowed; it crashed %d servers", len(late), len(crashes))}
	}
	return nil
}
