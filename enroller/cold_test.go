package enroller

import (
	"reflect"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// advance lets the time of all VMs go on.
func (n *fakeNetwork) advance(d zinniatide.Millis) {
	for _, e := range n.enrollers {
		e.deps.Clock.(*clock.Clock).Advance(d)
	}
}

// Guards against relay VMs that take a server for warm while it is cold, because its
// cold time was lengthened or began again, and against a server that stays cold for
// them after it has said that it is warm.
func TestColdTimeReachesAllVMs(t *testing.T) {
	type report struct {
		after zinniatide.Millis // since the report before
		left  zinniatide.Millis
	}
	for _, row := range []struct {
		name    string
		reports []report
		want    zinniatide.Millis // at the last report
	}{
		{"cold once", []report{{0, 3000}, {1200, 1800}}, 1800},
		{"cold again while cold", []report{{0, 3000}, {1200, 1800}, {1200, 2400}}, 2400},
		{"cold again after it was warm", []report{{0, 3000}, {4000, 0}, {1200, 3000}}, 3000},
		{"lengthened a little", []report{{0, 3000}, {1200, 1850}}, 1850},
		{"shortened", []report{{0, 3000}, {1200, 400}}, 400},
		{"warm early", []report{{0, 3000}, {1200, 0}}, 0},
		{"lengthened, then shortened", []report{{0, 3000}, {500, 6000}, {500, 1000}}, 1000},
	} {
		for _, path := range []string{"broadcast", "digest"} {
			t.Run(row.name+"/"+path, func(t *testing.T) {
				n := newFakeNetwork(t)
				for i, r := range row.reports {
					n.advance(r.after)
					lost := path == "digest" && i > 0
					for vm := range n.enrollers {
						n.disconnected[vm] = lost && vm != "control-a"
					}
					n.enrollers["control-a"].Enroll(heartbeat(1, uint64(i+1), func(e *zinniatide.Enrollment) { e.ColdRemaining = r.left }), func(error) {})
				}
				clear(n.disconnected)
				if path == "digest" {
					n.advance(100)
					row.want = max(row.want-100, 0)
					n.compareTables()
					n.compareTables()
				}
				for vm, e := range n.enrollers {
					if got := e.Table()[0].ColdRemaining; got != row.want {
						t.Errorf("%s: got %d ms of cold time left, want %d", vm, got, row.want)
					}
				}
			})
		}
	}
}

// Guards against a cold time that an older or repeated heartbeat changes, and against
// one that is passed on as if it had just been reported.
func TestColdTimeOfLateHeartbeats(t *testing.T) {
	n := newFakeNetwork(t)
	cold := func(left zinniatide.Millis) func(*zinniatide.Enrollment) {
		return func(e *zinniatide.Enrollment) { e.ColdRemaining = left }
	}
	n.enrollers["control-a"].Enroll(heartbeat(1, 5, cold(3000)), func(error) {})
	n.advance(1000)
	for _, vm := range []zinniatide.VMID{"control-a", "control-b"} {
		n.enrollers[vm].Enroll(heartbeat(1, 5, cold(3000)), func(error) {}) // repeated
		n.enrollers[vm].Enroll(heartbeat(1, 4, cold(0)), func(error) {})    // older
	}
	n.restart("a0")
	n.enrollers["a0"].deps.Clock.(*clock.Clock).Advance(1000)
	n.compareTables()
	for vm, e := range n.enrollers {
		if got, want := e.Table()[0].ColdRemaining, zinniatide.Millis(2000); got != want {
			t.Errorf("%s: got %d ms of cold time left, want %d", vm, got, want)
		}
	}
}

// Guards against heartbeats of a cold server that are passed on to all VMs although
// they change nothing.
func TestColdHeartbeatsWithoutChange(t *testing.T) {
	n := newFakeNetwork(t)
	for i := range 5 {
		left := 3000 - zinniatide.Millis(i)*500 - zinniatide.Millis(i%2)*40 // with some delay
		n.enrollers["control-a"].Enroll(heartbeat(1, uint64(i+1), func(e *zinniatide.Enrollment) { e.ColdRemaining = left }), func(error) {})
		n.advance(500)
	}
	if got, want := n.crossZoneMessages[zinniatide.KindEnroll], 2+3*5; got > want {
		t.Errorf("got %d messages between zones for five heartbeats, want those of one", got)
	}
}

// Guards against a field of an enrollment that is left out of the comparison or of the
// digest, so that a change of it does not reach all VMs.
func TestStateCoversAllFields(t *testing.T) {
	uncovered := map[string]string{
		"Sequence":      "only orders the heartbeats",
		"ColdRemaining": "differs with each heartbeat; ColdSequence stands for it",
	}
	base := &row{Enrollment: heartbeat(1, 1, nil)}
	for i := range reflect.TypeFor[zinniatide.Enrollment]().NumField() {
		name := reflect.TypeFor[zinniatide.Enrollment]().Field(i).Name
		changed := *base
		switch field := reflect.ValueOf(&changed.Enrollment).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("other")
		case reflect.Int, reflect.Int64:
			field.SetInt(7)
		case reflect.Uint64:
			field.SetUint(7)
		case reflect.Bool:
			field.SetBool(true)
		default:
			t.Fatalf("field %s has kind %v, which this test does not know", name, field.Kind())
		}
		_, known := uncovered[name]
		if got := base.differs(&changed); got == known {
			t.Errorf("%s: got a difference: %v, want %v", name, got, !known)
		}
		if got := base.hash() != changed.hash(); got == known {
			t.Errorf("%s: got another hash: %v, want %v", name, got, !known)
		}
	}
}
