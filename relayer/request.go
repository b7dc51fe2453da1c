package relayer

import (
	"zinniatide.example/zinniatide"
)

// Request is a caller's request as it came in.
type Request struct {
	ID   string // the caller's id of this attempt
	Host string
	Path string // without query
	// Head is the request line and the headers to forward, each line ended.
	Head     []byte
	Body     []byte
	HeadOnly bool
	// Wait is how long the caller will wait, 0 when it does not say.
	Wait    zinniatide.Millis
	Arrived zinniatide.Millis
	// Connected is set when the caller set up a connection for the request.
	Connected bool
}

// Reply is the answer to a caller. The slices must not be changed.
type Reply struct {
	Status int
	// Header holds header lines, each ended, without length and connection.
	Header []byte
	Body   []byte
	// RetryAfter tells a refused caller when to come back, 0 for no advice.
	RetryAfter zinniatide.Millis
}

// Names are the HTTP headers of gathered answers.
type Names struct {
	// PartStamps lists the stamps of the parts that an answer is made of.
	PartStamps string
	// MissingParts is the number of shards that are left out.
	MissingParts string
	// Internal are headers of backend servers that callers do not get.
	Internal []string
}
