package soak

import (
	"time"
)

// partRun identifies a part of a request: the request and the service.
type partRun struct{ id, service string }

// work is what a server did for a part.
type work struct {
	partRun
	server     string
	began, end time.Time // end is zero while the server works
}

// beginWork records that a server begins to work on a part.
func (h *harness) beginWork(b *backend, id string) *work {
	w := &work{partRun: partRun{id, b.service}, server: b.id, began: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.works = append(h.works, w)
	return w
}

func (h *harness) endWork(w *work) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.end = time.Now()
}

// checkPartRuns verifies that no part has run on more servers than its route allows.
func (h *harness) checkPartRuns(most int) {
	h.mu.Lock()
	runs := map[partRun]int{}
	for _, w := range h.works {
		runs[w.partRun]++
	}
	h.mu.Unlock()
	for part, n := range runs {
		if n > most {
			h.violate("BUDGET: request %s ran on %d servers of %s, want at most %d", part.id, n, part.service, most)
		}
	}
}

// checkLeftWork verifies that servers do not go on for clients that have left.
func (h *harness) checkLeftWork() {
	h.mu.Lock()
	late := map[string]time.Duration{}
	for _, w := range h.works {
		leftAt, left := h.leftAt[w.id]
		if left && (w.end.IsZero() || w.end.After(leftAt.Add(leftWorkTime))) {
			late[w.id] = max(late[w.id], w.end.Sub(leftAt))
		}
	}
	left := len(h.leftAt)
	h.mu.Unlock()
	if 4*len(late) > left {
		h.violate("GONE: servers were at work on %d of %d requests more than %v after their clients had left: %v", len(late), left, leftWorkTime, late)
	}
}

// setColdUntil makes the server say in its heartbeats that it is cold until t.
func (b *backend) setColdUntil(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = t
	if b.coldSince.IsZero() {
		b.coldSince = time.Now()
	}
}

// coldLeft returns how long the server remains cold.
func (b *backend) coldLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(time.Until(b.coldUntil), 0)
}

// recordArrival records when a request has reached the server.
func (b *backend) recordArrival() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.coldSince.IsZero() {
		b.arrivals = append(b.arrivals, time.Now())
	}
}

// checkColdArrivals verifies that the server got no more in any second of its cold time
// than it bears.
func (b *backend) checkColdArrivals() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, first := range b.arrivals {
		end := first.Add(time.Second)
		if end.After(b.coldUntil) {
			break
		}
		n := 0
		for _, at := range b.arrivals[i:] {
			if at.Before(end) {
				n++
			}
		}
		if float64(n) > coldRate*coldRateOvershoot+coldRateSlack {
			b.h.violate("FAILBACK: cold server %s got %d requests in one second, %v after it became cold", b.id, n, first.Sub(b.coldSince))
			return
		}
	}
}
