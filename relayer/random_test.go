package relayer

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/transporter"
)

// meshExchange is an exchange of a process with a server.
type meshExchange struct {
	*transporter.Exchange
	process *meshProcess
}

// randomRun plays one random history on a mesh.
type randomRun struct {
	*mesh
	t        *testing.T
	rt       *rapid.T
	shards   int
	answers  map[string]*meshAnswer
	cancels  map[string]func()
	left     map[string]bool
	statuses map[string]int // of requests that may run once
	// troubledAt is when a link or process was last disturbed.
	troubledAt zinniatide.Millis
	requests   int
}

// Guards against parts of other requests, parts on more servers than allowed, requests
// that run twice, work that goes on for clients that have left, and records that stay,
// in random histories of kills, restarts, freezes, lost links, repeated and overtaking
// messages, clients that leave, and servers that hang, refuse, fail and crash.
func TestRandomHistories(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) { playRandomHistory(t, rt) })
}

func playRandomHistory(t *testing.T, rt *rapid.T) {
	const shards = 5
	zones := map[zinniatide.VMID]zinniatide.ZoneID{}
	for i := range rapid.IntRange(3, 7).Draw(rt, "vms") {
		zones[zinniatide.VMID(fmt.Sprint("vm", i))] = zinniatide.ZoneID([]string{"a", "b", "c"}[i%3])
	}
	r := &randomRun{mesh: newMesh(t, shards, zones), t: t, rt: rt, shards: shards, answers: map[string]*meshAnswer{},
		cancels: map[string]func(){}, left: map[string]bool{}, statuses: map[string]int{}, troubledAt: -10_000}
	r.latency = func() zinniatide.Millis { return 1 + zinniatide.Millis(r.random.IntN(4)) }
	r.disorder = 4
	r.config.Routing.Routes[0].MinCoverage = 0.6
	r.config.RoutingNumber++
	for i := range r.enrollments {
		if e := &r.enrollments[i]; e.Service != "plain" {
			e.Zone = zinniatide.ZoneID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone of a server"))
		}
	}
	r.update()
	rt.Repeat(map[string]func(*rapid.T){
		"ask":     r.ask,
		"ask two": func(rt *rapid.T) { r.ask(rt); r.ask(rt) },
		"order":   r.order,
		"leave":   r.leave,
		"wait": func(rt *rapid.T) {
			r.run(r.clock.Now() + zinniatide.Millis(rapid.IntRange(1, 300).Draw(rt, "wait")))
		},
		"kill or start": r.killOrStart,
		"freeze":        r.freezeOrThaw,
		"cut":           r.cutOrRestore,
		"server":        r.disturbServer,
	})
	r.end()
}

func (r *randomRun) vm(rt *rapid.T) *meshProcess {
	return r.processes[rapid.SampledFrom(sortedKeys(r.processes)).Draw(rt, "vm")]
}

func (r *randomRun) ask(rt *rapid.T) {
	p := r.vm(rt)
	if p.dead || p.frozen {
		return
	}
	r.requests++
	id := fmt.Sprint("q", r.requests)
	r.answers[id], r.cancels[id] = r.mesh.ask(p.vm, id)
}

// order sends a request that may run once.
func (r *randomRun) order(rt *rapid.T) {
	p := r.vm(rt)
	if p.dead || p.frozen {
		return
	}
	r.requests++
	id := fmt.Sprint("o", r.requests)
	req := &Request{ID: id, Host: "h", Path: "/once/x", Head: []byte("POST /once/x HTTP/1.1\r\n"), ArrivedAt: r.clock.Now(), Timeout: 400}
	p.relayer.Serve(req, func(reply Reply) { r.statuses[id] = reply.Status })
}

// leave lets the client of a request without an answer leave. Half a second later no
// server may work for it, unless a link or process was disturbed in the meantime.
func (r *randomRun) leave(rt *rapid.T) {
	var open []string
	for _, id := range sortedNames(r.answers) {
		if r.answers[id].reply.Status == 0 && !r.left[id] && r.askedOf(id) != nil {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	id, now := rapid.SampledFrom(open).Draw(rt, "client"), r.clock.Now()
	r.left[id] = true
	r.cancels[id]()
	if r.troubledAt > now-1500 {
		return
	}
	r.After(500, func() {
		if r.troubledAt >= now {
			return
		}
		for _, x := range r.exchanges {
			if x.RequestID == id && !x.process.dead {
				// Done is called only if the exchange is still open.
				x.Done = func(transporter.Answer) {
					r.rt.Fatalf("request %s: a server works on half a second after its client has left", id)
				}
				x.Finish(transporter.Answer{Result: transporter.ConnectionLost, QueueLength: -1})
			}
		}
	})
}

// askedOf returns the process that took a request, or nil if it is dead or frozen.
func (r *randomRun) askedOf(id string) *meshProcess {
	if p := r.answers[id].process; !p.dead && !p.frozen {
		return p
	}
	return nil
}

func (r *randomRun) killOrStart(rt *rapid.T) {
	p := r.vm(rt)
	r.troubledAt = r.clock.Now()
	if p.dead {
		r.start(p.vm)
		return
	}
	r.kill(p.vm)
	if rapid.Bool().Draw(rt, "start at once") {
		r.start(p.vm)
	}
}

func (r *randomRun) freezeOrThaw(rt *rapid.T) {
	p := r.vm(rt)
	r.troubledAt = r.clock.Now()
	switch {
	case p.dead:
	case p.frozen:
		p.thaw()
	default:
		p.frozen = true
	}
}

func (r *randomRun) cutOrRestore(rt *rapid.T) {
	p, q := r.vm(rt), r.vm(rt)
	if p == q || p.dead || q.dead {
		return
	}
	r.troubledAt = r.clock.Now()
	if p.Connected(q.vm) && rapid.Bool().Draw(rt, "stay cut") {
		p.closeLink(q.vm)
		q.closeLink(p.vm)
		return
	}
	r.connect(p, q)
}

func (r *randomRun) disturbServer(rt *rapid.T) {
	ids := make([]zinniatide.BackendServerID, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s := r.servers[rapid.SampledFrom(ids).Draw(rt, "server")]
	s.fault, s.unreachable = nil, false
	s.drawWorkTime = func() zinniatide.Millis { return 8 + zinniatide.Millis(r.random.IntN(14)) }
	switch rapid.SampledFrom([]string{"sound", "slow", "hangs", "refuses", "fails", "crashes", "unreachable"}).Draw(rt, "fault") {
	case "slow":
		s.drawWorkTime = func() zinniatide.Millis { return 150 }
	case "hangs":
		s.fault = func() (transporter.Result, int) { return transporter.DeadlineExceeded, 0 }
	case "refuses":
		s.fault = func() (transporter.Result, int) { return transporter.NotRun, 503 }
	case "fails":
		s.fault = func() (transporter.Result, int) { return transporter.Answered, 500 }
	case "crashes":
		s.fault = func() (transporter.Result, int) { return transporter.ConnectionLost, 0 }
	case "unreachable":
		s.unreachable = true
	}
}

// end waits until all deadlines have passed and checks what must always hold.
func (r *randomRun) end() {
	for _, vm := range sortedKeys(r.processes) {
		r.processes[vm].thaw()
	}
	r.run(r.clock.Now() + 10_000)
	runs := map[string]int{}
	for _, s := range r.servers {
		service := string(s.id[:len(s.id)-1]) // without the zone of a shard's server
		for id, n := range s.runCounts {
			if id[0] == 'o' {
				service = ""
			}
			runs[id+"/"+service] += n
		}
	}
	for part, n := range runs {
		most := 2
		if part[0] == 'o' {
			most = 1
		}
		if n > most {
			r.rt.Fatalf("%s ran %d times, want at most %d", part, n, most)
		}
	}
	for id, status := range r.statuses {
		if n := runs[id+"/"]; status == 503 && n > 0 {
			r.rt.Fatalf("%s was refused as not run and ran %d times", id, n)
		}
	}
	for id, a := range r.answers {
		if problem := a.partsProblem(id, r.shards); problem != "" {
			r.rt.Fatalf("request %s: %s", id, problem)
		}
	}
	for vm, p := range r.processes {
		if got := len(p.relayer.delegatedGathers) + len(p.relayer.delegations) + len(p.relayer.openRequests); !p.dead && got != 0 {
			r.rt.Fatalf("%s: got %d records at the end, want 0", vm, got)
		}
	}
}

func sortedNames(m map[string]*meshAnswer) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
