package zinniatide

// QuotaDecision is the answer of a QuotaLimiter.
type QuotaDecision struct {
	Admitted bool
	// Exhausted is set if the request was not admitted because the quota is used up.
	// Otherwise it is not known whether it is.
	Exhausted bool
	// RetryAfter is when a token is expected to be available, if the request was not
	// admitted.
	RetryAfter Millis
	// ReturnWithin is how long the token of an admitted request can be given back.
	ReturnWithin Millis
	// Reason says for log lines how the decision came about.
	Reason string
}

// QuotaLimiter limits the rate of requests of each workspace over all relay VMs
// together.
type QuotaLimiter interface {
	// Take asks for the right to run one request of w. done is called exactly once,
	// possibly before Take returns, unless cancel is called first. A token that is granted
	// after cancel is kept for another request.
	Take(w WorkspaceID, rate, burst float64, done func(QuotaDecision)) (cancel func())
	// Return gives back the token of an admitted request that has not run. It must not be
	// called later than QuotaDecision.ReturnWithin after the decision.
	Return(w WorkspaceID)
}
