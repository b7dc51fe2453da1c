package quarantiner

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

// TestMain fixes the seed, so that every run checks the same cases, and checks
// for leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

// Guards against wrong decisions in each state of a fingerprint.
func TestDecisions(t *testing.T) {
	type step struct {
		after       zinniatide.Millis
		op          string // ask, crash, end or complete
		token       uint64
		want        decision
		servers     int
		quarantined bool
	}
	minute := zinniatide.Millis(60 * 1000)
	tests := []struct {
		name  string
		steps []step
	}{
		{"completed", []step{{0, "ask", 1, "canary", 2, false}, {0, "ask", 2, "wait", 0, false}, {5, "complete", 1, "", 0, false}, {0, "ask", 3, "go", 0, false}, {10 * minute, "ask", 4, "canary", 2, false}}},
		{"quarantined", []step{{0, "ask", 1, "canary", 2, false}, {5, "crash", 1, "", 0, false}, {0, "ask", 2, "wait", 0, false}, {5, "crash", 1, "", 0, true}, {9 * minute, "ask", 3, "quarantine", 0, false}, {2 * minute, "ask", 4, "canary", 1, false}, {0, "crash", 4, "", 0, true}}},
		{"one strike, then completed", []step{{0, "ask", 1, "canary", 2, false}, {0, "crash", 1, "", 0, false}, {0, "end", 1, "", 0, false}, {0, "ask", 2, "canary", 1, false}, {0, "complete", 2, "", 0, false}, {0, "ask", 3, "go", 0, false}}},
		{"strikes expire", []step{{0, "ask", 1, "canary", 2, false}, {0, "crash", 1, "", 0, false}, {0, "end", 1, "", 0, false}, {11 * minute, "ask", 2, "canary", 2, false}}},
		{"rack failure during a harmless request", []step{{0, "ask", 1, "canary", 2, false}, {0, "complete", 1, "", 0, false}, {0, "crash", 0, "", 0, false}, {0, "crash", 0, "", 0, false}, {0, "crash", 0, "", 0, false}, {0, "ask", 2, "canary", 1, false}, {0, "complete", 2, "", 0, false}, {0, "ask", 3, "go", 0, false}}},
		// A grant lasts MaxRequestTime + 500 ms.
		{"holder of the grant fails", []step{{0, "ask", 1, "canary", 2, false}, {3600, "ask", 2, "wait", 0, false}, {1000, "ask", 3, "canary", 2, false}, {0, "complete", 1, "", 0, false}, {0, "ask", 4, "wait", 0, false}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := DefaultConfig()
			tab, now := newTable(&c), zinniatide.Millis(1)
			for i, s := range test.steps {
				now += s.after
				switch s.op {
				case "ask":
					if d, servers := tab.decide(now, 9, s.token); d != s.want || servers != s.servers {
						t.Fatalf("step %d: got %s on %d servers, want %s on %d", i, d, servers, s.want, s.servers)
					}
				case "crash":
					if got := tab.recordCrash(now, 9, s.token); got != s.quarantined {
						t.Fatalf("step %d: got quarantined %t, want %t", i, got, s.quarantined)
					}
				default:
					tab.endCanary(now, 9, s.token, s.op == "complete")
				}
			}
		})
	}
}

// Guards against a notice that reduces the servers of a canary to zero, which
// would mean no limit, and against one that ends a quarantine.
func TestNoticesFromOtherVMs(t *testing.T) {
	c := DefaultConfig()
	tests := []struct {
		strikes   int
		remaining zinniatide.Millis
		want      decision
		servers   int
	}{{0, 0, decisionCanary, 2}, {1, 0, decisionCanary, 1}, {2, 0, decisionCanary, 1}, {99, 0, decisionCanary, 1}, {2, 50, decisionQuarantine, 0}, {0, 50, decisionQuarantine, 0}}
	for _, test := range tests {
		tab := newTable(&c)
		tab.decide(1, 9, 1)
		tab.endCanary(1, 9, 1, true)
		tab.mergeNotice(1, 9, test.strikes, test.remaining)
		tab.mergeNotice(1, 9, 0, 0)
		if d, servers := tab.decide(2, 9, 2); d != test.want || servers != test.servers {
			t.Errorf("%d strikes, %d ms: got %s on %d servers, want %s on %d", test.strikes, test.remaining, d, servers, test.want, test.servers)
		}
	}
}

// Guards against any order of events in which a request that crashes every
// server reaches a third one.
func TestNoEventOrderLosesThreeServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		tab, now, lost, next := newTable(&c), zinniatide.Millis(1), 0, uint64(1)
		granted := zinniatide.Millis(0)
		running := map[uint64]int{} // servers that a canary may still reach
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += zinniatide.Millis(rapid.IntRange(0, 3000).Draw(t, "after"))
			token := uint64(rapid.IntRange(1, int(next)).Draw(t, "token"))
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				if d, servers := tab.decide(now, 9, next); d == decisionCanary {
					running, granted = map[uint64]int{next: servers}, now
				} else if d == decisionGo {
					t.Fatal("a fingerprint that never completed needed no canary")
				}
				next++
			case 1:
				// No sub-request lasts longer than MaxRequestTime.
				if running[token] > 0 && now-granted <= zinniatide.MaxRequestTime {
					running[token]--
					lost++
					tab.recordCrash(now, 9, token)
				}
			case 2:
				tab.endCanary(now, 9, token, false)
				delete(running, token)
			}
			if now > c.QuarantineLifetime {
				return
			}
			if lost > 2 {
				t.Fatalf("lost %d servers, want at most 2", lost)
			}
		}
	})
}

// Guards against unbounded growth of the table, and against evicting a
// quarantined fingerprint to limit it.
func TestTableIsBounded(t *testing.T) {
	c := DefaultConfig()
	c.CompletedLimit, c.SuspectLimit = 100, 10
	tab := newTable(&c)
	tab.decide(1, 7, 1)
	tab.recordCrash(1, 7, 1)
	tab.recordCrash(1, 7, 1)
	for i := range 5000 {
		f := zinniatide.Fingerprint(1000 + i)
		tab.decide(2, f, uint64(i+2))
		tab.endCanary(2, f, uint64(i+2), i%2 == 0)
		tab.decide(2, f+100000, uint64(i+2))
	}
	if got := len(tab.young) + len(tab.old); got > c.CompletedLimit {
		t.Errorf("got %d completed fingerprints, want at most %d", got, c.CompletedLimit)
	}
	if got := len(tab.suspects); got > c.SuspectLimit {
		t.Errorf("got %d suspects, want at most %d", got, c.SuspectLimit)
	}
	if d, _ := tab.decide(3, 7, 9); d != decisionQuarantine {
		t.Errorf("got %s for the quarantined fingerprint", d)
	}
}
