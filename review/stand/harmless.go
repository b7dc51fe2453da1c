//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["harmless"] = playHarmless }

// playHarmless adds a route on which all clients send the same request, and lets one
// of the seven searchers of its service crash once, for 4.5 s.
func playHarmless(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	first := plainRoute("r-orders", "/orders/", "idempotent", "account-view", 5000)
	added := plainRoute("r-ledger", "/ledger/", "non_idempotent", "plant-ledger", 5000)
	services := []any{service("account-view", 96), service("plant-ledger", 96)}
	c.put(map[string]any{"version": 1, "limits": limits(262144), "services": services, "routes": []any{first}})
	var ledger []*searcher
	for i := range 7 {
		if i < 3 {
			c.newSearcher("account-view", zones[i], 3, 12, 20*time.Millisecond)
		}
		ledger = append(ledger, c.newSearcher("plant-ledger", zones[i%3], 3, 12, 400*time.Millisecond))
	}
	c.awaitReady()
	c.put(map[string]any{"version": 2, "limits": limits(262144), "services": services, "routes": []any{first, added}})
	time.Sleep(4 * time.Second)
	type sent struct {
		added bool
		x     *exchange
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(i int, toAdded bool) {
		defer wg.Done()
		u := &caller{cluster: c, zone: zones[i%len(zones)]}
		defer u.closeConn()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if addr := u.address(); addr == "" || u.connect(addr) != nil {
				u.until = time.Time{}
				continue
			}
			var x *exchange
			if toAdded {
				x = u.do("POST", "/ledger/close-shift", 5000, []byte("{}"), nil)
			} else {
				x = u.do("GET", "/orders/1", 5000, nil, nil)
			}
			rec.log("client %d: %s to %s, on the added route %v: status %d, %v", i, x.id, x.to, toAdded, x.status, x.err)
			mu.Lock()
			all = append(all, sent{toAdded, x})
			mu.Unlock()
			if x.status == 503 {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	for i := range 16 {
		wg.Add(1)
		go client(i, i%4 != 0)
	}
	time.Sleep(4 * time.Second)
	// The searcher that crashes is one that is at work on three requests, as each is
	// most of the time.
	var victim *searcher
	for until := time.Now().Add(5 * time.Second); victim == nil && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, s := range ledger {
			s.mu.Lock()
			busy := s.running+s.waiting >= 3
			s.mu.Unlock()
			if busy {
				victim = s
				break
			}
		}
	}
	if victim == nil {
		failSetup("no searcher is busy")
	}
	if trouble {
		victim.crash(4500 * time.Millisecond)
	}
	crashedAt := time.Now()
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	// Steady state: the searcher is back, and contact_ms and the time of its cold start
	// are over.
	from := crashedAt.Add(4500*time.Millisecond + contact + 3*time.Second)
	var n, served [2]int
	for _, s := range all {
		if s.x.sentAt.Before(from) {
			continue
		}
		i := 0
		if s.added {
			i = 1
		}
		n[i]++
		if s.x.status == 200 {
			served[i]++
		}
	}
	rec.say("in steady state, from %d ms on: first route %d requests, %d served; added route %d requests, %d served", rec.ms(from), n[0], served[0], n[1], served[1])
	if n[0] == 0 || n[1] < 20 {
		failSetup("too few requests to judge")
	}
	return float64(served[1])/float64(n[1]) >= float64(served[0])/float64(n[0])/4
}
