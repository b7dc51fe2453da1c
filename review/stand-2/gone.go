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

// playGone lets three of ten clients leave while the searchers of four of thirty shards
// are slow, and looks at what their searchers do half a second later.
func playGone(c *cluster, trouble bool) (outcome, error) {
	addMachines(c)
	const topK, deadline, patience, late = 20, 1200 * time.Millisecond, 60 * time.Millisecond, 500 * time.Millisecond
	var shards []string
	for i := range 30 {
		shard := fmt.Sprintf("desk%02d", i)
		shards = append(shards, shard)
		work := 15 * time.Millisecond
		if i < 4 {
			work = 12 * 80 * time.Millisecond // 80 ms of work at searchers that are slowed by 12
		}
		for _, zone := range []string{"nbo-a", "nbo-b"} {
			if _, err := c.addSearcher(shard, zone, 2, work); err != nil {
				return outcome{}, err
			}
		}
	}
	fronts, err := startDeployment(c, []route{{"name": "r1", "host": "shop.example", "path_prefix": "/sweep/", "kind": "idempotent",
		"timeout_ms": 1200, "target_latency_ms": 120, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": topK, "min_version": 0.89}})
	if err != nil {
		return outcome{}, err
	}
	front := fronts["nbo-a"]
	address := fmt.Sprintf("%s:%d", front.ip, portFront)
	if !waitFor(10*time.Second, 50*time.Millisecond, func() bool { return slices.Contains(c.resolve(fronts["nbo-c"], "nbo-a"), address) }) {
		return outcome{}, errors.New("the directory does not name the front machine")
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	var mu sync.Mutex
	left := map[string]time.Time{} // when each client that gave up had closed its connection
	served, shortest := 0, deadline
	var clients sync.WaitGroup
	for i := range 60 {
		id := fmt.Sprintf("r-%02d", i)
		gives := i/2%10 < 3
		front := []*machine{fronts["nbo-a"], fronts["nbo-b"]}[i%2]
		clients.Add(1)
		go func() {
			defer clients.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if gives && trouble {
				time.AfterFunc(patience, cancel)
			}
			a := c.get(ctx, front, "/sweep/x", id, deadline)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
				shortest = min(shortest, a.took)
			}
			if a.status == 0 && gives && trouble {
				left[id] = time.Now()
			}
		}()
		time.Sleep(750 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2500 * time.Millisecond)
	atWork, reached := map[string]bool{}, 0
	for _, s := range c.searchers {
		s.mu.Lock()
		for _, r := range s.runs {
			gone, ok := left[r.id]
			if ok && (r.ended.IsZero() || r.ended.After(gone.Add(late))) {
				atWork[r.id] = true
				c.rec.logf("LATE WORK: %s on %s from %d ms to %d ms after its client had left", r.id, s.id,
					r.began.Sub(gone).Milliseconds(), r.ended.Sub(gone).Milliseconds())
			}
		}
		for _, a := range s.arrivals {
			if gone, ok := left[a.id]; ok && a.at.After(gone.Add(late)) {
				reached++
				c.rec.logf("LATE ARRIVAL: %s at %s %d ms after its client had left", a.id, s.id, a.at.Sub(gone).Milliseconds())
			}
		}
		s.mu.Unlock()
	}
	if len(left) == 0 && trouble {
		return outcome{}, errors.New("no client left")
	}
	text := fmt.Sprintf("%d clients left; on %d of their requests searchers were at work over %d ms later; %d sends of them reached a searcher that late; %d other requests served, in %d ms or more",
		len(left), len(atWork), late.Milliseconds(), reached, served, shortest.Milliseconds())
	return outcome{4*len(atWork) > len(left) || reached > 3, text}, nil
}
