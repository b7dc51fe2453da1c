package node

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a wrong version as the one that serves when a rollout begins: of another
// service, of a server that has ended, or the target itself.
func TestVersions(t *testing.T) {
	table := []zinniatide.Enrollment{
		{Service: "s", StartedAt: 5, Version: "v2"}, {Service: "s", StartedAt: 6, Version: "v1"}, {Service: "s", StartedAt: 3, Version: "v0", Ended: true},
		{Service: "other", StartedAt: 1, Version: "v9"}, {Service: "s", StartedAt: 7, Version: "v3"},
	}
	for _, row := range []struct {
		service    zinniatide.ServiceID
		target     zinniatide.ServerVersion
		want       zinniatide.ServerVersion
		wantTarget bool
	}{{"s", "v3", "v2", true}, {"s", "v2", "v1", true}, {"s", "v4", "v2", false}, {"other", "v9", "", true}, {"none", "v1", "", false}} {
		if got, hasTarget := versions(table, row.service, row.target); got != row.want || hasTarget != row.wantTarget {
			t.Errorf("%s to %s: got %q, %v, want %q, %v", row.service, row.target, got, hasTarget, row.want, row.wantTarget)
		}
	}
}
