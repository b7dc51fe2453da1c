package zinniatide

import (
	"bytes"
	"crypto/sha256"
)

// DigestKey returns the digest by which an API key is known outside the operator's
// document.
func DigestKey(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Compare orders digests.
func (d KeyDigest) Compare(o KeyDigest) int { return bytes.Compare(d[:], o[:]) }

// KeyAuthenticator decides whether the key of a request admits it.
type KeyAuthenticator interface {
	// Authenticate returns the workspace whose key the credential holds, or an empty id.
	// credential is the value of the header as the caller sent it, or empty. ok is false
	// if the route requires a key and the credential holds none that is known.
	Authenticate(route *Route, credential []byte) (workspace WorkspaceID, ok bool)
}
