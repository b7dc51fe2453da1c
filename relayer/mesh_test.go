package relayer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/retrybudget"
	"zinniatide.example/zinniatide/transporter"
)

// mesh runs the relay processes of several VMs against the servers of a simulation.
// Processes can be killed and started again, links lost and restored.
type mesh struct {
	*simulation
	processes map[zinniatide.VMID]*meshProcess
	started   int // processes started so far
	// latency returns the time that a message needs.
	latency func() zinniatide.Millis
	// exchanges are all exchanges with servers so far.
	exchanges []*meshExchange
	// disorder lets one in so many one-way messages arrive twice, before or after the
	// copy that arrives in order. 0 lets none.
	disorder int
	// sentBytes is the size of all messages between VMs so far, without frame headers.
	sentBytes int
	// messages are all messages between VMs so far, if keepMessages is set.
	keepMessages bool
	messages     [][]byte
}

// recordMessage records a message between VMs.
func (m *mesh) recordMessage(raw []byte) {
	m.sentBytes += len(raw)
	if m.keepMessages {
		m.messages = append(m.messages, raw)
	}
}

// meshProcess is one process of a VM. It implements Links and timer.Timer for its
// Relayer.
type meshProcess struct {
	mesh    *mesh
	vm      zinniatide.VMID
	relayer *Relayer
	links   map[zinniatide.VMID]*meshLink
	dead    bool
	// tamper changes the replies of the process to delegations before they are sent.
	tamper func(*delegationReply)
	// postponed is the work that has become due while the process is frozen.
	frozen    bool
	postponed []func()
}

// meshLink is a connection between two processes. It delivers messages in order.
type meshLink struct {
	closed bool
	calls  []*meshCall
	// lastArrival is when the last message so far arrives.
	lastArrival zinniatide.Millis
}

// meshCall is a call that waits for its reply.
type meshCall struct {
	done  func([]byte, error)
	ended bool
}

func (c *meshCall) end(body []byte, err error) {
	if !c.ended {
		c.ended = true
		c.done(body, err)
	}
}

// newMesh returns a mesh with a running relay VM for each name in zones.
func newMesh(t testing.TB, shards int, zones map[zinniatide.VMID]zinniatide.ZoneID) *mesh {
	t.Helper()
	m := &mesh{simulation: newSimulation(t, shards), processes: map[zinniatide.VMID]*meshProcess{},
		latency: func() zinniatide.Millis { return 1 }}
	m.config.Members = map[zinniatide.VMID]zinniatide.Member{}
	for vm, zone := range zones {
		m.config.Members[vm] = zinniatide.Member{VM: vm, Zone: zone, Relay: true, State: zinniatide.StateIn}
	}
	for _, vm := range sortedKeys(zones) {
		m.start(vm)
	}
	return m
}

// start starts a process of a VM and connects it to the running processes of the
// others.
func (m *mesh) start(vm zinniatide.VMID) *meshProcess {
	m.started++
	p := &meshProcess{mesh: m, vm: vm, links: map[zinniatide.VMID]*meshLink{}}
	d := m.relayer.deps
	d.Timer, d.Links = p, p
	d.NewPool = func(id zinniatide.BackendServerID, _ string, _ int) Pool { return &meshPool{m.servers[id], p} }
	p.relayer = New(Config{VM: vm, Process: zinniatide.ProcessID(m.started), Zone: m.config.Members[vm].Zone,
		Budget: retrybudget.Config{Ratio: 0.2, Slack: 52, Window: 10_000}, RemoteCost: 25, ReplyMargin: 11}, d)
	p.relayer.Update(m.config, m.enrollments)
	m.processes[vm] = p
	for _, other := range sortedKeys(m.processes) {
		if q := m.processes[other]; q != p && !q.dead {
			m.connect(p, q)
		}
	}
	return p
}

// update passes the configuration and the enrollments to all processes.
func (m *mesh) update() {
	for _, vm := range sortedKeys(m.processes) {
		m.processes[vm].relayer.Update(m.config, m.enrollments)
	}
}

// connect replaces the link between two processes.
func (m *mesh) connect(p, q *meshProcess) {
	p.closeLink(q.vm)
	q.closeLink(p.vm)
	l := &meshLink{}
	p.links[q.vm], q.links[p.vm] = l, l
}

// kill ends the process of a VM. Its servers go on with what they have received.
func (m *mesh) kill(vm zinniatide.VMID) {
	p := m.processes[vm]
	p.dead = true
	for peer := range p.links {
		p.closeLink(peer)
	}
}

// closeLink closes the link to a peer and ends the calls that wait on it.
func (p *meshProcess) closeLink(peer zinniatide.VMID) {
	l := p.links[peer]
	if l == nil || l.closed {
		return
	}
	l.closed = true
	for _, c := range l.calls {
		p.mesh.After(1, func() { c.end(nil, zinniatide.ErrLinkLost) })
	}
}

// run runs f on the process, once it is not frozen and unless it is dead.
func (p *meshProcess) run(f func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.postponed = append(p.postponed, f)
	default:
		f()
	}
}

// thaw continues a frozen process.
func (p *meshProcess) thaw() {
	p.frozen = false
	postponed := p.postponed
	p.postponed = nil
	for _, f := range postponed {
		p.run(f)
	}
}

// After implements timer.Timer.
func (p *meshProcess) After(d zinniatide.Millis, f func()) func() {
	return p.mesh.After(d, func() { p.run(f) })
}

// Connected implements Links.
func (p *meshProcess) Connected(peer zinniatide.VMID) bool {
	l := p.links[peer]
	return l != nil && !l.closed
}

// deliver passes a message to the process at the other end of the link.
func (p *meshProcess) deliver(to zinniatide.VMID, oneWay bool, f func(receiver *meshProcess)) error {
	if !p.Connected(to) {
		return zinniatide.ErrNotSent
	}
	l, receiver := p.links[to], p.mesh.processes[to]
	now := p.mesh.clock.Now()
	l.lastArrival = max(l.lastArrival, now+p.mesh.latency())
	arrive := func() {
		if !l.closed {
			receiver.run(func() { f(receiver) })
		}
	}
	p.mesh.After(l.lastArrival-now, arrive)
	if n := p.mesh.disorder; oneWay && n > 0 && p.mesh.random.IntN(n) == 0 {
		p.mesh.After(zinniatide.Millis(p.mesh.random.IntN(maxDisorder)), arrive)
	}
	return nil
}

// maxDisorder is how late or early the second copy of a message arrives, in
// milliseconds after it was sent.
const maxDisorder = 300

// Send implements Links.
func (p *meshProcess) Send(peer zinniatide.VMID, kind zinniatide.MessageKind, body any) error {
	if late, ok := body.(*lateDelegationReply); ok && p.tamper != nil {
		p.tamper(&late.Reply)
	}
	raw, err := encoder.Marshal(body)
	if err != nil {
		return err
	}
	p.mesh.recordMessage(raw)
	return p.deliver(peer, true, func(receiver *meshProcess) {
		if kind == zinniatide.KindGatherCancel {
			receiver.relayer.HandleGatherCancel(p.vm, raw, nil)
		} else {
			receiver.relayer.HandleLateParts(p.vm, raw, nil)
		}
	})
}

// Call implements Links.
func (p *meshProcess) Call(peer zinniatide.VMID, kind zinniatide.MessageKind, body any, timeout zinniatide.Millis, done func([]byte, error)) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		done(nil, err)
		return
	}
	p.mesh.recordMessage(raw)
	c := &meshCall{done: func(body []byte, err error) { p.run(func() { done(body, err) }) }}
	l := p.links[peer]
	if err := p.deliver(peer, false, func(receiver *meshProcess) {
		handle := receiver.relayer.HandleGather
		if kind == zinniatide.KindGatherAttempts {
			handle = receiver.relayer.HandleGatherAttempts
		}
		handle(p.vm, raw, func(value any, err error) {
			if first, ok := value.(*delegationReply); ok && receiver.tamper != nil {
				receiver.tamper(first)
			}
			reply, encodeErr := encoder.Marshal(value)
			p.mesh.recordMessage(reply)
			if encodeErr != nil {
				err = fmt.Errorf("encode reply: %w", encodeErr)
			}
			if receiver.links[p.vm] == l && !l.closed {
				_ = receiver.deliver(p.vm, false, func(*meshProcess) { c.end(reply, err) })
			}
		})
	}); err != nil {
		done(nil, err)
		return
	}
	l.calls = append(l.calls, c)
	p.mesh.After(timeout, func() { c.end(nil, zinniatide.ErrTimeout) })
}

// meshPool is the connection pool of a process to a server. A process that is dead or
// frozen does not take answers.
type meshPool struct {
	*simServer
	process *meshProcess
}

func (p *meshPool) Send(x *transporter.Exchange) {
	p.process.mesh.exchanges = append(p.process.mesh.exchanges, &meshExchange{x, p.process})
	done := x.Done
	x.Done = func(a transporter.Answer) {
		switch {
		case p.process.dead:
		case p.process.frozen:
			a.Body = append([]byte(nil), a.Body...)
			p.process.postponed = append(p.process.postponed, func() {
				p.sim.lock.Lock()
				defer p.sim.lock.Unlock()
				done(a)
			})
		default:
			done(a)
		}
	}
	p.simServer.Send(x)
}

func sortedKeys[V any](m map[zinniatide.VMID]V) []zinniatide.VMID { return slices.Sorted(maps.Keys(m)) }

// meshAnswer is the answer to a request of a mesh, with the stamps of its parts.
type meshAnswer struct {
	process *meshProcess // that took the request
	reply   Reply
	stamps  []string
}

// ask sends a request with an id to the relay process of a VM and returns where its
// answer will be stored.
func (m *mesh) ask(vm zinniatide.VMID, id string) (answer *meshAnswer, cancel func()) {
	answer = &meshAnswer{process: m.processes[vm]}
	req := &Request{ID: id, Host: "h", Path: "/q/x", Head: []byte("GET /q/x HTTP/1.1\r\n"), ArrivedAt: m.clock.Now()}
	cancel = m.processes[vm].relayer.Serve(req, func(reply Reply) {
		answer.reply = reply
		for _, line := range splitLines(string(reply.Header)) {
			if list, ok := strings.CutPrefix(line, "X-Parts: "); ok && list != "" {
				answer.stamps = strings.Split(list, ", ")
			}
		}
	})
	return answer, cancel
}

// partsProblem describes what is wrong with an answer: a part of another request, two
// parts of one shard, fewer parts and missing parts than shards, or a record twice. It
// is empty if nothing is.
func (a *meshAnswer) partsProblem(id string, shards int) string {
	if a.reply.Status != 200 {
		return ""
	}
	seen := map[string]bool{}
	for _, stamp := range a.stamps {
		shard := stamp[:len("shard-00")]
		if seen[shard] || !strings.HasSuffix(stamp, "."+id) {
			return fmt.Sprintf("got stamp %s twice or of another request", stamp)
		}
		seen[shard] = true
	}
	if got, want := len(seen)+a.missing(), shards; got != want {
		return fmt.Sprintf("got %d parts including missing ones, want %d", got, want)
	}
	if hasDuplicateRecord(a.reply.Body) {
		return "got a record twice, want each once"
	}
	return ""
}

func (a *meshAnswer) missing() int {
	var n int
	for _, line := range splitLines(string(a.reply.Header)) {
		if _, err := fmt.Sscanf(line, "X-Missing: %d", &n); err == nil {
			return n
		}
	}
	return 0
}

// checkParts fails the test if something is wrong with the answer.
func (a *meshAnswer) checkParts(t *testing.T, id string, shards int) {
	t.Helper()
	if problem := a.partsProblem(id, shards); problem != "" {
		t.Errorf("request %s: %s", id, problem)
	}
}
