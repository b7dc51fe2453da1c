// Package authenticator decides which workspace a request belongs to by the API key
// that it carries.
package authenticator

import (
	"bytes"

	"zinniatide.example/zinniatide"
)

// Authenticator implements zinniatide.KeyAuthenticator for one routing table. It is
// immutable.
type Authenticator struct {
	scheme     []byte
	required   bool
	workspaces []zinniatide.WorkspaceID
	// byDigest holds indexes into workspaces, which take less memory than ids. The time
	// of a lookup depends on the digest of what the caller sent only, and a caller who
	// does not know a key cannot choose a digest that resembles that of the key.
	byDigest map[zinniatide.KeyDigest]uint32
}

// New returns an Authenticator for a table that the checker has validated. scheme is
// the authentication scheme that precedes the key in a credential.
func New(table *zinniatide.Routing, scheme string) *Authenticator {
	keys := 0
	for i := range table.Workspaces {
		keys += len(table.Workspaces[i].Keys)
	}
	a := &Authenticator{
		scheme: []byte(scheme), required: table.KeysRequired,
		workspaces: make([]zinniatide.WorkspaceID, 0, len(table.Workspaces)), byDigest: make(map[zinniatide.KeyDigest]uint32, keys),
	}
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		for _, digest := range w.Keys {
			a.byDigest[digest] = uint32(i) //nolint:gosec // tables have far fewer workspaces
		}
		a.workspaces = append(a.workspaces, w.Workspace)
	}
	return a
}

// Authenticate implements zinniatide.KeyAuthenticator. Without workspaces in the
// configuration, it admits all requests and knows no key.
func (a *Authenticator) Authenticate(route *zinniatide.Route, credential []byte) (zinniatide.WorkspaceID, bool) {
	if !a.required {
		return "", true
	}
	if key := a.keyIn(credential); len(key) > 0 {
		if i, known := a.byDigest[zinniatide.DigestKey(key)]; known {
			return a.workspaces[i], true
		}
	}
	return "", route.Public
}

// keyIn returns the key in a credential, or nil if it has another form. The scheme is
// not case-sensitive (RFC 9110, section 11.1).
func (a *Authenticator) keyIn(credential []byte) []byte {
	scheme, key, found := bytes.Cut(bytes.Trim(credential, " \t"), []byte(" "))
	if !found || !bytes.EqualFold(scheme, a.scheme) {
		return nil
	}
	return bytes.Trim(key, " \t")
}
