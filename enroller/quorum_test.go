package enroller

import (
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against a leave that a control VM acknowledges alone, because it knows no
// configuration or an outdated one.
func TestLeaveNeedsMajorityOfVoters(t *testing.T) {
	three := []zinniatide.VMID{"control-a", "control-b", "control-c"}
	for _, row := range []struct {
		name       string
		voters     []zinniatide.VMID
		configured []zinniatide.VMID
		reachable  []zinniatide.VMID
		want       bool
	}{
		{"voters unknown", []zinniatide.VMID{}, nil, three, false},
		{"voters unknown, configuration known", []zinniatide.VMID{}, three, three, false},
		{"no configuration, others lost", three, nil, nil, false},
		{"no configuration, one other", three, nil, []zinniatide.VMID{"control-b"}, true},
		{"configuration, others lost", three, three, nil, false},
		{"configuration, one other", three, three, []zinniatide.VMID{"control-c"}, true},
		{"outdated configuration of this VM alone", three, []zinniatide.VMID{"control-a"}, nil, false},
		{"not a voter yet, one voter", []zinniatide.VMID{"control-b", "control-c"}, three, []zinniatide.VMID{"control-b"}, false},
		{"not a voter yet, both voters", []zinniatide.VMID{"control-b", "control-c"}, three, three, true},
		{"only voter", []zinniatide.VMID{"control-a"}, nil, nil, true},
		{"only voter of an outdated log", []zinniatide.VMID{"control-a"}, three, nil, false},
	} {
		for call, do := range map[string]func(e *Enroller, done func(error)){
			"draining": func(e *Enroller, done func(error)) { e.Enroll(heartbeat(1, 2, leaving), done) },
			"leave":    func(e *Enroller, done func(error)) { e.Withdraw("i1", 1, done) },
		} {
			t.Run(row.name+"/"+call, func(t *testing.T) {
				n := newFakeNetwork(t)
				n.voters = row.voters
				n.configuration.ControlVMs = nil
				for _, vm := range row.configured {
					n.configuration.ControlVMs = append(n.configuration.ControlVMs, zinniatide.ControlVM{VM: vm})
				}
				n.disconnected["control-b"], n.disconnected["control-c"] = true, true
				for _, vm := range row.reachable {
					n.disconnected[vm] = false
				}
				var got []error
				do(n.enrollers["control-a"], func(err error) { got = append(got, err) })
				if len(got) != 1 || (got[0] == nil) != row.want {
					t.Errorf("got answers %v, want one, acknowledged: %v", got, row.want)
				}
			})
		}
	}
}

// Guards against a heartbeat that is acknowledged by a control VM from which nobody
// learns of it.
func TestHeartbeatWithoutKnownVoters(t *testing.T) {
	n := newFakeNetwork(t)
	n.voters, n.configuration.ControlVMs = []zinniatide.VMID{}, nil
	var got error
	n.enrollers["control-a"].Enroll(heartbeat(1, 1, nil), func(err error) { got = err })
	if got == nil {
		t.Error("got an acknowledgement, want a refusal")
	}
}
