package queuer

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// TestQueue guards against lost, duplicated or misordered requests and against
// exceeding the limit, by comparison with a map of the queued requests.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		q := New[int](limit)
		waiting := map[int]zinniatide.Millis{}
		for value := range rapid.IntRange(1, 60).Draw(t, "steps") {
			deadline := zinniatide.Millis(rapid.IntRange(0, 20).Draw(t, "deadline"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				got, ok := q.PopExpired(deadline)
				checkPopped(t, waiting, got, ok, deadline)
			case 1:
				got, ok := q.Pop()
				checkPopped(t, waiting, got, ok, 1<<40)
			case 2:
				removed := rapid.IntRange(0, value).Draw(t, "removed")
				_, want := waiting[removed]
				delete(waiting, removed)
				if got := q.Remove(removed); got != want {
					t.Fatalf("got removed %v, want %v", got, want)
				}
			default:
				want := len(waiting) < limit
				if got := q.Push(deadline, value); got != want {
					t.Fatalf("got pushed %v with %d waiting", got, len(waiting))
				}
				if want {
					waiting[value] = deadline
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("got length %d, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// checkPopped verifies that got is the oldest of the waiting requests with the
// earliest deadline, and that this deadline is not after latest. It removes got
// from waiting.
func checkPopped(t *rapid.T, waiting map[int]zinniatide.Millis, got int, ok bool, latest zinniatide.Millis) {
	best, found := 0, false
	for value, deadline := range waiting {
		if deadline <= latest && (!found || deadline < waiting[best] || (deadline == waiting[best] && value < best)) {
			best, found = value, true
		}
	}
	if ok != found || got != best {
		t.Fatalf("got %d %v, want %d %v", got, ok, best, found)
	}
	if ok {
		delete(waiting, got)
	}
}
