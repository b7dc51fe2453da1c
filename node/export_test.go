package node

import (
	"testing"

	"zinniatide.example/zinniatide"
)

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

// TakeQuota asks the quota limiter for the right to run a request.
func (r *Relay) TakeQuota(w zinniatide.WorkspaceID, rate, burst float64, done func(zinniatide.QuotaDecision)) {
	r.quotaLimiter.Take(w, rate, burst, done)
}

// RoutingNumber returns the number of the installed routing table.
func (r *Relay) RoutingNumber() zinniatide.TicketNumber {
	return r.subscriber.Configuration().RoutingNumber
}

// Connected reports whether this VM has a link to another one.
func (r *Relay) Connected(peer zinniatide.VMID) bool { return r.linker.Connected(peer) }
