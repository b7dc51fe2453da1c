//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["topk"] = playTopK }

// playTopK changes top_k of a route over three shards to the largest 32-bit number, as
// an operator may who wants all records.
func playTopK(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	shards := []string{"shard-1", "shard-2", "shard-3"}
	config := func(version, topK int) map[string]any {
		var services []any
		for _, name := range shards {
			services = append(services, service(name, 25))
		}
		return map[string]any{"version": version, "limits": limits(262144), "services": services, "routes": []any{map[string]any{
			"name": "r-orders", "host": host, "path_prefix": "/orders/", "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 120, "priority": 1,
			"gather": shards, "max_attempts": 2, "top_k": topK, "min_version": 0.66,
		}}}
	}
	c.put(config(1, 20))
	for i, name := range shards {
		for j := range 2 {
			s := c.newSearcher(name, zones[(i+j)%3], 2, 12, 5*time.Millisecond)
			s.body = func(*http.Request) []byte { return make([]byte, 400) }
		}
	}
	c.awaitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	served := 0
	wg := steadyTraffic(c, stop, 6, 100*time.Millisecond, func(x *exchange) {
		mu.Lock()
		defer mu.Unlock()
		if x.status == 200 {
			served++
		}
	})
	time.Sleep(3 * time.Second)
	rec.say("served with top_k 20: %d", served)
	if trouble {
		c.put(config(2, 1<<31-1))
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	held := true
	for _, m := range c.fronts {
		select {
		case <-m.done:
			rec.say("process of %s has ended by itself", m.name)
			held = false
		default:
		}
	}
	rec.say("served in the whole run: %d", served)
	return held
}
