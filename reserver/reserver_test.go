package reserver

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
)

// fixture opens connections and records which were closed.
type fixture struct {
	t *testing.T
	*Reserver
	closed []string
}

func newFixture(t *testing.T, cfg Config) *fixture {
	return &fixture{t: t, Reserver: New(cfg, clock.New(), prometheus.NewRegistry())}
}

func (f *fixture) open(name, peer string) zinniatide.ClientConnection {
	f.t.Helper()
	c, ok := f.Open(peer, func() { f.closed = append(f.closed, name) })
	if !ok {
		f.t.Fatalf("open %s: refused, want room", name)
	}
	return c
}

func (f *fixture) wantClosed(want ...string) {
	f.t.Helper()
	if got, want := fmt.Sprint(f.closed), fmt.Sprint(want); got != want {
		f.t.Errorf("got %s closed, want %s", got, want)
	}
}

// Guards against new callers that are kept out by connections which hold an unfinished
// request, and against closing a connection whose request runs.
func TestOldestUnfinishedMakesRoomForConnection(t *testing.T) {
	f := newFixture(t, Config{MemoryBytes: 1 << 30, Connections: 4})
	running, idle := f.open("running", "a"), f.open("idle", "a")
	idle.Idle()
	if !running.Run() {
		t.Error("got no permission to run, want it")
	}
	f.open("stalled 1", "b")
	f.open("stalled 2", "c")
	f.open("new 1", "d")
	f.open("new 2", "d")
	f.wantClosed("stalled 1", "stalled 2")
}

// Guards against small requests that are closed for the memory of large ones, whichever
// is older, and against a reservation above the limit.
func TestOldestLargeRequestMakesRoomForMemory(t *testing.T) {
	f := newFixture(t, Config{MemoryBytes: 4*ConnectionBytes + 100, Connections: 10})
	f.open("small", "a")
	large1, large2, newer := f.open("large 1", "b"), f.open("large 2", "b"), f.open("newer", "b")
	for _, c := range []zinniatide.ClientConnection{large1, large2} {
		if !c.Reserve(50) {
			t.Fatal("got no memory within the limit, want it")
		}
	}
	if !newer.Reserve(60) {
		t.Error("got no memory, want that of the oldest large request")
	}
	f.wantClosed("large 1")
	if large1.Reserve(1) || large1.Run() {
		t.Error("got memory or permission to run for a closed connection, want none")
	}
}

// Guards against one connection that takes the memory of younger requests: the one that
// has waited longest is refused itself, and may still close idle connections.
func TestOldestRequestIsRefusedItself(t *testing.T) {
	f := newFixture(t, Config{MemoryBytes: 3*ConnectionBytes + 100, Connections: 10})
	oldest, younger, idle := f.open("oldest", "a"), f.open("younger", "a"), f.open("idle", "a")
	idle.Idle()
	if !oldest.Reserve(50) || !younger.Reserve(50) {
		t.Fatal("got no memory within the limit, want it")
	}
	if oldest.Reserve(10) {
		t.Error("got memory for the oldest request, want a refusal")
	}
	f.wantClosed()
	younger.Close()
	if !oldest.Reserve(ConnectionBytes + 60) {
		t.Error("got no memory although an idle connection holds it, want it")
	}
	f.wantClosed("idle")
}

// Guards against idle connections of one caller that are closed because another one has
// opened many.
func TestIdleConnectionsOfLargestSourceMakeRoom(t *testing.T) {
	f := newFixture(t, Config{MemoryBytes: 1 << 30, Connections: 4})
	f.open("few", "a").Idle()
	for i := range 3 {
		f.open(fmt.Sprint("many ", i), "b").Idle()
	}
	f.open("new", "c")
	f.wantClosed("many 0")
}

// Guards against connections above the limit when all of them run requests.
func TestConnectionIsRefusedWhileAllRun(t *testing.T) {
	f := newFixture(t, Config{MemoryBytes: 1 << 30, Connections: 2})
	first, second := f.open("first", "a"), f.open("second", "a")
	first.Run()
	second.Run()
	if _, ok := f.Open("b", func() {}); ok {
		t.Error("got a connection above the limit, want a refusal")
	}
	second.Close()
	second.Close()
	f.open("next", "b")
	f.wantClosed()
}

// Guards against sums that drift from what the connections hold, in random sequences of
// all operations.
func TestSumsMatchConnections(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		cfg := Config{MemoryBytes: 8 * ConnectionBytes, Connections: 6}
		f := newFixture(t, cfg)
		var all []*connection
		for step := range 300 {
			if len(all) == 0 || random.IntN(4) == 0 {
				if c, ok := f.Open(fmt.Sprint(random.IntN(3)), func() {}); ok {
					all = append(all, c.(*connection))
				}
				continue
			}
			c := all[random.IntN(len(all))]
			switch random.IntN(6) {
			case 0:
				c.Begin()
			case 1:
				c.Run()
			case 2:
				c.Idle()
			case 3:
				c.Reserve(random.IntN(2 * ConnectionBytes))
			case 4:
				c.Release(random.IntN(2 * ConnectionBytes))
			default:
				c.Close()
			}
			f.checkSums(seed, step, all)
		}
	}
}

func (f *fixture) checkSums(seed uint64, step int, all []*connection) {
	f.t.Helper()
	bytes, open := int64(0), 0
	for _, c := range all {
		if !c.closed {
			bytes += ConnectionBytes + c.reserved
			open++
		}
		if c.closed && c.element != nil {
			f.t.Fatalf("seed %d, step %d: a closed connection is still listed", seed, step)
		}
	}
	if f.usedBytes != bytes || f.connections != open {
		f.t.Fatalf("seed %d, step %d: got %d bytes and %d connections, want %d and %d", seed, step, f.usedBytes, f.connections, bytes, open)
	}
	if bytes > f.cfg.MemoryBytes || open > f.cfg.Connections {
		f.t.Fatalf("seed %d, step %d: got %d bytes and %d connections, want at most %+v", seed, step, bytes, open, f.cfg)
	}
}

// Guards against limits of zero or below that refuse all callers.
func TestConfigForLowSettings(t *testing.T) {
	for _, descriptors := range []int{-1, 0, 1, 200, 201, 4100} {
		for _, memory := range []int64{-1, 0, 1, 1 << 40} {
			if got := ConfigFor(memory, descriptors); got.Connections < minConnections || got.MemoryBytes < minMemoryBytes {
				t.Errorf("%d bytes, %d descriptors: got %+v, want room for some connections", memory, descriptors, got)
			}
		}
	}
}
