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

// playAttempts kills a front machine while it gathers parts for one of another zone, and
// has sent some of them to two searchers already, which is all that the route allows.
func playAttempts(c *cluster, trouble bool) (outcome, error) {
	addMachines(c)
	const maxAttempts, topK, deadline = 2, 10, 1200 * time.Millisecond
	var shards []string
	for i := range 8 {
		shard := fmt.Sprintf("desk%d", i)
		shards = append(shards, shard)
		zones := []string{"nbo-a", "nbo-a"}
		if i >= 2 {
			zones = []string{"nbo-b", "nbo-b", "nbo-b", "nbo-b"}
		}
		for _, zone := range zones {
			if _, err := c.addSearcher(shard, zone, 3, 100*time.Millisecond); err != nil {
				return outcome{}, err
			}
		}
	}
	fronts, err := startDeployment(c, []route{{"name": "r1", "host": "shop.example", "path_prefix": "/sweep/", "kind": "idempotent",
		"timeout_ms": 1200, "target_latency_ms": 120, "priority": 1, "gather": shards, "max_attempts": maxAttempts, "top_k": topK, "min_version": 0.89}})
	if err != nil {
		return outcome{}, err
	}
	front := fronts["nbo-a"]
	address := fmt.Sprintf("%s:%d", front.ip, portFront)
	if !waitFor(10*time.Second, 50*time.Millisecond, func() bool { return slices.Contains(c.resolve(fronts["nbo-c"], "nbo-a"), address) }) {
		return outcome{}, errors.New("the directory does not name the front machine")
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	ask := func(id string) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := c.get(context.Background(), front, "/sweep/x", id, deadline)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	ask("calm-00")
	clients.Wait()
	for i := range 6 {
		ask(fmt.Sprintf("early-%02d", i))
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(65 * time.Millisecond)
	if trouble {
		fronts["nbo-b"].kill()
		time.Sleep(100 * time.Millisecond)
		if err := fronts["nbo-b"].start(); err != nil {
			return outcome{}, err
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	served := 0
	for i := range answers {
		if answers[i].status == 200 {
			served++
		}
	}
	// ran holds the searchers that began to work on each request, by service.
	ran := map[string]map[string]map[string]bool{}
	for _, s := range c.searchers {
		s.mu.Lock()
		for _, r := range s.runs {
			if ran[r.id] == nil {
				ran[r.id] = map[string]map[string]bool{}
			}
			if ran[r.id][s.service] == nil {
				ran[r.id][s.service] = map[string]bool{}
			}
			ran[r.id][s.service][s.id] = true
		}
		s.mu.Unlock()
	}
	over := 0
	for id, services := range ran {
		worst, where := 0, ""
		for service, searchers := range services {
			if len(searchers) > worst {
				worst, where = len(searchers), service
			}
		}
		if worst > maxAttempts {
			over++
			c.rec.logf("OVER: %s ran on %d searchers of %s", id, worst, where)
		}
	}
	text := fmt.Sprintf("%d of %d requests served; %d ran on more than %d searchers of a shard", served, len(answers), over, maxAttempts)
	if served == 0 {
		return outcome{}, errors.New("no request was served")
	}
	return outcome{over > 3, text}, nil
}
