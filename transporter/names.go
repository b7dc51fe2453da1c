package transporter

// HeaderNames are the names of the HTTP headers exchanged with backend servers.
// All fields except NotRun are required. If NotRun is empty, no answer is treated
// as not run.
type HeaderNames struct {
	// RequestID contains the caller's request id. Answers repeat it.
	RequestID string
	// Deadline contains the remaining time in milliseconds.
	Deadline string
	// ExpectServer contains the id of the process that a request is meant for.
	// Other processes answer it with status 421.
	ExpectServer string
	// Stamp contains the server's signature of its answer.
	Stamp string
	// NotRun is present in answers to requests that did not run and will not run.
	NotRun string
	// Load contains the number of running requests, of waiting requests and of
	// slots, and optionally how long work takes now (100: as usual), separated by
	// commas.
	Load string
	// Leaving is "1" in answers of a process that is about to end. If the name is
	// empty, no answer says so.
	Leaving string
}

// single returns the names that must not have different values in one answer.
func (n *HeaderNames) single() []string { return []string{n.RequestID, n.Stamp, n.NotRun} }
