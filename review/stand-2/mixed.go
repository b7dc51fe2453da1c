//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// startDeployment starts one core and one front machine in each of three zones, and
// waits until all fronts are ready.
func startDeployment(c *cluster, routes []route) (fronts map[string]*machine, err error) {
	fronts = map[string]*machine{}
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		if m.class == "front" {
			fronts[m.zone] = m
		}
	}
	if err := c.configure(routes, 20*time.Second); err != nil {
		return nil, err
	}
	if !waitFor(20*time.Second, 50*time.Millisecond, func() bool {
		for _, m := range fronts {
			if !m.ready() {
				return false
			}
		}
		return true
	}) {
		return nil, errors.New("the fronts are not ready")
	}
	return fronts, nil
}

// addMachines adds a core and a front machine for each zone.
func addMachines(c *cluster) {
	zones := []string{"nbo-a", "nbo-b", "nbo-c"}
	for _, zone := range zones {
		c.add("core-"+zone, "core", zone)
	}
	for _, zone := range zones {
		c.add("front-"+zone, "front", zone)
	}
}

// playMixed kills a front machine while parts of its gathered requests are still on
// their way from a front machine of another zone, and sends it new requests when it is
// back.
func playMixed(c *cluster, trouble bool) (outcome, error) {
	addMachines(c)
	// Two shards have their searchers in one zone and two in another. One shard is large:
	// its searchers work 720 ms on each request. The route has the times of order-fetch. With
	// VARIANT=sweep it has those of dispatch-sweep, and the searchers of that shard, which
	// else work 60 ms, are slowed by 12 (in addition to the kill).
	target, timeout, large := 500, 5000, 720*time.Millisecond
	if os.Getenv("VARIANT") == "sweep" {
		target, timeout, large = 120, 1200, 12*60*time.Millisecond
	}
	shards := []string{"desk0", "desk1", "desk2", "desk3"}
	for i, shard := range shards {
		zone, count, work := "nbo-a", 2, 15*time.Millisecond
		if i >= 2 {
			zone = "nbo-b"
		}
		if i == 3 {
			count, work = 3, large
		}
		for range count {
			if _, err := c.addSearcher(shard, zone, 3, work); err != nil {
				return outcome{}, err
			}
		}
	}
	const topK = 10
	deadline := time.Duration(timeout) * time.Millisecond
	fronts, err := startDeployment(c, []route{{"name": "r1", "host": "shop.example", "path_prefix": "/sweep/", "kind": "idempotent",
		"timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": topK, "min_version": 0.89}})
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
	for i := range 3 {
		ask(fmt.Sprintf("early-%02d", i))
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		front.kill()
		time.Sleep(100 * time.Millisecond) // the platform restarts a process after a short delay
		if err := front.start(); err != nil {
			return outcome{}, err
		}
	}
	begun := time.Now()
	if !waitFor(10*time.Second, 5*time.Millisecond, front.ready) {
		return outcome{}, errors.New("the front machine does not come back")
	}
	c.rec.logf("%s is ready after %d ms", front.name, time.Since(begun).Milliseconds())
	for i := range 8 {
		ask(fmt.Sprintf("later-%02d", i))
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	wrong, served := 0, 0
	first := ""
	for i := range answers {
		if answers[i].status == 200 {
			served++
		}
		if problem := answers[i].checkGathered(shards, topK); problem != "" {
			wrong++
			c.rec.logf("WRONG answer to %s: %s", answers[i].id, problem)
			if first == "" {
				first = fmt.Sprintf("request %s: %s", answers[i].id, problem)
			}
		}
	}
	text := fmt.Sprintf("%d of %d requests served, %d with a wrong answer", served, len(answers), wrong)
	if wrong > 0 {
		return outcome{true, text + "; " + first}, nil
	}
	if served == 0 {
		return outcome{}, errors.New("no request was served")
	}
	return outcome{false, text}, nil
}
