package admitter

import (
	"math"

	"zinniatide.example/zinniatide"
)

// requestState is the state of a request for admission.
type requestState uint8

const (
	stateWaiting requestState = iota
	stateAdmitted
	stateRefused
)

// trackedRequest is a request that is waiting or was admitted or refused.
type trackedRequest struct {
	Request
	state      requestState
	sequence   uint64 // order of arrival in the queue
	admittedAt zinniatide.Millis
	unreleased int // part of Cost that is still in flight
	class      *classQueue
	onDecided  func() // called once the state is no longer waiting
}

// classQueue holds the waiting requests of one class of one workspace.
type classQueue struct {
	workspace *workspaceQueue
	weight    float64
	// virtualTime is the work admitted for the class, divided by its weight.
	virtualTime float64
	requests    []*trackedRequest
	waitingCost int
}

// workspaceQueue holds the waiting requests of one workspace.
type workspaceQueue struct {
	share            float64
	virtualTime      float64
	classVirtualTime float64 // among the classes, at the last admission
	classes          map[zinniatide.ClassID]*classQueue
	waitingCount     int
	waitingCost      int
}

// admissionQueue admits the requests of one service. It reads no clock and is not
// safe for concurrent use: the caller passes the time and holds a lock.
//
// Workspaces, and the classes of a workspace, are scheduled by start-time fair
// queueing: the backlogged queue with the least admitted work per share is
// next. A queue that becomes backlogged starts at the virtual time of the last
// admitted request, so that idle workspaces gain no credit and reserve no
// capacity.
type admissionQueue struct {
	config       *Config
	limiter      limiter
	workspaces   map[zinniatide.WorkspaceID]*workspaceQueue
	virtualTime  float64 // among the workspaces, at the last admission
	waitingCount int
	lastSequence uint64
	runningCost  int // sub-requests in flight
	// The estimates are used to refuse requests that would miss their deadline.
	drainRate   rateEstimator     // cost released per millisecond
	serviceTime durationEstimator // from admission to the end
	allowedTime durationEstimator // from arrival to the deadline
}

func newAdmissionQueue(c *Config) *admissionQueue {
	return &admissionQueue{config: c, workspaces: make(map[zinniatide.WorkspaceID]*workspaceQueue)}
}

// classFor returns the queue of the request's workspace and class, with the
// share and weight of setting.
func (q *admissionQueue) classFor(r *Request, setting *zinniatide.ServiceSetting) *classQueue {
	t := q.workspaces[r.Workspace]
	if t == nil {
		t = &workspaceQueue{classes: make(map[zinniatide.ClassID]*classQueue)}
		q.workspaces[r.Workspace] = t
	}
	t.share = float64(max(setting.Workspaces[r.Workspace].Share, 1))
	c := t.classes[r.Class]
	if c == nil {
		c = &classQueue{workspace: t}
		t.classes[r.Class] = c
	}
	c.weight = float64(max(setting.Classes[r.Class].Weight, 1))
	return c
}

// enqueue admits, queues or refuses a request and sets its state.
func (q *admissionQueue) enqueue(now zinniatide.Millis, req *trackedRequest, setting *zinniatide.ServiceSetting) {
	c := q.classFor(&req.Request, setting)
	q.lastSequence++
	req.class, req.sequence = c, q.lastSequence
	q.allowedTime.observe(float64(req.Deadline - now))
	q.limiter.meanCost += sampleWeight * (float64(req.Cost) - q.limiter.meanCost)
	q.limiter.deadlineUsage = q.serviceTime.upperBound() / max(q.allowedTime.mean, 1)
	if c.workspace.waitingCount == 0 {
		c.workspace.virtualTime = max(c.workspace.virtualTime, q.virtualTime)
	}
	if len(c.requests) == 0 {
		c.virtualTime = max(c.virtualTime, c.workspace.classVirtualTime)
	}
	if q.waitingCount == 0 && q.fitsLimit(req) {
		q.admit(now, req)
		return
	}
	q.limiter.saturated = true
	if q.wouldMissDeadline(now, req) || !q.makeRoom(c) {
		req.state = stateRefused
		return
	}
	c.requests = append(c.requests, req)
	q.addWaiting(c, 1, req.Cost)
	q.admitWaiting(now)
}

func (q *admissionQueue) addWaiting(class *classQueue, count, cost int) {
	q.waitingCount += count
	class.waitingCost += cost
	class.workspace.waitingCount += count
	class.workspace.waitingCost += cost
}

// fitsLimit reports whether a request may start. A request may always start when
// nothing is running, even if its cost exceeds the limit.
func (q *admissionQueue) fitsLimit(req *trackedRequest) bool {
	return q.runningCost == 0 || float64(q.runningCost+req.Cost) <= q.limiter.limit
}

// admit marks a request as running and charges its cost to its workspace and
// class.
func (q *admissionQueue) admit(now zinniatide.Millis, req *trackedRequest) {
	c, t := req.class, req.class.workspace
	q.virtualTime = t.virtualTime
	t.virtualTime += float64(req.Cost) / t.share
	t.classVirtualTime = c.virtualTime
	c.virtualTime += float64(req.Cost) / c.weight
	req.state, req.admittedAt, req.unreleased = stateAdmitted, now, req.Cost
	q.runningCost += req.Cost
}

// wouldMissDeadline reports whether the request would probably not end before its
// deadline. The work ahead of it drains at the share of the drain rate that its
// queue gets among the queues that are currently backlogged.
func (q *admissionQueue) wouldMissDeadline(now zinniatide.Millis, req *trackedRequest) bool {
	remaining := float64(req.Deadline - now)
	maxWait := remaining - q.serviceTime.upperBound()
	if maxWait <= 0 {
		return true
	}
	perMilli := q.drainRate.current(now)
	if perMilli <= 0 {
		return false
	}
	if serviceTime := q.serviceTime.upperBound(); serviceTime > 0 && serviceTime < q.config.SlackBelow*remaining {
		return false // the limit is still growing, so the servers could drain faster
	}
	c := req.class
	totalShare := c.workspace.share
	for _, t := range q.workspaces {
		if t != c.workspace && t.waitingCount > 0 {
			totalShare += t.share
		}
	}
	totalWeight := c.weight
	for _, other := range c.workspace.classes {
		if other != c && len(other.requests) > 0 {
			totalWeight += other.weight
		}
	}
	share := c.workspace.share / totalShare * c.weight / totalWeight
	return float64(c.waitingCost+req.Cost)/(perMilli*share) > maxWait
}

// makeRoom reports whether one more request of class c may wait. When the queue
// is full, it refuses the newest request of the workspace with the most waiting
// requests per share, unless the workspace of c would then have more. Of that
// workspace it takes the class with the most waiting requests per weight.
func (q *admissionQueue) makeRoom(c *classQueue) bool {
	if q.waitingCount < q.config.QueueLimit {
		return true
	}
	heaviest := c.workspace
	for _, t := range q.workspaces {
		if float64(t.waitingCount)/t.share > float64(heaviest.waitingCount)/heaviest.share {
			heaviest = t
		}
	}
	if heaviest == c.workspace || float64(c.workspace.waitingCount+1)/c.workspace.share > float64(heaviest.waitingCount)/heaviest.share {
		return false
	}
	var longest *classQueue
	for _, candidate := range heaviest.classes {
		if longest == nil || float64(len(candidate.requests))/candidate.weight > float64(len(longest.requests))/longest.weight {
			longest = candidate
		}
	}
	last := longest.requests[len(longest.requests)-1]
	longest.requests = longest.requests[:len(longest.requests)-1]
	q.refuseWaiting(last)
	return true
}

// refuseWaiting refuses a request that was already removed from its queue.
func (q *admissionQueue) refuseWaiting(req *trackedRequest) {
	req.state = stateRefused
	q.addWaiting(req.class, -1, -req.Cost)
	if req.onDecided != nil {
		req.onDecided()
	}
}

// admitWaiting admits waiting requests while they fit the limit.
func (q *admissionQueue) admitWaiting(now zinniatide.Millis) {
	for q.waitingCount > 0 {
		c := q.nextQueue()
		req := c.requests[0]
		// Refuse a request that can no longer end before its deadline.
		tooLate := float64(req.Deadline-now) < q.serviceTime.upperBound()
		if !tooLate && !q.fitsLimit(req) {
			return
		}
		c.requests[0] = nil
		c.requests = c.requests[1:]
		if tooLate {
			q.refuseWaiting(req)
			continue
		}
		q.addWaiting(c, -1, -req.Cost)
		q.admit(now, req)
		if req.onDecided != nil {
			req.onDecided()
		}
	}
}

// nextQueue returns the backlogged queue to serve next. At least one request must
// be waiting. Of queues with the same virtual time, the one whose first request
// has waited longest is next.
func (q *admissionQueue) nextQueue() *classQueue {
	var workspace *workspaceQueue
	var workspaceFirst uint64
	for _, t := range q.workspaces {
		if t.waitingCount == 0 {
			continue
		}
		first := t.firstSequence()
		if workspace == nil || t.virtualTime < workspace.virtualTime || t.virtualTime == workspace.virtualTime && first < workspaceFirst {
			workspace, workspaceFirst = t, first
		}
	}
	var class *classQueue
	for _, c := range workspace.classes {
		if len(c.requests) == 0 {
			continue
		}
		if class == nil || c.virtualTime < class.virtualTime ||
			c.virtualTime == class.virtualTime && c.requests[0].sequence < class.requests[0].sequence {
			class = c
		}
	}
	return class
}

// firstSequence returns the sequence number of the request that has waited longest.
func (t *workspaceQueue) firstSequence() uint64 {
	first := uint64(math.MaxUint64)
	for _, c := range t.classes {
		if len(c.requests) > 0 {
			first = min(first, c.requests[0].sequence)
		}
	}
	return first
}

// expire refuses a request if it is still waiting.
func (q *admissionQueue) expire(now zinniatide.Millis, req *trackedRequest) {
	if req.state != stateWaiting {
		return
	}
	c := req.class
	for i := range c.requests {
		if c.requests[i] == req {
			c.requests = append(c.requests[:i], c.requests[i+1:]...)
			break
		}
	}
	q.refuseWaiting(req)
	q.admitWaiting(now)
}

// release releases part of the cost of an admitted request. The request has ended
// when all of its cost is released.
func (q *admissionQueue) release(now zinniatide.Millis, req *trackedRequest, cost int) {
	cost = min(cost, req.unreleased)
	if cost <= 0 {
		return
	}
	req.unreleased -= cost
	q.runningCost -= cost
	q.drainRate.observe(now, cost, q.waitingCount > 0)
	if req.unreleased == 0 {
		q.serviceTime.observe(float64(now - req.admittedAt))
	}
	q.admitWaiting(now)
}
