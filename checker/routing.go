package checker

import (
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"zinniatide.example/zinniatide"
)

// routingProblems returns the problems of a routing table.
func routingProblems(r *zinniatide.Routing) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("at routing: "+format, args...))
	}
	services := map[zinniatide.ServiceID]bool{}
	for i := range r.Services {
		s := &r.Services[i]
		switch {
		case s.Service == "" || len(s.Service) > zinniatide.MaxIDLength:
			report("service name must have 1 to %d bytes", zinniatide.MaxIDLength)
		case services[s.Service]:
			report("service %s appears twice", s.Service)
		case s.MaxConnections < 0 || s.ColdRate < 0 || s.ColdStart < 0:
			report("service %s has a negative bound", s.Service)
		}
		services[s.Service] = true
	}
	problems = append(problems, workspaceProblems(r.Workspaces)...)
	type routeKey struct{ host, prefix string }
	seen := map[routeKey]zinniatide.RouteID{}
	for i := range r.Routes {
		route := &r.Routes[i]
		key := routeKey{strings.ToLower(route.Host), route.PathPrefix}
		if other, taken := seen[key]; taken {
			report("routes %s and %s share host %s and prefix %s", other, route.ID, route.Host, route.PathPrefix)
		}
		seen[key] = route.ID
		for _, problem := range routeProblems(route, services) {
			report("route %s: %s", route.ID, problem)
		}
	}
	return problems
}

// workspaceProblems returns the problems of the workspaces of a routing table. It names
// workspaces, but no keys and no digests.
func workspaceProblems(workspaces []zinniatide.RelayWorkspace) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("at routing: "+format, args...))
	}
	names := make(map[zinniatide.WorkspaceID]bool, len(workspaces))
	owners := map[zinniatide.KeyDigest]zinniatide.WorkspaceID{}
	for i := range workspaces {
		w := &workspaces[i]
		switch {
		case !validWorkspaceName(string(w.Workspace)):
			report("name of workspace %d must have 1 to %d bytes, no control characters and no space at its ends", i+1, zinniatide.MaxIDLength)
		case names[w.Workspace]:
			report("workspace %s appears twice", w.Workspace)
		case !validQuantity(w.Rate) || !validQuantity(w.Burst):
			report("workspace %s has a rate or burst that is negative or not finite", w.Workspace)
		}
		names[w.Workspace] = true
		for _, digest := range w.Keys {
			if owner, taken := owners[digest]; taken {
				report("workspaces %s and %s share a key", owner, w.Workspace)
			}
			owners[digest] = w.Workspace
		}
	}
	return problems
}

// validWorkspaceName reports whether a name can be sent to backend servers as the value
// of a header.
func validWorkspaceName(name string) bool {
	return name != "" && len(name) <= zinniatide.MaxIDLength && utf8.ValidString(name) &&
		strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}

// validQuantity reports whether x is finite and not negative.
func validQuantity(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

func routeProblems(route *zinniatide.Route, services map[zinniatide.ServiceID]bool) []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if route.Host == "" {
		report("host is missing")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		report("path prefix %q does not begin and end with a slash", route.PathPrefix)
	}
	if route.Timeout <= 0 {
		report("timeout of %d ms is not positive", route.Timeout)
	}
	if (len(route.Targets) > 0) == route.Gathers() {
		report("exactly one of targets and shards must be given")
	}
	weight := 0.0
	for _, t := range route.Targets {
		if !services[t.Service] {
			report("service %q is not configured", t.Service)
		}
		if t.Weight < 0 {
			report("weight of service %s is negative", t.Service)
		}
		weight += t.Weight
	}
	if len(route.Targets) > 0 && weight <= 0 {
		report("weights add up to 0")
	}
	shards := map[zinniatide.ServiceID]bool{}
	for _, s := range route.Shards {
		if !services[s] {
			report("shard %q is not configured", s)
		}
		if shards[s] {
			report("shard %s appears twice", s)
		}
		shards[s] = true
	}
	if route.Gathers() && (route.TopRecords <= 0 || route.MinCoverage < 0 || route.MinCoverage > 1 || !route.Idempotent) {
		report("a gathering route needs top records above 0, a least coverage of 0 to 1 and idempotent requests")
	}
	return problems
}

// CheckRouting validates a routing table and its ticket number. The error is a
// *zinniatide.Refusal that lists all problems.
func CheckRouting(number zinniatide.TicketNumber, r *zinniatide.Routing) error {
	problems := routingProblems(r)
	if number == 0 {
		problems = append(problems, "ticket number must be above 0")
	}
	if len(problems) > 0 {
		return badRequest(problems)
	}
	return nil
}

// RoutingDocumentDigest returns the digest of a routing ticket from the routing
// table as the operator wrote it.
func RoutingDocumentDigest(document []byte) Digest { return sha256.Sum256(document) }
