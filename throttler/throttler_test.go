package throttler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"zinniatide.example/zinniatide"
)

// gate decides whether one VM may send to one server. Its implementations are the
// Throttler and the baselines that it is compared with.
type gate interface {
	begin(at zinniatide.Millis)
	maySend(now zinniatide.Millis, inFlight int, latency float64) bool
	active() bool
	recordSend(now zinniatide.Millis)
	recordAnswer(a Answer)
	recordTrouble(sentAt, now zinniatide.Millis)
}

type paced struct{ Throttler }

func (p *paced) begin(at zinniatide.Millis) { p.Begin(at, CauseNew) }
func (p *paced) maySend(now zinniatide.Millis, n int, latency float64) bool {
	return p.MaySend(now, n, latency)
}
func (p *paced) active() bool                                { return p.Active() }
func (p *paced) recordSend(now zinniatide.Millis)            { p.RecordSend(now) }
func (p *paced) recordAnswer(a Answer)                       { p.RecordAnswer(a) }
func (p *paced) recordTrouble(sentAt, now zinniatide.Millis) { p.RecordTrouble(sentAt, now) }

// unpaced sends whenever asked.
type unpaced struct{}

func (unpaced) begin(zinniatide.Millis)                            {}
func (unpaced) maySend(zinniatide.Millis, int, float64) bool       { return true }
func (unpaced) active() bool                                       { return false }
func (unpaced) recordSend(zinniatide.Millis)                       {}
func (unpaced) recordAnswer(Answer)                                {}
func (unpaced) recordTrouble(zinniatide.Millis, zinniatide.Millis) {}

// ramped is the rule before the Throttler: one request in flight for each VM, and one
// more in each 250 ms, for 2 s.
type ramped struct {
	unpaced
	at    zinniatide.Millis
	begun bool
}

func (r *ramped) begin(at zinniatide.Millis) { r.at, r.begun = at, true }
func (r *ramped) maySend(now zinniatide.Millis, n int, _ float64) bool {
	since := now - r.at
	return !r.begun || since >= 2000 || n < 1+int(since/250)
}

// gradient limits by the latency alone: with each answer, the share moves to its product
// with the latency of the peers relative to that of the server, plus a headroom.
type gradient struct{ paced }

func (g *gradient) recordAnswer(a Answer) {
	const smoothing, headroom = 0.2, 0.5
	if !g.Throttler.active || a.SentAt < g.beganAt {
		return
	}
	g.ratio += ratioWeight * (min(a.Latency/a.PeerLatency, maxRatio) - g.ratio)
	next := g.share*min(max(1/g.ratio, 0.5), 1) + headroom
	g.share += smoothing * (next - g.share)
	g.Throttler.active = g.share < fullShare
}

func (*gradient) recordTrouble(zinniatide.Millis, zinniatide.Millis) {}

// backend is a simulated server with slots, a bounded queue and a work time.
type backend struct {
	slots, queueLimit int
	// work returns the work time at a time with a number of running requests.
	work    func(now zinniatide.Millis, running int) float64
	running int
	waiting []*job
	// arrivals are the times of the requests, peak the most that ran and waited.
	arrivals []zinniatide.Millis
	peak     int
	sheds    int
}

type job struct {
	vm     int
	server int
	sentAt zinniatide.Millis
	born   zinniatide.Millis
	tried  []int // servers
}

// maxSheds is the number of servers that may refuse a request, as in the relayer.
const maxSheds = 3

// yieldFactor is the ratio of scores above which a pace yields, as in selector.
const yieldFactor = 3

// load is a load on several VMs and servers. The first returning servers have returned
// at time 0.
type load struct {
	vms       int
	perSecond float64
	servers   []*backend
	returning int
	duration  zinniatide.Millis
	deadline  zinniatide.Millis
	// backlog is the number of requests that arrive at time 0.
	backlog int
	seed    uint64
}

// result is what came of a load.
type result struct {
	// atReturning are the requests at the returning servers in the first 300 ms and in
	// all, peak the most of them at one of these servers.
	early, atReturning, peak int
	sheds                    int
	mean, p99                float64
	// late requests missed the deadline, failed ones were refused by all servers tried.
	late, failed, sent int
}

func (r result) String() string {
	return fmt.Sprintf("first 300 ms %d, total %d, peak %d, sheds %d, mean %.1f ms, p99 %.0f ms, late %d, failed %d of %d",
		r.early, r.atReturning, r.peak, r.sheds, r.mean, r.p99, r.late, r.failed, r.sent)
}

const usualLatency = 10.0

// run runs a load with a gate of each VM for each server. A VM knows of the servers
// only what its own answers tell.
func (l *load) run(newGate func(f Fleet) gate) result {
	random := rand.New(rand.NewPCG(7, l.seed))   //nolint:gosec // fixed seed
	arrivals := rand.New(rand.NewPCG(8, l.seed)) //nolint:gosec // fixed seed
	type view struct {
		gate     gate
		inFlight int
		latency  float64
		queue    float64
	}
	views := make([][]view, l.vms)
	for vm := range views {
		views[vm] = make([]view, len(l.servers))
		for i, s := range l.servers {
			views[vm][i] = view{gate: newGate(Fleet{VMs: l.vms, Phase: float64(vm) / float64(l.vms), Slots: s.slots}), latency: usualLatency}
			if i < l.returning {
				views[vm][i].gate.begin(0)
			}
		}
	}
	var r result
	var latencies []float64
	ends := map[zinniatide.Millis][]*job{}
	start := func(s *backend, j *job, now zinniatide.Millis) {
		s.running++
		end := now + max(zinniatide.Millis(math.Round(s.work(now, s.running)*(0.7+0.6*random.Float64()))), 1)
		ends[end] = append(ends[end], j)
	}
	var send func(j *job, now zinniatide.Millis)
	send = func(j *job, now zinniatide.Millis) {
		best, forced := -1, -1
		load := func(i int) float64 {
			v := &views[j.vm][i]
			return (float64(v.inFlight) + v.queue) / float64(l.servers[i].slots)
		}
		score := func(i int) float64 {
			return views[j.vm][i].latency * (1 + load(i)) * (1 + 0.1*random.Float64())
		}
		bestScore, forcedScore, forcedLoad := 0.0, 0.0, 0.0
		ignored := len(j.tried) >= maxSheds-1 // as selector.Options.LastAttempt
		for i := range l.servers {
			if slices.Contains(j.tried, i) {
				continue
			}
			sc := score(i)
			if ignored || views[j.vm][i].gate.maySend(now, views[j.vm][i].inFlight, usualLatency) {
				if best < 0 || sc < bestScore {
					best, bestScore = i, sc
				}
			} else if forced < 0 || load(i) < forcedLoad || load(i) == forcedLoad && sc < forcedScore {
				forced, forcedScore, forcedLoad = i, sc, load(i)
			}
		}
		if best < 0 || forced >= 0 && bestScore > yieldFactor*forcedScore {
			best = forced
		}
		if best < 0 || len(j.tried) == maxSheds {
			r.failed++
			return
		}
		v, s := &views[j.vm][best], l.servers[best]
		j.server, j.sentAt = best, now
		j.tried = append(j.tried, best)
		v.gate.recordSend(now)
		v.inFlight++
		if best < l.returning {
			s.arrivals = append(s.arrivals, now)
		}
		if s.running >= s.slots && len(s.waiting) >= s.queueLimit {
			v.inFlight--
			s.sheds++
			v.queue = float64(len(s.waiting))
			v.gate.recordTrouble(now, now)
			send(j, now)
			return
		}
		if s.running >= s.slots {
			s.waiting = append(s.waiting, j)
		} else {
			start(s, j, now)
		}
		s.peak = max(s.peak, s.running+len(s.waiting))
	}
	next := 0.0
	for now := zinniatide.Millis(0); now < l.duration+2000; now++ {
		for _, j := range ends[now] {
			v, s := &views[j.vm][j.server], l.servers[j.server]
			s.running--
			if len(s.waiting) > 0 {
				first := s.waiting[0]
				s.waiting = s.waiting[1:]
				start(s, first, now)
			}
			took := float64(now - j.sentAt)
			v.inFlight--
			v.latency += 0.125 * (took - v.latency)
			v.queue = float64(len(s.waiting))
			peerQueue, peers := 0.0, 0
			peerLatency := 0.0
			for i := range l.servers {
				if i >= l.returning {
					peerQueue += views[j.vm][i].queue
					peerLatency += views[j.vm][i].latency
					peers++
				}
			}
			if peers > 0 {
				peerQueue, peerLatency = peerQueue/float64(peers), peerLatency/float64(peers)
			} else {
				peerLatency = usualLatency // as before the return
			}
			v.gate.recordAnswer(Answer{SentAt: j.sentAt, Now: now, Latency: took, PeerLatency: peerLatency, Queue: v.queue, PeerQueue: peerQueue})
			total := float64(now - j.born)
			latencies = append(latencies, total)
			if total > float64(l.deadline) {
				r.late++
			}
		}
		delete(ends, now)
		for now == 0 && r.sent < l.backlog {
			r.sent++
			send(&job{vm: arrivals.IntN(l.vms), born: now}, now)
		}
		for ; next <= float64(now) && now < l.duration; next += 1000 / l.perSecond * arrivals.ExpFloat64() {
			r.sent++
			send(&job{vm: arrivals.IntN(l.vms), born: now}, now)
		}
	}
	for i, s := range l.servers {
		r.sheds += s.sheds
		if i < l.returning {
			r.atReturning += len(s.arrivals)
			r.peak = max(r.peak, s.peak)
			for _, at := range s.arrivals {
				if at < 300 {
					r.early++
				}
			}
		}
	}
	slices.Sort(latencies)
	for _, l := range latencies {
		r.mean += l / float64(len(latencies))
	}
	r.p99 = latencies[len(latencies)*99/100]
	return r
}

// seeds is the number of runs that are added up for each result.
const seeds = 40

// runSeeds adds up the results of a load with several seeds.
func runSeeds(newLoad func() *load, newGate func(f Fleet) gate) (sum result) {
	for seed := range uint64(seeds) {
		l := newLoad()
		l.seed = seed
		r := l.run(newGate)
		sum.early += r.early
		sum.atReturning += r.atReturning
		sum.peak = max(sum.peak, r.peak)
		sum.sheds += r.sheds
		sum.mean += r.mean / seeds
		sum.p99 += r.p99 / seeds
		sum.late += r.late
		sum.failed += r.failed
		sum.sent += r.sent
	}
	return sum
}

// compare runs a load with the Throttler, the two baselines and the gradient of latency,
// and logs the results.
func compare(t *testing.T, newLoad func() *load) (throttled, ramp, none result) {
	t.Helper()
	throttled = runSeeds(newLoad, func(f Fleet) gate {
		p := &paced{}
		p.SetFleet(f)
		return p
	})
	ramp = runSeeds(newLoad, func(Fleet) gate { return &ramped{} })
	none = runSeeds(newLoad, func(Fleet) gate { return unpaced{} })
	byGradient := runSeeds(newLoad, func(f Fleet) gate {
		g := &gradient{}
		g.SetFleet(f)
		return g
	})
	t.Logf("throttler:  %v", throttled)
	t.Logf("gradient:   %v", byGradient)
	t.Logf("fixed ramp: %v", ramp)
	t.Logf("no pace:    %v", none)
	return throttled, ramp, none
}

// constant is a work time that depends on nothing.
func constant(ms float64) func(zinniatide.Millis, int) float64 {
	return func(zinniatide.Millis, int) float64 { return ms }
}

// fleet returns n servers of 8 slots, of which the first returning ones have the given
// work time.
func fleet(n, returning int, work func(zinniatide.Millis, int) float64) []*backend {
	out := make([]*backend, n)
	for i := range out {
		out[i] = &backend{slots: 8, queueLimit: 16, work: constant(usualLatency)}
		if i < returning {
			out[i].work = work
		}
	}
	return out
}

// contended is the work time of a server that gets slower with each request that runs,
// until it has warmed up.
func contended(until zinniatide.Millis) func(zinniatide.Millis, int) float64 {
	return func(now zinniatide.Millis, running int) float64 {
		if now >= until {
			return usualLatency
		}
		return usualLatency * max(1, float64(running)/2)
	}
}
