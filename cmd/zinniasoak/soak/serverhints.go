package soak

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniatide.example/zinniatide/platform"
)

// Behavior of backend servers that say in their answers what they want.
const (
	// leaveDuration is how long a server goes on after it has begun to say that it is
	// leaving.
	leaveDuration = drainDeadline + 3*time.Second
	// pauseDuration is the pause that a server asks for when it turns a request away.
	pauseDuration = 2 * time.Second
	// pauseSlack is the time after such an answer in which requests may still arrive
	// that were on their way.
	pauseSlack = 500 * time.Millisecond
	// maxPauseArrivals is the number of requests that may arrive from one VM in the
	// rest of the pause.
	maxPauseArrivals = 2
)

// origin is where and when a caller sent a request.
type origin struct {
	ip     string // of the relay
	sentAt time.Time
}

// hints records what a backend server has announced to one VM in its answers.
type hints struct {
	leavingAt     time.Time // when the VM had passed on the first answer that said so
	pausedAt      time.Time
	pauseArrivals int
}

// originOf returns where a request for a single server was sent to. The parts of a
// gather request may come from another VM, so it returns false for them.
func (h *harness) originOf(id, path string) (origin, bool) {
	if strings.HasPrefix(path, gatherPath) {
		return origin{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.origins[id]
	return o, ok
}

func ipOf(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}

// disturbedSince reports whether the process of a VM was restarted or suspended after
// the given time.
func (c *cluster) disturbedSince(ip string, since time.Time) bool {
	for _, p := range c.all() {
		if p.ip != ip {
			continue
		}
		p.mu.Lock()
		disturbed := p.suspended || p.ending || p.lastFault.After(since.Add(-time.Second))
		p.mu.Unlock()
		return disturbed
	}
	return true
}

// checkHints verifies that a request may reach the server after what its answers to
// the VM that sent it have announced.
func (b *backend) checkHints(id, path string) {
	o, known := b.h.originOf(id, path)
	if !known {
		return
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.hints[o.ip]
	if w == nil {
		return
	}
	if !w.leavingAt.IsZero() && o.sentAt.After(w.leavingAt.Add(drainDeadline)) && !b.h.cluster.disturbedSince(o.ip, w.leavingAt) {
		b.h.violate("DRAIN: request %s, sent %v after an answer of %s to %s that it is leaving, reached it", id, o.sentAt.Sub(w.leavingAt), b.id, o.ip)
	}
	since := now.Sub(w.pausedAt)
	if w.pausedAt.IsZero() || since <= pauseSlack || since >= pauseDuration || b.h.cluster.disturbedSince(o.ip, w.pausedAt) {
		return
	}
	w.pauseArrivals++
	if w.pauseArrivals > maxPauseArrivals {
		b.h.violate("BUDGET: request %s reached %s from %s %v after it had asked for a pause of %v, the %d. in that time", id, b.id, o.ip, since,
			pauseDuration, w.pauseArrivals)
	}
}

// hintsOf returns what the server has announced to the VM with the address. The lock
// must be held.
func (b *backend) hintsOf(ip string) *hints {
	if b.hints[ip] == nil {
		b.hints[ip] = &hints{}
	}
	return b.hints[ip]
}

// sayLeaving adds to an answer that the server is leaving, if it is.
func (b *backend) sayLeaving(rw http.ResponseWriter, id, path string) {
	if !b.leaving.Load() {
		return
	}
	rw.Header().Set(platform.HeaderServerLeaving, "1")
	if _, known := b.h.originOf(id, path); !known {
		return
	}
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	b.h.leavingAnswers[id] = append(b.h.leavingAnswers[id], b)
}

// recordPassedOn records that a VM has passed on an answer. If it can only be that of a
// server that said that it is leaving, the VM knows it from then on. The answer to a
// request that was sent to two servers may be that of the other one.
func (h *harness) recordPassedOn(id string) {
	h.mu.Lock()
	servers, runs, ip := h.leavingAnswers[id], h.executions[id], h.origins[id].ip
	h.mu.Unlock()
	if len(servers) != 1 || runs != 1 {
		return
	}
	b := servers[0]
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.hintsOf(ip); w.leavingAt.IsZero() || h.cluster.disturbedSince(ip, w.leavingAt) {
		w.leavingAt = time.Now()
	}
}

// askForPause turns a request away and asks for a pause.
func (b *backend) askForPause(rw http.ResponseWriter, id, path string) {
	if o, known := b.h.originOf(id, path); known {
		b.mu.Lock()
		if w := b.hintsOf(o.ip); time.Since(w.pausedAt) >= pauseDuration || b.h.cluster.disturbedSince(o.ip, w.pausedAt) {
			w.pausedAt, w.pauseArrivals = time.Now(), 0
		}
		b.mu.Unlock()
	}
	rw.Header().Set("Retry-After", strconv.FormatFloat(pauseDuration.Seconds(), 'f', -1, 64))
	b.shed(rw)
}
