//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["evacuate"] = playEvacuate }

// steadyTraffic sends requests of an idempotent route from clients of all zones
// until stop is closed, one each interval and client.
func steadyTraffic(c *cluster, stop chan struct{}, clients int, interval time.Duration, record func(*exchange)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u := &caller{cluster: c, zone: zones[i%len(zones)]}
			defer u.closeConn()
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				if addr := u.address(); addr == "" || u.connect(addr) != nil {
					u.until = time.Time{}
					continue
				}
				x := u.do("GET", "/orders/1", 5000, nil, nil)
				c.rec.log("client %d: %s to %s: status %d, %v", i, x.id, x.to, x.status, x.err)
				record(x)
			}
		}()
	}
	return &wg
}

// playEvacuate freezes a core machine that doesn't lead for 1.25 s. The operator takes
// an evacuation back, first at that machine, then at another one, and evacuates the
// zone again. The machine wakes and finds the old order on its socket.
func playEvacuate(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	c.put(map[string]any{
		"version": 1, "limits": limits(262144), "services": []any{service("account-view", 96)},
		"routes": []any{plainRoute("r-orders", "/orders/", "idempotent", "account-view", 5000)},
	})
	var evacuated []*searcher
	for range 2 {
		c.newSearcher("account-view", zones[0], 3, 12, 20*time.Millisecond)
		evacuated = append(evacuated, c.newSearcher("account-view", zones[1], 3, 12, 20*time.Millisecond))
	}
	c.awaitReady()
	stop := make(chan struct{})
	var mu sync.Mutex
	served := 0
	wg := steadyTraffic(c, stop, 12, 100*time.Millisecond, func(x *exchange) {
		mu.Lock()
		defer mu.Unlock()
		if x.status == 200 {
			served++
		}
	})
	reached := func(since, until time.Time) int {
		n := 0
		for _, s := range evacuated {
			for _, a := range s.seen() {
				if a.at.After(since) && a.at.Before(until) && a.outcome != "other" {
					n++
				}
			}
		}
		return n
	}
	time.Sleep(3 * time.Second)
	start, end := "/v1/evacuate/"+zones[1]+"/start", "/v1/evacuate/"+zones[1]+"/end"
	rec.say("requests that reached %s before its first evacuation: %d", zones[1], reached(rec.start, time.Now()))
	leader := c.leader()
	var followers []*machine
	for _, m := range c.cores {
		if m != leader {
			followers = append(followers, m)
		}
	}
	c.order("start of the evacuation", start, nil, []*machine{leader})
	time.Sleep(6 * time.Second)
	if trouble {
		followers[0].signal(syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	c.order("end of the evacuation", end, nil, []*machine{followers[0], followers[1], leader})
	time.Sleep(50 * time.Millisecond)
	rec.say("requests that reached %s after its evacuation had ended: %d", zones[1], reached(frozenAt, time.Now()))
	again := c.order("second start of the evacuation", start, nil, []*machine{followers[1], leader})
	time.Sleep(time.Until(frozenAt.Add(1250 * time.Millisecond)))
	if trouble {
		followers[0].signal(syscall.SIGCONT)
	}
	thawedAt := time.Now()
	time.Sleep(time.Until(thawedAt.Add(15 * time.Second)))
	close(stop)
	wg.Wait()
	// Judged are requests later than evacuate_ms after the acknowledgement, and later
	// than contact_ms after the core became calm, when all machines are in touch.
	from := again.Add(5 * time.Second)
	if calm := thawedAt.Add(4 * time.Second); calm.After(from) {
		from = calm
	}
	from = from.Add(500 * time.Millisecond)
	n := reached(from, time.Now())
	rec.say("served in the whole run: %d", served)
	rec.say("requests that reached %s from %d ms on, %d ms after its second evacuation was acknowledged: %d (allowed: 0)", zones[1],
		rec.ms(from), from.Sub(again).Milliseconds(), n)
	return n == 0
}
