//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// playCold starts a searcher during traffic, which becomes cold again shortly before it
// is warm, and counts the requests that it gets while it is cold.
func playCold(c *cluster, trouble bool) (outcome, error) {
	const coldStart, coldPerS, overshoot, slack = 3 * time.Second, 20, 1.5, 5
	addMachines(c)
	c.coldPerS = coldPerS
	for range 2 {
		if _, err := c.addSearcher("view", "nbo-b", 3, 10*time.Millisecond); err != nil {
			return outcome{}, err
		}
	}
	fronts, err := startDeployment(c, []route{{"name": "r1", "host": "shop.example", "path_prefix": "/fetch/", "kind": "idempotent",
		"timeout_ms": 5000, "target_latency_ms": 500, "priority": 2, "service": "view", "max_attempts": 2}})
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	var mu sync.Mutex
	sent := map[string]time.Time{}
	served, asked := 0, 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			id := fmt.Sprintf("r-%04d", i)
			clients.Add(1)
			go func() {
				defer clients.Done()
				mu.Lock()
				sent[id] = time.Now()
				asked++
				mu.Unlock()
				a := c.get(context.Background(), fronts["nbo-a"], "/fetch/x", id, 5*time.Second)
				if a.status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	// A searcher starts during traffic, cold. It says so in its heartbeats.
	s, err := c.addColdSearcher("view", "nbo-a", 3, 10*time.Millisecond, coldStart)
	if err != nil {
		return outcome{}, err
	}
	born := time.Now()
	coldEnd := born.Add(coldStart)
	time.Sleep(1800 * time.Millisecond)
	if trouble {
		// It becomes cold again; the heartbeat 2.4 s after its start says so.
		coldEnd = time.Now().Add(coldStart)
		s.coldUntil.Store(coldEnd.UnixMilli())
		c.rec.logf("%s becomes cold again", s.id)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	// The largest number of requests that were sent and arrived within one second of its
	// cold time.
	s.mu.Lock()
	arrivals := s.arrivals
	s.mu.Unlock()
	most, when := 0, time.Duration(0)
	for _, first := range arrivals {
		begin := sent[first.id]
		end := begin.Add(time.Second)
		if begin.Before(born) || end.After(coldEnd) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if !sent[a.id].Before(begin) && a.at.Before(end) {
				n++
			}
		}
		if n > most {
			most, when = n, begin.Sub(born)
		}
	}
	if served == 0 || len(arrivals) == 0 {
		return outcome{}, errors.New("no request was served, or none by the new searcher")
	}
	bound := coldPerS*overshoot + slack
	text := fmt.Sprintf("%d of %d requests served; the cold searcher got up to %d requests in one second, from %d ms after its start (bound %.0f)",
		served, asked, most, when.Milliseconds(), float64(bound))
	return outcome{float64(most) > bound, text}, nil
}
