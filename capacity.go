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

// CapacityPermit is the capacity that a request holds. Exactly one of its methods is
// called, once.
type CapacityPermit interface {
	// Release ends a request. late tells whether it ended late or failed because of
	// load.
	Release(late bool, now Millis)
	// Cancel ends a request whose result says nothing about the load.
	Cancel()
}
