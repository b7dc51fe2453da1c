package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/big"
)

// Digest is the SHA-256 that identifies a ticket's content: of its canonical
// JSON (Decode) or, for routing tickets, of the document as written
// (RoutingDocumentDigest).
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// digestOf hashes a decoded JSON document in canonical form: without white space,
// with sorted keys, and with -0 written as 0. Other numbers stay as submitted.
func digestOf(document any) (Digest, error) {
	canonical, err := json.Marshal(canonicalValue(document))
	if err != nil {
		return Digest{}, fmt.Errorf("encode canonical ticket: %w", err)
	}
	return sha256.Sum256(canonical), nil
}

// canonicalValue returns v with the number -0 replaced by 0.
func canonicalValue(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for key, inner := range v {
			out[key] = canonicalValue(inner)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, inner := range v {
			out[i] = canonicalValue(inner)
		}
		return out
	case json.Number:
		if n, ok := new(big.Int).SetString(v.String(), 10); ok {
			return json.Number(n.String())
		}
	}
	return v
}
