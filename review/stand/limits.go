//go:build review

package main

import (
	"sync"
	"time"
)

func init() { cases["limits"] = playLimits }

// playLimits raises max_body_bytes by a configuration. Clients on kept connections
// send larger bodies once the version must be in force.
func playLimits(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	config := func(version, maxBody int) map[string]any {
		return map[string]any{
			"version": version, "limits": limits(maxBody), "services": []any{service("account-view", 96)},
			"routes": []any{plainRoute("r-orders", "/orders/", "non_idempotent", "account-view", 5000)},
		}
	}
	first := 32 << 10
	if !trouble {
		first = 256 << 10
	}
	c.put(config(1, first))
	for _, zone := range zones {
		c.newSearcher("account-view", zone, 3, 12, 10*time.Millisecond)
	}
	c.awaitReady()
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all []*exchange
	var wg sync.WaitGroup
	large := make(chan struct{})
	stop := make(chan struct{})
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u := &caller{cluster: c, zone: zones[i%len(zones)]}
			defer u.closeConn()
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				if addr := u.address(); addr == "" || u.connect(addr) != nil {
					u.until = time.Time{}
					continue
				}
				size := 1 << 10
				select {
				case <-large:
					size = 64 << 10
				default:
				}
				x := u.do("POST", "/orders/1", 5000, make([]byte, size), nil)
				rec.log("client %d: %s to %s: body of %d bytes, kept %v, status %d, complete %v, %v", i, x.id, x.to, size, x.kept, x.status, x.complete, x.err)
				mu.Lock()
				all = append(all, x)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	acked := c.put(config(2, 256<<10))
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	close(large)
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	denied, served := 0, 0
	for _, x := range all {
		switch x.status {
		case 200:
			served++
		case 413, 431, 400:
			denied++
			rec.say("%s, sent %d ms after version 2 was acknowledged on a connection kept since before: status %d", x.id, x.sentAt.Sub(acked).Milliseconds(), x.status)
		}
	}
	allowed := 5 + len(all)/500
	rec.say("%d requests, %d served, %d ended with a 4xx of the system although every configuration that may be in force allows them (allowed: %d)", len(all), served, denied, allowed)
	return denied <= allowed
}
