package relayer

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// Guards against an enrollment of another writer for the address of a sound server
// that takes the server out of use, and against a server that is used after a later
// process has taken its address.
func TestEnrollmentAtUsedAddress(t *testing.T) {
	for name, row := range map[string]struct {
		service   zinniatide.ServiceID
		startedAt zinniatide.Millis
		ended     bool
		isTrue    bool // a later process really uses the address
	}{
		"unknown service": {service: "no-such-service", startedAt: 2},
		"other service":   {service: "shard-00", startedAt: 2},
		"same service":    {service: "plain", startedAt: 2},
		"started earlier": {service: "plain", startedAt: 0},
		"ended":           {service: "plain", startedAt: 2, ended: true},
		"same start":      {service: "shard-00", startedAt: 1},
		"true successor":  {service: "plain", startedAt: 2, isTrue: true},
		"reused address":  {service: "shard-00", startedAt: 2, isTrue: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, testShards)
			other := func() (transporter.Result, int) { return transporter.WrongServer, 421 }
			for i := range 4 {
				sound := sim.servers[zinniatide.BackendServerID(fmt.Sprint("plain-", i))]
				id := fmt.Sprint("writer-", i)
				sim.addServer(id, row.service, "a", 3)
				e := &sim.enrollments[len(sim.enrollments)-1]
				e.StartedAt, e.Ended, e.Address = row.startedAt, row.ended, "10.0.0.1:"+string(sound.id)
				if row.isTrue {
					sound.fault = other
				} else {
					sim.servers[e.Server].fault = other
				}
			}
			sim.updateRelayer()
			served := 0
			for n := range 100 {
				if sim.serve(fmt.Sprint("r", n), "/once/x").Status == 200 {
					served++
				}
			}
			want := 100
			if name == "reused address" {
				want = 0 // no server of the service is left
			}
			if got := served; got != want {
				t.Errorf("got %d requests served, want %d", got, want)
			}
			for id, s := range sim.servers {
				if s.fault == nil || s.arrived <= 1 {
					continue
				}
				t.Errorf("got %d requests at %s, which is not at its address, want 1 at most", s.arrived, id)
			}
		})
	}
}
