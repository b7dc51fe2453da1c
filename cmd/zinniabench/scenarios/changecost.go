package scenarios

import (
	"fmt"
	"maps"
	"slices"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/compressor"
	"zinniatide.example/zinniatide/encoder"
	"zinniatide.example/zinniatide/platform"
	"zinniatide.example/zinniatide/registrar"
	"zinniatide.example/zinniatide/replicator"
	"zinniatide.example/zinniatide/router"
)

const (
	changeCostChanges    = 20
	changeCostControlVMs = 3
	maxLinkMessage       = 16 << 20
)

var (
	changeCostRoutes = []int{100, 800, 3000}
	changeCostRelays = []int{3, 9, 60}
)

// changeCost measures the CPU time of a change of one route, over all VMs, and its
// share of each step. Links, disks and goroutines are left out. The baseline sends,
// logs and applies whole tables, as all entries were before RoutingEntry.
var changeCost = Scenario{Name: "change-cost", Run: func(e *Env) error {
	for _, routes := range changeCostRoutes {
		whole, err := measureChanges(routes, true)
		if err != nil {
			return err
		}
		changed, err := measureChanges(routes, false)
		if err != nil {
			return err
		}
		var metrics []metric
		for _, step := range slices.Sorted(maps.Keys(changed.micros)) {
			metrics = append(metrics, metric{fmt.Sprintf("cpu-%s-%d-routes", step, routes), "us", whole.micros[step], changed.micros[step]})
		}
		for _, relays := range changeCostRelays {
			metrics = append(metrics, metric{fmt.Sprintf("cpu-per-change-%d-routes-%d-relays", routes, relays), "us", whole.total(relays), changed.total(relays)})
		}
		metrics = append(metrics,
			metric{fmt.Sprintf("entry-%d-routes", routes), "B", whole.entryBytes, changed.entryBytes},
			metric{fmt.Sprintf("to-relay-%d-routes", routes), "B", whole.relayBytes, changed.relayBytes})
		if err := e.reportMetrics("change-cost", metrics); err != nil {
			return err
		}
	}
	return nil
}}

// Steps of a change. All but stepInstall run on control VMs.
const (
	stepDecode  = "decode"  // the operator's document, once
	stepForward = "forward" // comparison, encoding and decoding of the message to the leader, once
	stepPropose = "propose" // check and encoding of the log entry, once
	stepCopy    = "copy"    // encoding for disks and followers, and decoding of the copies
	stepApply   = "apply"   // on all control VMs
	stepInstall = "install" // decoding of the push and compiling of the table, per relay VM
)

// changeCosts are the mean costs of a change.
type changeCosts struct {
	micros                 map[string]float64
	entryBytes, relayBytes float64
}

func (c *changeCosts) total(relays int) float64 {
	sum := c.micros[stepInstall] * float64(relays-1)
	for _, micros := range c.micros {
		sum += micros
	}
	return sum
}

// changeCostHarness applies changes on three control VMs and a relay VM.
type changeCostHarness struct {
	whole         bool
	decoder       platform.RoutingDecoder
	compressor    *compressor.Compressor
	controlVMs    []*registrar.Registrar
	delta         *registrar.Delta // of the last entry
	configuration *zinniatide.Configuration
	costs         changeCosts
}

func measureChanges(routes int, whole bool) (*changeCosts, error) {
	c, err := compressor.New(maxLinkMessage)
	if err != nil {
		return nil, err
	}
	h := &changeCostHarness{whole: whole, compressor: c, configuration: registrar.NewConfiguration()}
	for i := range changeCostControlVMs {
		r := registrar.New()
		if i == 0 {
			r.Observe(func(_ *zinniatide.Configuration, d *registrar.Delta) { h.delta = d })
		}
		h.controlVMs = append(h.controlVMs, r)
	}
	for i := range changeCostChanges + 1 {
		document, err := changeCostDocument(routes, i)
		if err != nil {
			return nil, err
		}
		if i == 1 { // the first change builds the table
			h.costs = changeCosts{micros: map[string]float64{}}
		}
		if err := h.change(document); err != nil {
			return nil, err
		}
	}
	for step := range h.costs.micros {
		h.costs.micros[step] /= changeCostChanges
	}
	h.costs.entryBytes /= changeCostChanges
	h.costs.relayBytes /= changeCostChanges
	return &h.costs, nil
}

// changeCostDocument returns the document of a table in which one route depends on the
// version.
func changeCostDocument(routes, version int) ([]byte, error) {
	r := &zinniatide.Routing{Services: []zinniatide.RelayService{{Service: "s", HealthPath: "/", MaxConnections: 40}}}
	for i := range routes {
		prefix := fmt.Sprintf("/route-%d/", i)
		if i == routes/2 {
			prefix = fmt.Sprintf("/version-%d/", version)
		}
		r.Routes = append(r.Routes, zinniatide.Route{ID: zinniatide.RouteID(prefix), Host: "host.example", PathPrefix: prefix, Timeout: 1000, TargetLatency: 100,
			MaxAttempts: 2, Idempotent: true, Targets: []zinniatide.WeightedService{{Service: "s", Weight: 1}}})
	}
	return platform.EncodeRouting(zinniatide.TicketNumber(version+1), r)
}

// measure adds the CPU time of f to a step.
func (h *changeCostHarness) measure(step string, f func() error) error {
	micros, err := cpuMicrosPerCall(1, func(int) error { return f() })
	if h.costs.micros != nil {
		h.costs.micros[step] += micros
	}
	return err
}

func (h *changeCostHarness) change(document []byte) error {
	next := &registrar.RoutingTable{Document: document}
	if err := h.measure(stepDecode, func() (err error) {
		if h.whole {
			next.Number, next.Table, err = platform.DecodeRouting(document)
		} else {
			next.Number, next.Table, err = h.decoder.Decode(document)
		}
		return err
	}); err != nil {
		return err
	}
	command := &registrar.Command{}
	if err := h.measure(stepForward, func() error { return h.forward(next, command) }); err != nil {
		return err
	}
	var entry []byte
	if err := h.measure(stepPropose, func() (err error) {
		if err := checker.CheckRouting(next.Number, next.Table); err != nil {
			return err
		}
		entry, err = command.Encode()
		return err
	}); err != nil {
		return err
	}
	if err := h.measure(stepCopy, func() error { return h.copyEntry(entry) }); err != nil {
		return err
	}
	if err := h.measure(stepApply, func() error {
		for _, r := range h.controlVMs {
			if reply, ok := r.Apply(1, entry).(zinniatide.TicketReply); !ok || !reply.Accepted {
				return fmt.Errorf("ticket %d was not accepted", next.Number)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	h.costs.entryBytes += float64(len(entry))
	return h.measure(stepInstall, h.install)
}

// forward fills in the command as the leader does with the message of another VM.
func (h *changeCostHarness) forward(next *registrar.RoutingTable, command *registrar.Command) error {
	if err := checker.CheckRouting(next.Number, next.Table); err != nil {
		return err
	}
	if h.whole {
		ticket := &registrar.TicketEntry{Ticket: zinniatide.Ticket{Number: next.Number, Routing: next.Table},
			Digest: checker.RoutingDocumentDigest(next.Document), Document: next.Document}
		command.Ticket = &registrar.TicketEntry{}
		return h.send(ticket, command.Ticket)
	}
	base := h.controlVMs[0].RoutingTable()
	command.Routing = &registrar.RoutingEntry{}
	if err := h.send(registrar.NewRoutingEntry(base, next), command.Routing); err != nil {
		return err
	}
	_, err := command.Routing.Resolve(base)
	return err
}

// copyEntry does the work of a log entry on its way to the disks and the followers.
func (h *changeCostHarness) copyEntry(data []byte) error {
	entry := replicator.Entry{Index: 1, Term: 1, Data: data}
	for range changeCostControlVMs { // disks
		if _, err := encoder.Marshal(entry); err != nil {
			return err
		}
	}
	for range changeCostControlVMs - 1 { // followers
		var copied replicator.Entry
		if err := h.send(entry, &copied); err != nil {
			return err
		}
	}
	return nil
}

// send encodes and decodes a message as a link does.
func (h *changeCostHarness) send(message, received any) error {
	raw, err := encoder.Marshal(message)
	if err != nil {
		return err
	}
	if compressed, ok := h.compressor.Compress(nil, raw); ok {
		if raw, err = h.compressor.Decompress(compressed); err != nil {
			return err
		}
	}
	return encoder.Unmarshal(raw, received)
}

// install does the work of a relay VM.
func (h *changeCostHarness) install() error {
	raw, err := encoder.Marshal(h.delta)
	if err != nil {
		return err
	}
	var delta registrar.Delta
	if err := encoder.Unmarshal(raw, &delta); err != nil {
		return err
	}
	h.configuration = registrar.ApplyDeltas(h.configuration, []registrar.Delta{delta})
	router.New(h.configuration.RoutingNumber, h.configuration.Routing)
	h.costs.relayBytes += float64(len(raw))
	return nil
}
