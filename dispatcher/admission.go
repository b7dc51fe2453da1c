package dispatcher

import "zinniatide.example/zinniatide"

// configurationCheck caches whether a configuration allows new work for one
// server.
type configurationCheck struct {
	configuration *zinniatide.Configuration
	// code is the reason for refusing new work, or "" if it is allowed.
	code zinniatide.Code
}

// owns reports whether vm owns the bucket, including one that is being handed
// over to another VM.
func owns(c *zinniatide.Configuration, key bucketKey, vm zinniatide.VMID, process zinniatide.ProcessID) bool {
	buckets := c.Buckets[key.zone]
	if key.index >= len(buckets) {
		return false
	}
	b := &buckets[key.index]
	return b.Owner == vm && b.OwnerProcess == process
}

// configurationRefusal returns the reason why c forbids new work for the
// server, or "" if it allows it.
func (s *server) configurationRefusal(c *zinniatide.Configuration) zinniatide.Code {
	o := &s.d.options
	switch {
	case !owns(c, s.bucket, o.VM, o.Process), c.Buckets[s.bucket.zone][s.bucket.index].NextOwner != "":
		return zinniatide.CodeNotOwner
	case !c.BackendServerServing(s.id, s.bucket.zone):
		return zinniatide.CodeNotServing
	}
	return ""
}

// refusalCode returns the reason why no request may start now, or "" if one
// may. It reads the newest configuration each time, so that a change applies to
// the next start. The caller must hold s.mu.
func (s *server) refusalCode(now zinniatide.Millis) zinniatide.Code {
	c := s.d.options.Configuration.Configuration()
	if c != s.configCheck.configuration && (s.configCheck.configuration == nil || c.Epoch >= s.configCheck.configuration.Epoch) {
		s.configCheck = configurationCheck{configuration: c, code: s.configurationRefusal(c)}
	}
	switch {
	case s.configCheck.code != "":
		return s.configCheck.code
	case s.retiredCode != "":
		return s.retiredCode
	case now >= s.d.options.Configuration.LeaseUntil():
		return zinniatide.CodeNotServing
	case now < s.previousOwnerDoneAt:
		return zinniatide.CodeNotOwner
	case s.draining, s.leavingIncarnation != 0 && s.leavingIncarnation == s.incarnation, now < s.pausedUntil:
		return zinniatide.CodeShed
	}
	return ""
}
