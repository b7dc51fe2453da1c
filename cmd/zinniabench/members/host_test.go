package members

import (
	"testing"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
)

// TestHost guards against measurements of members without a session, claims
// that are granted without being replicated to the leader's log, and invalid
// calls that the host accepts.
func TestHost(t *testing.T) {
	h, err := NewHost()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	if _, err := h.runClaims(1, time.Millisecond); err == nil {
		t.Error("got no error for claims without members")
	}
	if h.resize(1) == nil || h.startFollowers(zinniatide.ControlVM{VM: "c1", PeerAddress: "127.0.0.1:1"}) == nil {
		t.Error("got no error for members before the followers started, or for a start before reserve")
	}
	followers, err := h.reserve()
	if err != nil {
		t.Fatal(err)
	}
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	control := append([]zinniatide.ControlVM{{VM: "c1", PeerAddress: address}}, followers...)
	folder := t.TempDir()
	if err := logkeeper.Init(journal.OSFileSystem{}, folder, "c1", control); err != nil {
		t.Fatal(err)
	}
	leader, err := NewControlNode("c1", folder, control)
	if err != nil {
		t.Fatal(err)
	}
	defer leader.Close()
	if err := h.startFollowers(control[0]); err != nil {
		t.Fatal(err)
	}
	if err := h.resize(3); err != nil {
		t.Fatal(err)
	}
	if h.resize(2) == nil {
		t.Error("got no error for fewer members")
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		u, err := h.usage(false)
		if err != nil {
			t.Fatal(err)
		}
		if u.Leased == 3 && u.Counters["zinniatide_link_sent_bytes_total"] > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("got %+v, want 3 leases", u)
		}
	}
	counts, err := h.runClaims(4, 300*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var stored int64
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		leading := false
		leader.RunOnControlGoroutine(func() {
			n, _ := leader.StateMachine.ClaimUsage()
			stored, leading = int64(n), leader.Log.Status().Leading
		})
		// While another VM leads, this one may still miss claims that were granted.
		if leading || stored >= counts.Granted || time.Now().After(end) {
			break
		}
	}
	if counts.Granted == 0 || counts.Refused != counts.Undecided || stored < counts.Granted || stored > counts.Granted+counts.Undecided {
		t.Errorf("got %d claims stored for %+v, want those granted and at most the undecided ones", stored, *counts)
	}
}
