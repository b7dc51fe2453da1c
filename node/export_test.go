package node

import "testing"

// FreeAddress returns a loopback address that nobody listens on.
func FreeAddress(t *testing.T) string { return freeAddress(t) }

// Kill ends the process of a Relay as a crash would, without a planned stop.
func (r *Relay) Kill() {
	r.cancel()
	r.linker.Close()
	if r.replicatedLog != nil {
		_ = r.replicatedLog.Close()
	}
	for _, server := range r.httpServers {
		_ = server.Shutdown()
	}
}
