package enroller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a heartbeat of another writer, for an unknown service under the id
// of a sound server, that takes the server out of use.
func TestHeartbeatOfOtherWriterUnderUsedID(t *testing.T) {
	configured := &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "orders"}, {Service: "ledger"}}}
	for name, row := range map[string]struct {
		service zinniatide.ServiceID
		routing *zinniatide.Routing
		want    zinniatide.ServiceID
	}{
		"unknown service":      {service: "no-such-service", routing: configured, want: "orders"},
		"other known service":  {service: "ledger", routing: configured, want: "ledger"},
		"no configuration yet": {service: "no-such-service", want: "no-such-service"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newFakeNetwork(t)
			n.configuration.Routing = row.routing
			at := func(service zinniatide.ServiceID) func(*zinniatide.Enrollment) {
				return func(e *zinniatide.Enrollment) { e.Service = service }
			}
			n.enrollers["control-a"].Enroll(heartbeat(1, 1, at("orders")), func(error) {})
			acknowledged := false
			n.enrollers["control-b"].Enroll(heartbeat(2, 1, at(row.service)), func(err error) { acknowledged = err == nil })
			if !acknowledged {
				t.Error("got no acknowledgement of the heartbeat, want one")
			}
			n.enrollers["control-a"].Enroll(heartbeat(1, 2, at("orders")), func(error) {})
			n.compareTables()
			for vm, e := range n.enrollers {
				if table := e.Table(); len(table) != 1 || table[0].Service != row.want {
					t.Errorf("%s: got %v, want one process of %s", vm, table, row.want)
				}
			}
		})
	}
}
