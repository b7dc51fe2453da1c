package enroller

import (
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
)

// Guards against one record of a table that cannot be decoded and hides the other
// backend servers from all VMs that read the table.
func TestOddRecordHidesNoOther(t *testing.T) {
	sound := heartbeat(1, 1, nil)
	odd := heartbeat(1, 1, func(e *zinniatide.Enrollment) { e.Server = "i-\xff" })
	raw, err := encoder.Marshal([]zinniatide.Enrollment{odd, sound, odd})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeEnrollments(raw, "peer")
	if err != nil || len(got) != 1 || got[0] != sound {
		t.Errorf("got %v, %v, want only %v", got, err, sound)
	}
	n := newFakeNetwork(t)
	n.enrollers["control-a"].merge([]zinniatide.Enrollment{odd, sound}, "")
	n.compareTables()
	n.restart("a0")
	n.compareTables()
	if got := n.enrollers["a0"].Table(); len(got) != 1 || got[0].Server != sound.Server {
		t.Errorf("got table %v at a restarted VM, want only %v", got, sound)
	}
}

// Guards against lists of a peer that make the decoder panic or that it returns in
// part without a server id that all VMs can decode.
func FuzzDecodeEnrollments(f *testing.F) {
	raw, err := encoder.Marshal([]zinniatide.Enrollment{heartbeat(1, 1, nil), heartbeat(2, 2, leaving)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x82, 0xa1, 0x01, 0x61, 0xff, 0xa0})
	f.Add([]byte("\x9f\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := decodeEnrollments(raw, "peer")
		if err != nil {
			return
		}
		again, err := encoder.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeEnrollments(again, "peer"); err != nil || len(got) != len(list) {
			t.Errorf("got %d records, %v after encoding %d again", len(got), err, len(list))
		}
	})
}
