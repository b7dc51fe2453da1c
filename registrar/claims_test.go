package registrar

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
)

func claim(id string, token uint64, digest zinniatide.Fingerprint) *zinniatide.Claim {
	expires, _ := requestExpiry(zinniatide.RequestID(id))
	return &zinniatide.Claim{RequestID: zinniatide.RequestID(id), Expires: expires, Digest: digest, VM: "e1", Token: token}
}

// Guards against running a non-idempotent request twice, and against denials
// that report an outcome that the log does not prove.
func TestClaimRules(t *testing.T) {
	id := fmt.Sprintf("%d-abcdefgh", baseTime+10_000)
	other := fmt.Sprintf("%d-stuvwxyz", baseTime+10_000)
	finish := func(token uint64, o zinniatide.Outcome, body string) Command {
		return Command{Result: &zinniatide.ClaimResult{RequestID: zinniatide.RequestID(id), Token: token, Outcome: o, Body: []byte(body)}}
	}
	steps := []struct {
		name    string
		now     zinniatide.Millis
		command Command
		want    string // granted, code, outcome and body; empty without a claim reply
	}{
		{"first token", 0, Command{Claim: claim(id, 1, 5)}, "true   "},
		{"same token", 1, Command{Claim: claim(id, 1, 5)}, "true   "},
		{"second token", 2, Command{Claim: claim(id, 2, 5)}, "false in-progress unknown "},
		{"other digest", 3, Command{Claim: claim(id, 3, 6)}, "false request-id-reused not-run "},
		{"result of a token without a claim", 4, finish(2, zinniatide.OutcomeDone, "x"), ""},
		{"still in progress", 5, Command{Claim: claim(id, 2, 5)}, "false in-progress unknown "},
		{"not-run frees the id", 6, finish(1, zinniatide.OutcomeNotRun, ""), ""},
		{"delayed duplicate of the freed token", 7, Command{Claim: claim(id, 1, 5)}, "false  not-run "},
		{"next attempt", 8, Command{Claim: claim(id, 4, 5)}, "true   "},
		{"delayed result of the freed token", 9, finish(1, zinniatide.OutcomeDone, "wrong"), ""},
		{"done", 10, finish(4, zinniatide.OutcomeDone, "result"), ""},
		{"second result", 11, finish(4, zinniatide.OutcomeNotRun, ""), ""},
		{"recorded result", 12, Command{Claim: claim(id, 5, 5)}, "false  done result"},
		{"recorded result after expiry", 10_001, Command{Claim: claim(id, 6, 5)}, "false  done result"},
		{"unclaimed id after expiry", 10_002, Command{Claim: claim(other, 7, 5)}, "false request-id-expired unknown "},
		{"new leader with a slower clock", 20, Command{Claim: claim(other, 8, 5)}, "false request-id-expired unknown "},
		{"claim dropped after its retention", 70_000, Command{Claim: claim(id, 9, 5)}, "false request-id-expired unknown "},
	}
	plain, restored := New(), New()
	for _, step := range steps {
		for name, r := range map[string]*Registrar{"plain": plain, "restored": restored} {
			got := ""
			if reply, ok := apply(t, r, step.now, step.command).(zinniatide.ClaimReply); ok {
				got = fmt.Sprintf("%v %s %s %s", reply.Granted, reply.Code, reply.Outcome, reply.Body)
			}
			if got != step.want {
				t.Errorf("%s (%s): got %q, want %q", step.name, name, got, step.want)
			}
		}
		restored = restore(t, restored)
	}
	if len(plain.claims.byID) != 0 || plain.claims.bytes != 0 {
		t.Errorf("%d claims with %d bytes remain, want none", len(plain.claims.byID), plain.claims.bytes)
	}
}

// Guards against accepting an expiry that differs from the one in the request
// id, which would allow a second claim after the first was dropped.
func TestMalformedClaimsAreRefused(t *testing.T) {
	r := New()
	moved := claim(fmt.Sprintf("%d-abcdefgh", baseTime+10), 1, 1)
	moved.Expires++
	for name, c := range map[string]*zinniatide.Claim{
		"other expiry than in the id": moved,
		"leading zero":                claim(fmt.Sprintf("0%d-abcdefgh", baseTime+10), 1, 1),
		"no expiry":                   claim("abcdefgh-abcdefgh", 1, 1),
		"short suffix":                claim(fmt.Sprintf("%d-abcdefg", baseTime+10), 1, 1),
		"too far ahead":               claim(fmt.Sprintf("%d-abcdefgh", baseTime+zinniatide.MaxClaimLifetime+clockSlack+1), 1, 1),
	} {
		if got := outcome(apply(t, r, 0, Command{Claim: c})); got != string(zinniatide.CodeBadRequest) {
			t.Errorf("%s: got %s, want bad-request", name, got)
		}
	}
}

// Guards against granting a claim after its coordinator has already reported
// the request as not run.
func TestNotRunResultBeforeClaim(t *testing.T) {
	r, id := New(), fmt.Sprintf("%d-abcdefgh", baseTime+10_000)
	apply(t, r, 0, Command{Result: &zinniatide.ClaimResult{RequestID: zinniatide.RequestID(id), Token: 1, Outcome: zinniatide.OutcomeNotRun}})
	if reply := apply(t, r, 0, Command{Claim: claim(id, 1, 5)}).(zinniatide.ClaimReply); reply.Granted {
		t.Error("the claim was granted after its not-run result")
	}
	if reply := apply(t, r, 0, Command{Claim: claim(id, 2, 5)}).(zinniatide.ClaimReply); !reply.Granted {
		t.Errorf("the next attempt was denied: %+v", reply)
	}
}

// Guards against a claim table that grows beyond its limits, also through the
// bodies of results, and against refusing known ids when the table is full.
func TestClaimTableIsBounded(t *testing.T) {
	r := New()
	r.claims.maxClaims, r.claims.maxBytes = 2, 400
	ids := []string{fmt.Sprintf("%d-aaaaaaaa", baseTime+100), fmt.Sprintf("%d-bbbbbbbb", baseTime+200), fmt.Sprintf("%d-cccccccc", baseTime+300)}
	for i, want := range []string{"true", "true", "overloaded"} {
		result := apply(t, r, 0, Command{Claim: claim(ids[i], 1, 1)})
		got := outcome(result)
		if reply, ok := result.(zinniatide.ClaimReply); ok {
			got = fmt.Sprint(reply.Granted)
		}
		if got != want {
			t.Errorf("claim %d: got %s, want %s", i, got, want)
		}
	}
	big := &zinniatide.ClaimResult{RequestID: zinniatide.RequestID(ids[0]), Token: 1, Outcome: zinniatide.OutcomeDone, Body: make([]byte, 300)}
	apply(t, r, 0, Command{Result: big})
	if reply := apply(t, r, 0, Command{Claim: claim(ids[0], 2, 1)}).(zinniatide.ClaimReply); reply.Outcome != zinniatide.OutcomeDone || len(reply.Body) != 0 {
		t.Errorf("got %+v, want outcome done without the body, which exceeds the limit", reply)
	}
	restore(t, r)
	unknown := &zinniatide.ClaimResult{RequestID: zinniatide.RequestID(ids[1]), Token: 1, Outcome: zinniatide.OutcomeUnknown, Body: []byte("stale")}
	apply(t, r, 0, Command{Result: unknown})
	unknown.Outcome = zinniatide.OutcomeNotRun
	apply(t, r, 0, Command{Result: unknown})
	apply(t, r, 0, Command{Claim: claim(ids[1], 3, 1)})
	apply(t, r, 0, Command{Result: &zinniatide.ClaimResult{RequestID: zinniatide.RequestID(ids[1]), Token: 3, Outcome: zinniatide.OutcomeDone, Body: make([]byte, 300)}})
	if reply := apply(t, r, 0, Command{Claim: claim(ids[1], 4, 1)}).(zinniatide.ClaimReply); len(reply.Body) != 0 {
		t.Errorf("got body %q of an earlier attempt", reply.Body)
	}
	if r.claims.bytes > r.claims.maxBytes {
		t.Errorf("%d bytes are stored, want at most %d", r.claims.bytes, r.claims.maxBytes)
	}
	if reply := apply(t, r, claimRetention+150, Command{Claim: claim(fmt.Sprintf("%d-dddddddd", baseTime+100_000), 1, 1)}).(zinniatide.ClaimReply); !reply.Granted {
		t.Error("a claim was refused although older ones had been dropped")
	}
}

// BenchmarkClaim measures applying a claim and its result.
func BenchmarkClaim(b *testing.B) {
	r := New()
	for i := range b.N {
		c := claim(fmt.Sprintf("%d-%08d", baseTime+10_000, i), 1, 1)
		apply(b, r, zinniatide.Millis(i), Command{Claim: c})
		apply(b, r, zinniatide.Millis(i), Command{Result: &zinniatide.ClaimResult{RequestID: c.RequestID, Token: 1, Outcome: zinniatide.OutcomeDone, Body: []byte("{}")}})
	}
}
