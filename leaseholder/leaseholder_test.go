package leaseholder_test

import (
	"math"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/granter"
	"zinniatide.example/zinniatide/leaseholder"
)

const (
	workspace zinniatide.WorkspaceID = "w"
	counter   zinniatide.VMID        = "c"
)

// newHolding returns a Holder that asked at 1000 and holds n tokens since 1002.
func newHolding(n int) *leaseholder.Holder {
	h := leaseholder.New()
	h.Take(workspace, 1000)
	h.Request(workspace, counter, 1, 1000)
	h.Granted(workspace, &granter.Reply{Granted: 1, Held: n, GrantedAt: 500_000}, 1000, 1002)
	return h
}

// Guards against tokens that are used after the lease, counted from the question, and
// against more tokens than were granted.
func TestHeldTokensExpire(t *testing.T) {
	h := newHolding(3)
	for i, row := range []struct {
		at   zinniatide.Millis
		want leaseholder.Decision
	}{{1002, leaseholder.Admit}, {1000 + granter.Lease - 1, leaseholder.Admit}, {1000 + granter.Lease, leaseholder.Ask}} {
		if got, _, _ := h.Take(workspace, row.at); got != row.want {
			t.Errorf("request %d at %d: got decision %d, want %d", i, row.at, got, row.want)
		}
	}
}

// Guards against tokens that are used twice: once while they are being renewed, and again
// after the renewal.
func TestTokensUsedDuringRenewal(t *testing.T) {
	h := newHolding(3)
	if got := h.Request(workspace, counter, 0, 1200); got.Unused != 3 || got.GrantedAt != 500_000 {
		t.Fatalf("got request %+v, want 3 unused tokens granted at 500000", got)
	}
	h.Take(workspace, 1201)
	h.Take(workspace, 1201)
	h.Granted(workspace, &granter.Reply{Held: 4, GrantedAt: 500_203}, 1200, 1204)
	for i, want := range []leaseholder.Decision{leaseholder.Admit, leaseholder.Admit, leaseholder.Ask} {
		if got, _, _ := h.Take(workspace, 1210); got != want {
			t.Errorf("request %d: got decision %d, want %d", i, got, want)
		}
	}
}

// Guards against tokens of a late reply, and against the clock of one counting VM being
// compared with that of another.
func TestRepliesThatDoNotCount(t *testing.T) {
	h := leaseholder.New()
	h.Request(workspace, counter, 1, 1000)
	if got := h.Granted(workspace, &granter.Reply{Granted: 1, Held: 2}, 1000, 1000+granter.Lease); got != 0 {
		t.Errorf("got %d ms left of a late reply, want 0", got)
	}
	h = newHolding(3)
	if got := h.Request(workspace, "another", 1, 1100); got.Unused != 0 || got.Returned != 0 {
		t.Errorf("got request %+v to another VM, want no unused tokens", got)
	}
}

// Guards against returned tokens that are lost, used after their lease, or given back
// twice.
func TestReturn(t *testing.T) {
	h := newHolding(1)
	if got, _, returnWithin := h.Take(workspace, 1100); got != leaseholder.Admit || returnWithin != granter.ReturnTime {
		t.Fatalf("got decision %d, to be returned within %d ms, want it admitted with %d", got, returnWithin, granter.ReturnTime)
	}
	if got := h.Return(workspace, 1110); !got {
		t.Error("got no return, want one")
	}
	if got := h.Return(workspace, 1110); got {
		t.Error("got a second return of one token, want none")
	}
	if got, _, _ := h.Take(workspace, 1120); got != leaseholder.Admit {
		t.Errorf("got decision %d after a return, want it admitted", got)
	}
	h.Return(workspace, 1130)
	if got := h.Due(1140); len(got) != 1 {
		t.Errorf("got %d workspaces due, want the one with a returned token", len(got))
	}
	if got := h.Request(workspace, counter, 0, 1140); got.Returned != 1 || got.ReturnedAt != 500_098 {
		t.Errorf("got request %+v, want one token returned that was used at 500098", got)
	}
	h = newHolding(1)
	h.Take(workspace, 1150)
	if got := h.Return(workspace, 1150+granter.ReturnTime); got {
		t.Error("got a return after its time, want none")
	}
}

// Guards against messages without an end: tokens are renewed only while a workspace is
// used and the counting VM has tokens to spare.
func TestRenewalEnds(t *testing.T) {
	for _, row := range []struct {
		name string
		held int
		at   zinniatide.Millis
		want int
	}{{"early", 3, 1100, 0}, {"due", 3, 1000 + granter.Lease/2, 1}, {"none to spare", 0, 1000 + granter.Lease/2, 0}, {"idle", 3, 3100, 0}} {
		h := newHolding(row.held)
		if got := len(h.Due(row.at)); got != row.want {
			t.Errorf("%s: got %d workspaces due, want %d", row.name, got, row.want)
		}
	}
	h := newHolding(3)
	h.Due(12_000)
	if got := h.Len(); got != 0 {
		t.Errorf("got %d workspaces after 11 s without a request, want none", got)
	}
}

// Guards against a refusal without Retry-After, times that overflow, and a question for
// each request of a workspace that has just been refused.
func TestExhausted(t *testing.T) {
	for _, reply := range []granter.Reply{
		{RetryAfter: 120, Spacing: 50, VMs: 3}, {}, {RetryAfter: -5, Spacing: -1, VMs: -1}, {RetryAfter: math.MaxInt64, Spacing: math.Inf(1), VMs: math.MaxInt64},
		{Spacing: math.NaN()},
	} {
		h := leaseholder.New()
		h.Take(workspace, 1000)
		times := h.Exhausted(workspace, &reply, 3, 1000)
		for range 3 {
			d, retryAfter, _ := h.Take(workspace, 1001)
			if d != leaseholder.Refuse {
				t.Fatalf("%+v: got decision %d right after a refusal, want another one", reply, d)
			}
			times = append(times, retryAfter)
		}
		for i, got := range times {
			if got < 1 || got > 30_000 || i > 0 && i != 3 && got < times[i-1] {
				t.Errorf("%+v: got Retry-After %v, want rising times from 1 ms to 30 s", reply, times)
				break
			}
		}
		if d, _, _ := h.Take(workspace, 1300); d != leaseholder.Ask {
			t.Errorf("%+v: got decision %d after 300 ms, want a question", reply, d)
		}
	}
}
