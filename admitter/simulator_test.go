package admitter

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"zinniatide.example/zinniatide"
)

// microseconds is virtual time. Queues use milliseconds, but the simulated servers
// need a higher resolution.
type microseconds int64

func (m microseconds) millis() zinniatide.Millis { return zinniatide.Millis(m / 1000) }

type simEvent struct {
	at     microseconds
	handle func(now microseconds)
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

// workload is the load of one workspace and class.
type workload struct {
	workspace zinniatide.WorkspaceID
	class     zinniatide.ClassID
	perMilli  float64
	deadline  zinniatide.Millis
	vm        int // -1 spreads over all VMs

	arrived, completed int
	durations          []zinniatide.Millis
}

// simServer is a backend server with a queue at its owner.
type simServer struct {
	busy  int
	queue []func(now microseconds)
}

// simulation runs the admission queues of several VMs against servers that each
// have one shard and 2 slots.
type simulation struct {
	queues          []*admissionQueue
	shards          [][]simServer
	setting         zinniatide.ServiceSetting
	random          *rand.Rand
	events          simQueue
	refused         int
	now             microseconds
	warmupEnd       microseconds // earlier results are not counted
	meanServiceTime microseconds
}

func newSimulation(vms, shards, replicas int, setting zinniatide.ServiceSetting) *simulation {
	s := &simulation{setting: setting, random: rand.New(rand.NewPCG(5, 6)), meanServiceTime: 8000, warmupEnd: 6e6}
	c := DefaultConfig()
	for range vms {
		q := newAdmissionQueue(&c)
		q.limiter.resize(&c, shards*replicas*2, vms)
		s.queues = append(s.queues, q)
	}
	for range shards {
		s.shards = append(s.shards, make([]simServer, replicas))
	}
	return s
}

// capacity returns the requests per millisecond that the servers can complete.
func (s *simulation) capacity() float64 {
	return float64(len(s.shards[0])*2) / (float64(s.meanServiceTime) / 1000)
}

func (s *simulation) schedule(t microseconds, handle func(now microseconds)) {
	heap.Push(&s.events, simEvent{t, handle})
}

func (s *simulation) generateRequests(w *workload) func(now microseconds) {
	var generate func(now microseconds)
	generate = func(now microseconds) {
		s.schedule(now+1+microseconds(s.random.ExpFloat64()*1000/w.perMilli), generate)
		vm := w.vm
		if vm < 0 {
			vm = s.random.IntN(len(s.queues))
		}
		s.submit(now, vm, w)
	}
	return generate
}

func (s *simulation) submit(now microseconds, vm int, w *workload) {
	if now >= s.warmupEnd {
		w.arrived++
	}
	q := s.queues[vm]
	q.limiter.adjust(q.config, now.millis())
	arrived := now
	req := &trackedRequest{Request: Request{Service: "s", Workspace: w.workspace, Class: w.class, Cost: len(s.shards), Deadline: now.millis() + w.deadline}}
	q.enqueue(now.millis(), req, &s.setting)
	if req.state != stateWaiting {
		s.startIfAdmitted(now, q, req, w, arrived)
		return
	}
	req.onDecided = func() { s.schedule(s.now, func(now microseconds) { s.startIfAdmitted(now, q, req, w, arrived) }) }
	timeout := req.Deadline - now.millis() - zinniatide.Millis(q.serviceTime.upperBound())
	s.schedule(now+microseconds(timeout)*1000, func(now microseconds) { q.expire(now.millis(), req) })
}

// startIfAdmitted sends the sub-requests of an admitted request.
func (s *simulation) startIfAdmitted(now microseconds, q *admissionQueue, req *trackedRequest, w *workload, arrived microseconds) {
	switch req.state {
	case stateRefused:
		s.refused++
	case stateAdmitted:
		for shard := range s.shards {
			s.sendSubRequest(now+500, shard, func(now microseconds) {
				q.release(now.millis(), req, 1)
				if req.unreleased == 0 && now >= s.warmupEnd {
					w.completed++
					w.durations = append(w.durations, (now - arrived).millis())
				}
			}, q)
		}
	}
}

// sendSubRequest runs a sub-request on the least loaded replica of a shard. The
// network delay to the owner and back is 0.5 ms each way.
func (s *simulation) sendSubRequest(at microseconds, shard int, done func(now microseconds), q *admissionQueue) {
	s.schedule(at, func(now microseconds) {
		server := &s.shards[shard][0]
		for i := range s.shards[shard] {
			if r := &s.shards[shard][i]; r.busy+len(r.queue) < server.busy+len(server.queue) {
				server = r
			}
		}
		start := func(now microseconds) {
			server.busy++
			s.schedule(now+s.meanServiceTime/2+microseconds(s.random.Int64N(int64(s.meanServiceTime))), func(now microseconds) {
				q.limiter.observe(uint16(server.busy), uint16(len(server.queue)), false)
				server.busy--
				if len(server.queue) > 0 {
					next := server.queue[0]
					server.queue = server.queue[1:]
					next(now)
				}
				s.schedule(now+500, done)
			})
		}
		if server.busy < 2 {
			start(now)
			return
		}
		server.queue = append(server.queue, start)
	})
}

// run simulates until the given time and returns the completed requests per
// millisecond after the warm-up.
func (s *simulation) run(until microseconds, workloads ...*workload) float64 {
	for _, w := range workloads {
		s.schedule(0, s.generateRequests(w))
	}
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.handle(e.at)
	}
	completed := 0
	for _, w := range workloads {
		completed += w.completed
		slices.Sort(w.durations)
	}
	return float64(completed) / (float64(until-s.warmupEnd) / 1000)
}
