package admitter

import (
	"testing"

	"zinniatide.example/zinniatide"
)

func serviceSetting() zinniatide.ServiceSetting {
	return zinniatide.ServiceSetting{
		Workspaces: map[zinniatide.WorkspaceID]zinniatide.WorkspaceSetting{"a": {Share: 3}, "b": {Share: 1}, "idle": {Share: 100}},
		Classes:    map[zinniatide.ClassID]zinniatide.ClassSetting{"fast": {Weight: 4}, "slow": {Weight: 1}, "idle": {Weight: 100}},
	}
}

// Guards against overload that reduces throughput, makes admitted requests miss
// their deadlines, or deprives a workspace or class of its share. Time is
// virtual and the random seed is fixed, but queues with the same virtual time
// are served in map order, so the results vary slightly between runs.
func TestOverload(t *testing.T) {
	tests := []struct {
		name          string
		vms           int
		workloads     func(capacity float64) []*workload
		want          []float64 // share of the completed requests per workload
		minThroughput float64   // as a fraction of the capacity
	}{
		{"below the capacity", 4, func(c float64) []*workload {
			return []*workload{{workspace: "b", class: "slow", perMilli: 0.7 * c, deadline: 200, vm: -1}}
		}, []float64{1}, 0.65},
		{"two workspaces at twice the capacity", 4, func(c float64) []*workload {
			return []*workload{{workspace: "a", class: "fast", perMilli: c, deadline: 200, vm: -1}, {workspace: "b", class: "fast", perMilli: c, deadline: 200, vm: -1}}
		}, []float64{0.75, 0.25}, 0.9},
		{"workspace below its share", 4, func(c float64) []*workload {
			return []*workload{{workspace: "a", class: "fast", perMilli: 0.3 * c, deadline: 200, vm: -1}, {workspace: "b", class: "fast", perMilli: 1.7 * c, deadline: 200, vm: -1}}
		}, []float64{0.3, 0.7}, 0.9},
		{"classes of one workspace", 4, func(c float64) []*workload {
			return []*workload{{workspace: "a", class: "fast", perMilli: c, deadline: 200, vm: -1}, {workspace: "a", class: "slow", perMilli: c, deadline: 200, vm: -1}}
		}, []float64{0.8, 0.2}, 0.9},
		{"all callers at one VM", 8, func(c float64) []*workload {
			return []*workload{{workspace: "a", class: "fast", perMilli: c, deadline: 200, vm: 0}, {workspace: "b", class: "fast", perMilli: c, deadline: 200, vm: 0}}
		}, []float64{0.75, 0.25}, 0.9},
		{"short deadlines", 4, func(c float64) []*workload {
			return []*workload{{workspace: "a", class: "fast", perMilli: c, deadline: 60, vm: -1}, {workspace: "b", class: "fast", perMilli: c, deadline: 60, vm: -1}}
		}, []float64{0.75, 0.25}, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(test.vms, 8, 4, serviceSetting())
			workloads := test.workloads(s.capacity())
			got := s.run(14e6, workloads...)
			t.Logf("completed %.0f%% of capacity, limits %.0f of %d slots", 100*got/s.capacity(), s.queues[0].limiter.limit, s.queues[0].limiter.slots)
			if got < test.minThroughput*s.capacity() {
				t.Errorf("completed %.3f per ms, want %g of %.3f", got, test.minThroughput, s.capacity())
			}
			if test.minThroughput < 0.9 && s.refused > 0 {
				t.Errorf("refused %d requests below the capacity", s.refused)
			}
			completed := 0
			for _, w := range workloads {
				completed += w.completed
			}
			for i, w := range workloads {
				p99 := w.durations[len(w.durations)*99/100]
				share := float64(w.completed) / float64(completed)
				t.Logf("%s %s: completed %d of %d, share %.3f, p99 %d ms of %d", w.workspace, w.class, w.completed, w.arrived, share, p99, w.deadline)
				if p99 > w.deadline {
					t.Errorf("%s %s: got p99 %d ms, want at most %d", w.workspace, w.class, p99, w.deadline)
				}
				if share < 0.9*test.want[i] {
					t.Errorf("%s %s: got share %.3f, want 90%% of %.3f", w.workspace, w.class, share, test.want[i])
				}
			}
		})
	}
}

// Guards against refusing every request that would have to wait after a stall. The
// drain rate is measured only while requests wait, so a low rate measured during a
// stall would never be updated.
func TestDrainRateRecoversAfterStall(t *testing.T) {
	c, s := DefaultConfig(), serviceSetting()
	q := newAdmissionQueue(&c)
	q.limiter.resize(&c, 10, 1)
	enqueue := func(now zinniatide.Millis) *trackedRequest {
		req := &trackedRequest{Request: Request{Service: "s", Workspace: "a", Class: "fast", Cost: 10, Deadline: now + 1000}}
		q.enqueue(now, req, &s)
		return req
	}
	first, second := enqueue(0), enqueue(1)
	q.release(300, first, 1)
	q.release(900, first, 1)
	if refused := enqueue(901); refused.state == stateWaiting {
		t.Fatal("a request may wait during the stall, so the test has no effect")
	}
	q.release(902, first, 8)
	q.release(903, second, 10)
	now := zinniatide.Millis(1000)
	for range 100 {
		req := enqueue(now)
		if req.state != stateAdmitted {
			t.Fatalf("got state %d of a request alone, want admitted", req.state)
		}
		now += 10
		q.release(now, req, 10)
	}
	enqueue(now)
	if req := enqueue(now); req.state != stateWaiting {
		t.Errorf("got state %d of a request that has to wait after the stall, want waiting", req.state)
	}
}

// Guards against a full queue that rejects a workspace below its share, and
// against a queue that grows without limit.
func TestFullQueueFavorsWorkspaceBelowShare(t *testing.T) {
	c := DefaultConfig()
	c.QueueLimit = 20
	q, s := newAdmissionQueue(&c), serviceSetting()
	q.limiter.resize(&c, 1, 1)
	enqueue := func(workspace zinniatide.WorkspaceID, n int) (requests []*trackedRequest) {
		for range n {
			req := &trackedRequest{Request: Request{Workspace: workspace, Class: "fast", Cost: 1, Deadline: 1000}}
			q.enqueue(1, req, &s)
			requests = append(requests, req)
		}
		return requests
	}
	a, b := enqueue("a", 40), enqueue("b", 40)
	count := func(requests []*trackedRequest, state requestState) (n int) {
		for _, req := range requests {
			if req.state == state {
				n++
			}
		}
		return n
	}
	if count(a, stateAdmitted) != 1 || count(a, stateWaiting) != 15 || count(b, stateWaiting) != 5 || q.waitingCount != 20 {
		t.Errorf("got %d admitted, %d and %d waiting, want 1, 15 and 5", count(a, stateAdmitted), count(a, stateWaiting), count(b, stateWaiting))
	}
	for _, req := range a { // all waiting requests are admitted eventually
		q.release(2, req, 1)
	}
	for range 20 {
		for _, req := range append(a, b...) {
			if req.state == stateAdmitted {
				q.release(3, req, 1)
			}
		}
	}
	if q.waitingCount != 0 || q.runningCost != 0 || count(a, stateAdmitted) != 16 || count(b, stateAdmitted) != 5 {
		t.Errorf("got %d waiting, %d running, %d and %d admitted, want 0, 0, 16 and 5", q.waitingCount, q.runningCost, count(a, stateAdmitted), count(b, stateAdmitted))
	}
}

// Guards against a request that waits although it cannot meet its deadline.
func TestEarlyRefusal(t *testing.T) {
	c := DefaultConfig()
	q, s := newAdmissionQueue(&c), serviceSetting()
	q.limiter.resize(&c, 1, 1)
	q.serviceTime = durationEstimator{mean: 10, deviation: 2}
	q.drainRate.perMilli = 0.1
	run := &trackedRequest{Request: Request{Workspace: "a", Class: "fast", Cost: 1, Deadline: 1000}}
	q.enqueue(1, run, &s)
	// A request needs 16 ms (10 + 3*2) and waits 10 ms for itself and for each one
	// ahead. The last one waits because 16 ms is below SlackBelow of its 70 ms.
	for _, test := range []struct {
		deadline zinniatide.Millis
		want     requestState
	}{{15, stateRefused}, {25, stateRefused}, {40, stateWaiting}, {40, stateWaiting}, {40, stateRefused}, {70, stateWaiting}} {
		req := &trackedRequest{Request: Request{Workspace: "a", Class: "fast", Cost: 1, Deadline: 1 + test.deadline}}
		if q.enqueue(1, req, &s); req.state != test.want {
			t.Errorf("deadline in %d ms: got state %d, want %d", test.deadline, req.state, test.want)
		}
	}
	q.release(30, run, 1)
	if q.waitingCount != 0 || q.runningCost != 1 {
		t.Errorf("got %d waiting, %d running, want the late ones refused and the last one running", q.waitingCount, q.runningCost)
	}
}

// Guards against a workspace or class that gets more than its share after it
// was idle, or less than its share after it was busy.
func TestIdleTimeIsNotCredited(t *testing.T) {
	c := DefaultConfig()
	q, s := newAdmissionQueue(&c), serviceSetting()
	q.limiter.resize(&c, 1, 1)
	served := map[zinniatide.WorkspaceID]map[zinniatide.ClassID]int{"a": {}, "b": {}}
	var running *trackedRequest
	enqueue := func(workspace zinniatide.WorkspaceID, class zinniatide.ClassID, n int) {
		for range n {
			req := &trackedRequest{Request: Request{Workspace: workspace, Class: class, Cost: 1, Deadline: 1000}}
			req.onDecided = func() { served[workspace][class]++; running = req }
			if q.enqueue(1, req, &s); req.state == stateAdmitted {
				running = req
			}
		}
	}
	finish := func(n int) {
		for range n {
			q.release(1, running, 1)
		}
	}
	enqueue("b", "slow", 300)
	finish(200)
	enqueue("a", "slow", 100)
	finish(40)
	if got := served["a"]["slow"]; got < 29 || got > 31 {
		t.Errorf("got %d of 40 for the workspace that was idle, want 30", got)
	}
	enqueue("a", "fast", 100)
	before := served["a"]["slow"]
	finish(40)
	if got := served["a"]["fast"]; got < 23 || got > 25 || served["a"]["slow"]-before < 5 {
		t.Errorf("got %d fast and %d slow of 40, want 24 and 6", got, served["a"]["slow"]-before)
	}
}

// Guards against a limit that ignores the server queues, or that grows while no
// request waits.
func TestLimitFollowsQueues(t *testing.T) {
	c := DefaultConfig()
	tests := []struct {
		name             string
		queued, shed     int // queue of a server with 2 busy slots; refusals per 100 results
		saturated        bool
		least, most, end float64 // least and most limit after 1 interval; limit after 200
		deadlineUsage    float64 // fraction of the deadline used; 0 means unknown
	}{
		{"long queues", 6, 0, true, 7, 9.1, 5, 0},
		{"long queues, tight deadlines", 6, 0, true, 7, 9.1, 5, 0.6},
		{"long queues, deadlines with slack", 6, 0, true, 10.9, 11.1, 400, 0.1},
		{"long queues, deadlines neither tight nor with slack", 6, 0, true, 10, 10, 10, 0.4},
		{"queues in range, deadlines not tight", 3, 0, true, 10.4, 10.6, 400, 0.4},
		{"shedding", 0, 3, true, 7, 9.1, 5, 0},
		{"shedding, deadlines with slack", 0, 3, true, 7, 9.1, 5, 0.1},
		{"short queues, requests wait", 0, 0, true, 10.4, 10.6, 400, 0},
		{"short queues, no request waits", 0, 0, false, 10, 10, 10, 0},
		{"deadlines with slack, no request waits", 0, 0, false, 10, 10, 10, 0.1},
		{"queues in range", 1, 0, true, 10, 10, 10, 0},
	}
	for _, test := range tests {
		var l limiter
		l.resize(&c, 100, 10)
		l.deadlineUsage = test.deadlineUsage
		for i := range 200 {
			for n := range 100 {
				l.observe(2, uint16(test.queued), n < test.shed)
			}
			l.saturated = test.saturated
			l.adjust(&c, zinniatide.Millis(100*(i+1)))
			if i == 0 && (l.limit < test.least || l.limit > test.most) {
				t.Errorf("%s: got limit %g after one interval, want %g to %g", test.name, l.limit, test.least, test.most)
			}
		}
		if l.limit != test.end {
			t.Errorf("%s: got limit %g after 200 intervals, want %g", test.name, l.limit, test.end)
		}
	}
}
