package admitter

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
)

// micros is virtual time: the gates see milliseconds, the servers need finer steps.
type micros int64

func (m micros) millis() zinniatide.Millis { return zinniatide.Millis(m / 1000) }

type simEvent struct {
	at micros
	do func(now micros)
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// flow is the load of one tenant and class.
type flow struct {
	tenant   zinniatide.TenantID
	class    zinniatide.ClassID
	perMilli float64
	deadline zinniatide.Millis
	vm       int // -1 spreads over all VMs

	arrived, completed int
	took               []zinniatide.Millis
}

// server is one backend server with a queue at its owner.
type server struct {
	busy  int
	queue []func(now micros)
}

// simulation runs gates of several VMs against servers that each hold one
// shard, with 2 slots.
type simulation struct {
	gates   []*gate
	shards  [][]server
	setting zinniatide.ServiceSetting
	random  *rand.Rand
	events  simQueue
	refused int
	now     micros
	warm    micros // results before are not counted
	service micros // mean time of service
}

func newSimulation(vms, shards, replicas int, setting zinniatide.ServiceSetting) *simulation {
	s := &simulation{setting: setting, random: rand.New(rand.NewPCG(5, 6)), service: 8000, warm: 6e6}
	c := DefaultConfig()
	for range vms {
		g := newGate(&c)
		g.limiter.resize(&c, shards*replicas*2, vms)
		s.gates = append(s.gates, g)
	}
	for range shards {
		s.shards = append(s.shards, make([]server, replicas))
	}
	return s
}

// capacity returns the queries per millisecond that the servers can bear.
func (s *simulation) capacity() float64 {
	return float64(len(s.shards[0])*2) / (float64(s.service) / 1000)
}

func (s *simulation) at(t micros, do func(now micros)) { heap.Push(&s.events, simEvent{t, do}) }

func (s *simulation) arrivals(f *flow) func(now micros) {
	var arrive func(now micros)
	arrive = func(now micros) {
		s.at(now+1+micros(s.random.ExpFloat64()*1000/f.perMilli), arrive)
		vm := f.vm
		if vm < 0 {
			vm = s.random.IntN(len(s.gates))
		}
		s.arrive(now, vm, f)
	}
	return arrive
}

func (s *simulation) arrive(now micros, vm int, f *flow) {
	if now >= s.warm {
		f.arrived++
	}
	g := s.gates[vm]
	g.limiter.adjust(g.config, now.millis())
	arrived := now
	it := &item{Request: Request{Service: "s", Tenant: f.tenant, Class: f.class, Cost: len(s.shards), Deadline: now.millis() + f.deadline}}
	g.arrive(now.millis(), it, &s.setting)
	if it.state != waiting {
		s.follow(now, g, it, f, arrived)
		return
	}
	it.ended = func() { s.at(s.now, func(now micros) { s.follow(now, g, it, f, arrived) }) }
	patience := it.Deadline - now.millis() - zinniatide.Millis(g.service.high())
	s.at(now+micros(patience)*1000, func(now micros) { g.expire(now.millis(), it) })
}

// follow starts the request when it was admitted.
func (s *simulation) follow(now micros, g *gate, it *item, f *flow, arrived micros) {
	switch it.state {
	case refused:
		s.refused++
	case admitted:
		for shard := range s.shards {
			s.sub(now+500, shard, func(now micros) {
				g.release(now.millis(), it, 1)
				if it.left == 0 && now >= s.warm {
					f.completed++
					f.took = append(f.took, (now - arrived).millis())
				}
			}, g)
		}
	}
}

// sub runs a sub-request on the less loaded replica of a shard. The way to the
// owner and back takes 0.5 ms each.
func (s *simulation) sub(at micros, shard int, done func(now micros), g *gate) {
	s.at(at, func(now micros) {
		best := &s.shards[shard][0]
		for i := range s.shards[shard] {
			if r := &s.shards[shard][i]; r.busy+len(r.queue) < best.busy+len(best.queue) {
				best = r
			}
		}
		start := func(now micros) {
			best.busy++
			s.at(now+s.service/2+micros(s.random.Int64N(int64(s.service))), func(now micros) {
				g.limiter.observe(uint16(best.busy), uint16(len(best.queue)), false)
				best.busy--
				if len(best.queue) > 0 {
					next := best.queue[0]
					best.queue = best.queue[1:]
					next(now)
				}
				s.at(now+500, done)
			})
		}
		if best.busy < 2 {
			start(now)
			return
		}
		best.queue = append(best.queue, start)
	})
}

// run simulates until the given time and returns the completed queries per
// millisecond after the warm-up.
func (s *simulation) run(until micros, flows ...*flow) float64 {
	for _, f := range flows {
		s.at(0, s.arrivals(f))
	}
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do(e.at)
	}
	completed := 0
	for _, f := range flows {
		completed += f.completed
		slices.Sort(f.took)
	}
	return float64(completed) / (float64(until-s.warm) / 1000)
}
