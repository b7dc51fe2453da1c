package dispatcher

import "zinniatide.example/zinniatide"

// gate is what a configuration says about new work for one server. It is
// evaluated once per configuration.
type gate struct {
	configuration *zinniatide.Configuration
	// code is why new work is refused, empty when it is not.
	code zinniatide.Code
}

// owns reports whether vm holds the bucket, whether or not it must give it up.
func owns(c *zinniatide.Configuration, key bucketKey, vm zinniatide.VMID, inc zinniatide.Incarnation) bool {
	buckets := c.Buckets[key.zone]
	if key.index >= len(buckets) {
		return false
	}
	b := &buckets[key.index]
	return b.Owner == vm && b.OwnerIncarnation == inc
}

// refusal returns why c forbids new work for the server, or "".
func (s *server) refusal(c *zinniatide.Configuration) zinniatide.Code {
	o := &s.d.o
	switch {
	case !owns(c, s.bucket, o.VM, o.Incarnation), c.Buckets[s.bucket.zone][s.bucket.index].Next != "":
		return zinniatide.CodeNotOwner
	case !c.BackendServerServing(s.id, s.bucket.zone):
		return zinniatide.CodeNotServing
	}
	return ""
}

// closed returns why no request may start now, or "". It reads the newest
// configuration each time, so that a change is in force for the next start.
// The server's lock is held.
func (s *server) closed(now zinniatide.Millis) zinniatide.Code {
	c := s.d.o.Configuration.Configuration()
	if c != s.gate.configuration && (s.gate.configuration == nil || c.Epoch >= s.gate.configuration.Epoch) {
		s.gate = gate{configuration: c, code: s.refusal(c)}
	}
	switch {
	case s.gate.code != "":
		return s.gate.code
	case s.retired != "":
		return s.retired
	case now >= s.d.o.Configuration.LeaseUntil():
		return zinniatide.CodeNotServing
	case now < s.settled:
		return zinniatide.CodeNotOwner
	case s.draining:
		return zinniatide.CodeShed
	}
	return ""
}
