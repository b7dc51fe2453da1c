package quarantiner

import "zinniatide.example/zinniatide"

// Guard exposes the choice of the guard to tests.
func (q *Quarantiner) Guard(f zinniatide.Fingerprint) zinniatide.VMID { return q.guard(f) }
