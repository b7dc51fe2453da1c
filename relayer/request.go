package relayer

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// Request is a request received from a caller.
type Request struct {
	ID   string // chosen by the caller, one per attempt
	Host string
	Path string // without the query string
	// Head is the request line and the headers to forward, each terminated by
	// CRLF.
	Head   []byte
	Body   []byte
	IsHEAD bool // the method is HEAD
	// Timeout is how long the caller waits for an answer, or 0 if unknown.
	Timeout   zinniatide.Millis
	ArrivedAt zinniatide.Millis
	// NewConnection is set if the caller opened a new connection for the request.
	NewConnection bool
	// Credential is the Authorization header of the caller, or empty. It must not be
	// logged.
	Credential []byte
	// KeyHeaders are the header lines of the caller that hold its credential or name a
	// workspace, as sent and each terminated by CRLF. They are not part of Head, and are
	// forwarded only if no keys are required. They must not be logged.
	KeyHeaders []byte
	// Workspace is set by Serve to the workspace whose key the caller sent. It is empty if
	// no key is required and none is known.
	Workspace zinniatide.WorkspaceID
}

// callerHeaders are the headers that tell callers apart in fingerprints. The credential
// is in the head only if no keys are required.
var callerHeaders = []string{"Authorization", "Cookie"}

// fingerprint identifies requests that ask for the same: same host, request line,
// body and credentials, or workspace instead of credentials if keys are required. Other
// headers do not count, because tracing and retries change them with each attempt.
func (r *Request) fingerprint() zinniatide.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Host)
	requestLine, headers, _ := bytes.Cut(r.Head, []byte("\r\n"))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(requestLine)
	for line := range bytes.SplitSeq(headers, []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if slices.Contains(callerHeaders, string(name)) {
			_, _ = d.Write([]byte{0})
			_, _ = d.Write(line)
		}
	}
	if r.Workspace != "" {
		_, _ = d.Write([]byte{0, 1})
		_, _ = d.WriteString(string(r.Workspace))
	}
	_, _ = d.Write([]byte{0, 0})
	_, _ = d.Write(r.Body)
	return zinniatide.Fingerprint(d.Sum64())
}

// Reply is the answer to a caller. Its slices must not be modified.
type Reply struct {
	Status int
	// Header holds header lines, each terminated by CRLF, except those for the
	// length and the connection.
	Header []byte
	Body   []byte
	// RetryAfter tells a refused caller when to retry, or is 0.
	RetryAfter zinniatide.Millis
}

// HeaderNames are the names of HTTP headers in responses.
type HeaderNames struct {
	// RequestID contains the id that the caller gave to the attempt.
	RequestID string
	// PartStamps lists the stamps of the parts in a gathered answer.
	PartStamps string
	// MissingParts is the number of shards missing from a gathered answer.
	MissingParts string
	// Workspace contains the name of the workspace in requests to backend servers.
	Workspace string
	// CredentialScheme precedes the key in the credential of a caller.
	CredentialScheme string
	// Stripped are headers of backend servers that are not passed on to callers.
	Stripped []string
}
