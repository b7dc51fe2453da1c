package zinniatide

// CapacityAdmitter decides which requests run when the capacity of backend servers is
// short.
type CapacityAdmitter interface {
	// SetRouting replaces the routing table, which tells which routes share servers.
	SetRouting(routing *Routing)
	// Admit decides on a request.
	Admit(r CapacityRequest, now Millis) CapacityDecision
	// RecordPriority records that a request of a priority uses a service, although it is
	// not admitted here.
	RecordPriority(service ServiceID, priority int, now Millis)
	// LeavesHedges reports whether requests of a priority leave a scarce retry budget of a
	// service to more urgent requests.
	LeavesHedges(service ServiceID, priority int, now Millis) bool
}

// CapacityRequest describes a request that asks for capacity.
type CapacityRequest struct {
	Route *Route
	// Service is the service of a plain request.
	Service   ServiceID
	Workspace WorkspaceID
	Priority  int
}

// CapacityDecision is the decision on a request. Permit is set if it is admitted,
// otherwise Reason and RetryAfter.
type CapacityDecision struct {
	Permit     CapacityPermit
	Reason     string
	RetryAfter Millis
}

// CapacityPermit is the capacity that a request holds.
type CapacityPermit interface {
	// Observe records how the request ended. It is called at most once, and not if the
	// end says nothing about the load.
	Observe(result CapacityResult, now Millis)
	// End gives the capacity back. It is called once, after Observe.
	End()
}

// CapacityResult tells how a request ended with regard to the load.
type CapacityResult uint8

// Results of admitted requests.
const (
	CapacityInTime CapacityResult = iota
	CapacityLate
	// CapacityFailed means that the request was not answered.
	CapacityFailed
)
