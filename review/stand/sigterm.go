//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["sigterm"] = playSigterm }

// playSigterm stops each of the three fronts in turn, twice, as the platform does for
// planned work, while clients send requests that last one to two seconds.
func playSigterm(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	c.put(map[string]any{
		"version": 1, "limits": limits(262144), "services": []any{service("account-view", 96)},
		"routes": []any{plainRoute("r-orders", "/orders/", "non_idempotent", "account-view", 5000)},
	})
	var searchers []*searcher
	for i := range 9 {
		// 700 ms of work is within the 720 ms of the deployment; the slots are taken, and
		// some requests wait in the queue.
		searchers = append(searchers, c.newSearcher("account-view", zones[i%3], 2, 12, 700*time.Millisecond))
	}
	c.awaitReady()
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []*exchange
	var wg sync.WaitGroup
	for i := range 54 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u := &caller{cluster: c, zone: zones[i%len(zones)], patient: i%18 == 0}
			for {
				select {
				case <-stop:
					return
				default:
				}
				if addr := u.address(); addr == "" || u.connect(addr) != nil {
					u.until = time.Time{}
					time.Sleep(20 * time.Millisecond)
					continue
				}
				x := u.do("POST", "/orders/1", 5000, []byte("an order"), nil)
				u.closeConn() // a new connection for each request
				rec.log("client %d: %s to %s: sent at %d, status %d, complete %v, %v", i, x.id, x.to, rec.ms(x.sentAt), x.status, x.complete, x.err)
				mu.Lock()
				all = append(all, x)
				mu.Unlock()
				if x.status == 503 {
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	type stopped struct {
		addr  string
		at    time.Time
		ended time.Time
	}
	var stops []stopped
	for _, m := range append(append([]*machine{}, c.fronts...), c.fronts...) {
		s := stopped{addr: m.addr(c.front), at: time.Now()}
		if trouble {
			m.stop()
			s.ended = time.Now()
			time.Sleep(300 * time.Millisecond)
			m.start()
			stops = append(stops, s)
			time.Sleep(4 * time.Second)
		} else {
			time.Sleep(10 * time.Second)
		}
		c.awaitReady()
		time.Sleep(3 * time.Second)
	}
	close(stop)
	wg.Wait()
	runs, arrived := map[string]bool{}, map[string]bool{}
	for _, s := range searchers {
		for _, a := range s.seen() {
			arrived[a.id] = true
			if !a.began.IsZero() {
				runs[a.id] = true
			}
		}
	}
	broken, answered, statuses := 0, 0, map[string]int{}
	for _, x := range all {
		statuses[fmt.Sprint(x.status)]++
		if x.complete {
			answered++
			continue
		}
		if !x.sent {
			continue
		}
		ran := runs[x.id]
		for _, s := range stops {
			since := x.sentAt.Sub(s.at)
			if s.addr != x.to || since < 0 || since > grace+time.Second || x.endedAt.Sub(x.sentAt) >= 4900*time.Millisecond {
				continue
			}
			// Excused: a searcher still at work, or still with the request in its queue, in
			// the last sixth of grace_s on a request that was sent no later than 3 s after
			// the SIGTERM.
			excused := since <= 3*time.Second && x.endedAt.Sub(s.at) >= grace*5/6
			rec.say("%s was sent %d ms after the SIGTERM of %s, begun by the searcher %v, and its connection ended %d ms after the SIGTERM without an answer; excused: %v",
				x.id, since.Milliseconds(), x.to, ran, x.endedAt.Sub(s.at).Milliseconds(), excused)
			if !excused && (arrived[x.id] || x.endedAt.Sub(x.sentAt) > lostSlack) {
				broken++
			}
		}
	}
	rec.say("%d requests, %d answered whole, by status: %v", len(all), answered, statuses)
	rec.say("requests that had been passed on and whose connection ended without an answer around the SIGTERM, not excused: %d (allowed: 0)", broken)
	return broken == 0
}

// lostSlack is lost_slack_ms.
const lostSlack = 200 * time.Millisecond
