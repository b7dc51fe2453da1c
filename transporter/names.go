package transporter

// Names are the HTTP headers spoken with backend servers. All are set.
type Names struct {
	// RequestID carries the caller's id of a request; answers repeat it.
	RequestID string
	// Deadline carries the milliseconds that are left.
	Deadline string
	// ExpectServer names the process that a request is meant for. Any other
	// process answers 421.
	ExpectServer string
	// Stamp is the server's signature of its answer.
	Stamp string
	// NotRun marks an answer to a request that did not and will not run.
	NotRun string
	// Load states running requests, waiting requests and slots.
	Load string
}
