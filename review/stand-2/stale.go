//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// playStale answers queries without two slow shards of twenty, and looks at when the
// parts of those shards reach their searchers.
func playStale(c *cluster, trouble bool) (outcome, error) {
	addMachines(c)
	const topK, deadline, late = 20, 1200 * time.Millisecond, 500 * time.Millisecond
	var shards []string
	var slow []*searcher
	for i := range 20 {
		shard := fmt.Sprintf("desk%02d", i)
		shards = append(shards, shard)
		for _, zone := range []string{"nbo-a", "nbo-b"} {
			s, err := c.addSearcher(shard, zone, 2, 15*time.Millisecond)
			if err != nil {
				return outcome{}, err
			}
			if i < 2 {
				slow = append(slow, s)
			}
		}
	}
	fronts, err := startDeployment(c, []route{{"name": "r1", "host": "shop.example", "path_prefix": "/sweep/", "kind": "idempotent",
		"timeout_ms": 1200, "target_latency_ms": 120, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": topK, "min_version": 0.89}})
	if err != nil {
		return outcome{}, err
	}
	for _, zone := range []string{"nbo-a", "nbo-b"} {
		address := fmt.Sprintf("%s:%d", fronts[zone].ip, portFront)
		if !waitFor(10*time.Second, 50*time.Millisecond, func() bool { return slices.Contains(c.resolve(fronts["nbo-c"], zone), address) }) {
			return outcome{}, errors.New("the directory does not name a front machine")
		}
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	if trouble {
		for _, s := range slow {
			s.work.Store(int64(12 * 80 * time.Millisecond))
		}
	}
	var mu sync.Mutex
	closed := map[string]time.Time{}
	served := 0
	var clients sync.WaitGroup
	for i := range 400 {
		id := fmt.Sprintf("r-%03d", i)
		front := []*machine{fronts["nbo-a"], fronts["nbo-b"]}[i%2]
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := c.get(context.Background(), front, "/sweep/x", id, deadline)
			mu.Lock()
			defer mu.Unlock()
			closed[id] = time.Now() // get has closed its connection
			if a.status == 200 {
				served++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	reached, ran, longest := map[string]bool{}, map[string]bool{}, time.Duration(0)
	for _, s := range c.searchers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if gone, ok := closed[a.id]; ok && a.at.After(gone.Add(late)) {
				reached[a.id] = true
				longest = max(longest, a.at.Sub(gone))
				c.rec.logf("LATE ARRIVAL: %s at %s %d ms after its client had closed, with a deadline of %s ms", a.id, s.id, a.at.Sub(gone).Milliseconds(), a.deadline)
			}
		}
		for _, r := range s.runs {
			if gone, ok := closed[r.id]; ok && r.began.After(gone.Add(late)) {
				ran[r.id] = true
			}
		}
		s.mu.Unlock()
	}
	text := fmt.Sprintf("%d of %d requests served; %d of them reached a searcher over %d ms after their client had closed its connection (the last %d ms after), %d ran that late",
		served, len(closed), len(reached), late.Milliseconds(), longest.Milliseconds(), len(ran))
	if served == 0 {
		return outcome{}, errors.New("no request was served")
	}
	return outcome{len(reached) > 5, text}, nil
}
