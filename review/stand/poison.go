//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const contact = 4 * time.Second

// playPoison sends a request that crashes each searcher that begins to run it, again
// and again: the same path, caller and body, at any machine. Each attempt has a
// traceparent header of its own, as clients that are traced send it. With
// HEADERS=same no header differs but the id of the attempt.
func playPoison(rec *recorder, trouble bool) bool {
	c := newCluster(rec, 3)
	defer c.close()
	c.startAll()
	c.put(map[string]any{
		"version": 1, "limits": limits(262144), "services": []any{service("account-view", 96)},
		"routes": []any{plainRoute("r-orders", "/orders/", "idempotent", "account-view", 5000)},
	})
	var searchers []*searcher
	for i := range 9 {
		s := c.newSearcher("account-view", zones[i%3], 3, 12, 60*time.Millisecond)
		s.crashes = func(r *http.Request) bool { return trouble && strings.HasSuffix(r.URL.Path, "/poison") }
		searchers = append(searchers, s)
	}
	c.awaitReady()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	served, total := 0, 0
	wg := steadyTraffic(c, stop, 6, 200*time.Millisecond, func(x *exchange) {
		mu.Lock()
		defer mu.Unlock()
		total++
		if x.status == 200 {
			served++
		}
	})
	u := &caller{cluster: c, zone: zones[0]}
	if os.Getenv("HEADERS") != "same" {
		u.headers = func() string {
			return fmt.Sprintf("Traceparent: 00-%016x%016x-%016x-01\r\n", rand.Uint64(), rand.Uint64(), rand.Uint64())
		}
	}
	attempts := map[string]bool{}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(1200 * time.Millisecond) {
		if addr := u.address(); addr == "" || u.connect(addr) != nil {
			u.until = time.Time{}
			continue
		}
		x := u.do("GET", "/orders/poison", 5000, nil, nil)
		u.closeConn()
		attempts[x.id] = true
		rec.say("attempt %s of the request at %s: status %d, %v", x.id, x.to, x.status, x.err)
	}
	close(stop)
	wg.Wait()
	var crashes []time.Time
	for _, s := range searchers {
		s.mu.Lock()
		crashes = append(crashes, s.crashedAt...)
		s.mu.Unlock()
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	rec.say("other requests: %d, served: %d; crashes of searchers: %d", total, served, len(crashes))
	if len(crashes) < 3 {
		return true
	}
	late := map[string]bool{}
	for _, s := range searchers {
		for _, a := range s.seen() {
			if attempts[a.id] && a.outcome != "other" && a.at.After(crashes[2].Add(contact)) {
				late[a.id] = true
			}
		}
	}
	rec.say("the request crashed the third searcher at %d ms; retries that reached searchers later than contact_ms after that: %d (allowed: 3)", rec.ms(crashes[2]), len(late))
	return len(late) <= 3
}
