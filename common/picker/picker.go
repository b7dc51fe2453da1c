// Package picker selects VMs by rendezvous hashing.
package picker

import (
	"github.com/cespare/xxhash/v2"

	"zinniatide.example/zinniatide"
)

// Pick returns the candidate with the highest rendezvous hash for key, or an
// empty id if there are no candidates. Adding a candidate only moves keys to it,
// and removing one only moves the keys that were assigned to it.
func Pick(key string, candidates []zinniatide.VMID) zinniatide.VMID {
	var best zinniatide.VMID
	var bestHash uint64
	for _, candidate := range candidates {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(candidate))
		hash := d.Sum64()
		if best == "" || hash > bestHash || (hash == bestHash && candidate < best) {
			best, bestHash = candidate, hash
		}
	}
	return best
}
