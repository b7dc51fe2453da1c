//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crashing-request"] = crashingRequest
	cases["crashing-request-herd"] = crashingRequestHerd
}

const (
	// crashAfter is how long a server works on the crashing request before it crashes, and
	// backAfter how long it is down then.
	crashAfter = 150 * time.Millisecond
	backAfter  = 2500 * time.Millisecond
	// giveUpAfter is when the caller leaves: half of the objective of order-fetch.
	giveUpAfter = 250 * time.Millisecond
	contact     = 4 * time.Second // contact_ms
	// retryInterval is the time between two attempts of the caller.
	retryInterval = 4500 * time.Millisecond
)

// crashing is a deployment with servers that one request crashes.
type crashing struct {
	s       *stand
	mu      sync.Mutex
	crashes []time.Duration
	reached []arrival // of the crashing request
}

// crashPath is the path of the request that crashes each server that runs it.
const crashPath = "/view/crash"

// deployCrashing starts a deployment and ordinary traffic.
func deployCrashing(s *stand) (*crashing, *traffic) {
	k := &crashing{s: s}
	s.deploy(threeZones, []string{"nbo-a", "nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c"})
	for i, zone := range []string{"nbo-a", "nbo-a", "nbo-b", "nbo-b", "nbo-c", "nbo-c"} {
		v := s.newServer(i+1, fmt.Sprintf("i-view-%d", i+1), "account-view", zone, 120*time.Millisecond)
		incarnation := 1
		v.onRequest = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != crashPath {
				return false
			}
			if !k.run(v, r) {
				return true
			}
			time.AfterFunc(backAfter, func() {
				k.mu.Lock()
				incarnation++
				v.id = fmt.Sprintf("i-view-%d-%d", i+1, incarnation)
				k.mu.Unlock()
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
	t := s.startTraffic(s.class("front"), 3, time.Second, 5*time.Second, "GET", "/view/*", "")
	time.Sleep(5 * time.Second)
	return k, t
}

// run runs the crashing request on a server, and reports whether that has crashed.
func (k *crashing) run(v *server, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	k.mu.Lock()
	k.reached = append(k.reached, arrival{at: k.s.now(), id: id})
	k.mu.Unlock()
	k.s.log("server %s begins to run the crashing request %s", v.id, id)
	select {
	case <-r.Context().Done():
		k.s.log("server %s drops the crashing request, because its connection has closed", v.id)
		return false
	case <-time.After(crashAfter):
	}
	k.mu.Lock()
	k.crashes = append(k.crashes, k.s.now())
	k.mu.Unlock()
	v.crash()
	return true
}

// send sends the crashing request to a front machine once. The caller leaves after wait.
func (k *crashing) send(f *node, wait time.Duration) {
	caller := &client{s: k.s, front: f.front()}
	r := caller.sendFor(newID(), crashPath, 5*time.Second, wait)
	k.s.log("caller of the crashing request: %s to %s answered %d after %d ms", r.id, f.name, r.status, r.took.Milliseconds())
	caller.close()
	time.Sleep(retryInterval - r.took)
}

// settle is how long after a kill or a start of most of the core no machine counts as in
// touch. The rules ask for contact_ms, and for twice that after a final fault.
const settle = 2 * contact

// judge counts the retries that reached servers later than contact_ms after the third crash.
// Those within settle after a time in notInTouch do not count.
func (k *crashing) judge(notInTouch ...time.Duration) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.crashes) < 3 {
		k.s.fail("only %d servers have crashed", len(k.crashes))
	}
	late := map[string]bool{}
	for _, a := range k.reached {
		counts := a.at > k.crashes[2]+contact
		for _, from := range notInTouch {
			counts = counts && (a.at < from || a.at > from+settle)
		}
		if counts {
			late[a.id] = true
		}
	}
	k.s.log("%d servers crashed; %d retries count, 3 are allowed", len(k.crashes), len(late))
	if len(late) <= 3 {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: the crashing request reached servers in %d retries later than contact_ms after it had crashed the third, at most 3 are allowed; it crashed %d servers", len(late), len(k.crashes))}
}

// crashingRequest sends a request that crashes each server that runs it, again and again.
// With trouble, its caller leaves before its deadline each time.
func crashingRequest(s *stand) []string {
	k, t := deployCrashing(s)
	fronts := s.class("front")
	wait := 5 * time.Second
	if s.trouble {
		wait = giveUpAfter
	}
	for i := range 11 {
		k.send(fronts[i%len(fronts)], wait)
	}
	time.Sleep(time.Second)
	t.end()
	return k.judge()
}

// crashingRequestHerd sends such a request, too. With trouble, all core machines and half of
// the front machines are killed at once, twice.
func crashingRequestHerd(s *stand) []string {
	k, t := deployCrashing(s)
	killed := s.class("front")[:3]
	var kills []time.Duration
	for round := range 3 {
		for i := range 4 {
			k.send(killed[i%len(killed)], 5*time.Second)
		}
		if s.trouble && round < 2 {
			herd := append(s.class("core"), killed...)
			for _, n := range herd {
				n.kill()
			}
			time.Sleep(time.Second)
			for _, n := range herd {
				n.run()
			}
			kills = append(kills, s.now()-time.Second, s.now())
		}
		if round < 2 {
			time.Sleep(settle + time.Second)
		}
	}
	t.end()
	return k.judge(kills...)
}
