//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["forged"] = playForged }

// playForged has another writer send one heartbeat for the address of each searcher of
// one service: complete, but for a service that no configuration names. The searchers
// go on, and so do their own heartbeats. With FORGE=bytes the heartbeats come under ids
// whose bytes can't be read, and the fronts are then stopped and started in turn.
func playForged(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	first := plainRoute("r-orders", "/orders/", "idempotent", "account-view", 5000)
	added := plainRoute("r-ledger", "/ledger/", "idempotent", "plant-ledger", 5000)
	services := []any{service("account-view", 96), service("plant-ledger", 96)}
	c.put(map[string]any{"version": 1, "limits": limits(262144), "services": services, "routes": []any{first}})
	var ledger []*searcher
	for i := range 3 {
		c.newSearcher("account-view", zones[i], 3, 12, 20*time.Millisecond)
		ledger = append(ledger, c.newSearcher("plant-ledger", zones[i], 3, 12, 20*time.Millisecond))
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
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u := &caller{cluster: c, zone: zones[i%len(zones)]}
			defer u.closeConn()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if addr := u.address(); addr == "" || u.connect(addr) != nil {
					u.until = time.Time{}
					continue
				}
				path := "/orders/"
				if i%2 == 0 {
					path = "/ledger/"
				}
				x := u.do("GET", fmt.Sprintf("%s%d-%d", path, i, n), 5000, nil, nil)
				mu.Lock()
				all = append(all, sent{i%2 == 0, x})
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	unreadable := os.Getenv("FORGE") == "bytes"
	if trouble {
		for i, s := range ledger {
			id, addr := fmt.Sprintf("i-other-%d", i), s.addr
			if unreadable {
				id, addr = fmt.Sprintf("i-%%ff%d", i), "127.0.0.1:1"
			}
			body, _ := json.Marshal(map[string]any{"service": "no-such-service", "addr": addr, "zone": s.zone, "version": "v1", "slots": 1, "state": "ready",
				"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
			r, err := http.Post("http://"+c.cores[i].addr(c.control)+"/v1/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				failSetup("heartbeat: %v", err)
			}
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			rec.say("heartbeat of another writer under id %s with address %s: status %d %s", id, addr, r.StatusCode, text)
		}
		for _, m := range c.fronts {
			if unreadable {
				m.stop()
				m.start()
				time.Sleep(time.Second)
			}
		}
	}
	time.Sleep(6 * time.Second)
	from := time.Now()
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
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
	if unreadable {
		return served[0] > 0
	}
	return float64(served[1])/float64(n[1]) >= float64(served[0])/float64(n[0])/4
}
