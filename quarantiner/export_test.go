package quarantiner

import "zinniatide.example/zinniatide"

// Arbiter exports the choice of the arbiter for tests.
func (q *Quarantiner) Arbiter(f zinniatide.Fingerprint) zinniatide.VMID { return q.arbiter(f) }
