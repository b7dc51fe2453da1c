package controller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controlproto"
)

// ticketInput is the filing of content under a ticket number or, with empty
// content, a query whether the number is known.
type ticketInput struct {
	number  int
	content string // digest
}

// ticketOutput is the content reported as accepted under the number.
type ticketOutput struct {
	accepted string // digest, or "known" for a query, or empty
	// unknown is set when the operator did not learn the outcome.
	unknown bool
}

// ticketModel is a register per ticket number that keeps its first content.
var ticketModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byNumber := map[int][]porcupine.Operation{}
		for _, op := range history {
			n := op.Input.(ticketInput).number
			byNumber[n] = append(byNumber[n], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byNumber {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		accepted, in, out := state.(string), input.(ticketInput), output.(ticketOutput)
		if in.content == "" {
			return (out.accepted == "") == (accepted == ""), accepted
		}
		if accepted == "" {
			accepted = in.content
		}
		return out.unknown || out.accepted == accepted, accepted
	},
}

// operatorClients issues ticket operations and records their history.
type operatorClients struct {
	sim           *simulation
	t             *testing.T
	random        *rand.Rand
	sequence      int64
	history       []porcupine.Operation
	digests       map[string]string // by text
	outcomeCounts map[string]int
}

func (o *operatorClients) nextTimestamp() int64 {
	o.sequence++
	return o.sequence
}

// issueOperation starts one operation on a random control VM.
func (o *operatorClients) issueOperation(client int) {
	number := 1 + o.random.IntN(8)
	op := porcupine.Operation{ClientId: client, Call: o.nextTimestamp(), Return: math.MaxInt64}
	v := o.sim.vms[o.sim.controlVMs[o.random.IntN(len(o.sim.controlVMs))].VM]
	if o.random.IntN(3) == 0 {
		f := &controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: zinniatide.TicketNumber(number)}
		v.controller.dispatch(f, 1000, func(response controlproto.ForwardReply) {
			switch {
			case response.Refusal == nil:
				o.record(op, ticketInput{number: number}, ticketOutput{accepted: "known"}, "known")
			case response.Refusal.Code == zinniatide.CodeNotFound:
				o.record(op, ticketInput{number: number}, ticketOutput{}, "not known")
			}
		})
		return
	}
	text := fmt.Sprintf(`{"ticket": %d, "vms": {"v%d-%d": {"state": "leaving"}}}`, number, number, o.random.IntN(3))
	in := ticketInput{number: number, content: o.digests[text]}
	f := &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(text)}
	v.controller.dispatch(f, 1000, func(response controlproto.ForwardReply) { o.recordTicketReply(op, in, response.Refusal) })
}

// recordTicketReply records the reply to a filed ticket. A ticket refused with
// not-run is not recorded: if it was accepted nevertheless, later replies
// contradict the model.
func (o *operatorClients) recordTicketReply(op porcupine.Operation, in ticketInput, refusal *controlproto.Refusal) {
	switch {
	case refusal == nil:
		o.record(op, in, ticketOutput{accepted: in.content}, "accepted")
	case refusal.Code == zinniatide.CodeTicketConflict:
		for _, digest := range o.digests {
			if strings.Contains(refusal.Message, digest) && digest != in.content {
				o.record(op, in, ticketOutput{accepted: digest}, "conflict")
				return
			}
		}
		o.t.Errorf("conflict message %q contains no known digest", refusal.Message)
	case refusal.Outcome == zinniatide.OutcomeUnknown:
		op.Input, op.Output = in, ticketOutput{unknown: true}
		o.history = append(o.history, op) // may take effect at any later time
		o.outcomeCounts["unknown"]++
	default:
		o.outcomeCounts["not run"]++
	}
}

func (o *operatorClients) record(op porcupine.Operation, in ticketInput, out ticketOutput, outcome string) {
	op.Input, op.Output, op.Return = in, out, o.nextTimestamp()
	o.history = append(o.history, op)
	o.outcomeCounts[outcome]++
}

// injectFault changes the leader or the commit delay, isolates a control VM, or
// ends the isolations.
func (o *operatorClients) injectFault() {
	sim := o.sim
	switch o.random.IntN(12) {
	case 0:
		sim.setLeader("")
	case 1, 2:
		sim.setLeader(sim.controlVMs[o.random.IntN(len(sim.controlVMs))].VM)
	case 3:
		sim.setIsolated(sim.controlVMs[o.random.IntN(len(sim.controlVMs))].VM, true)
	case 4, 5:
		for _, c := range sim.controlVMs {
			sim.setIsolated(c.VM, false)
		}
	case 6:
		sim.commitDelay = zinniatide.Millis(1 + o.random.IntN(60))
	}
}

// Guards against a ticket number that is accepted with two contents and against
// a lost acceptance, while operators file concurrently through all control VMs
// under leader changes, partitions, and lost and duplicated messages. The log is
// a fake; the tests of package logkeeper cover stale reads of the real one.
func TestTicketHistoriesAreLinearizable(t *testing.T) {
	ticketChecker, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	outcomeCounts := map[string]int{}
	for seed := range uint64(20) {
		sim := newSimulation(t, 3)
		sim.lossRate, sim.duplicateRate, sim.maxDelay = 0.05, 0.1, 30
		o := &operatorClients{sim: sim, t: t, random: rand.New(rand.NewPCG(seed, 5)), digests: map[string]string{}, outcomeCounts: outcomeCounts}
		for number := 1; number <= 8; number++ {
			for content := range 3 {
				text := fmt.Sprintf(`{"ticket": %d, "vms": {"v%d-%d": {"state": "leaving"}}}`, number, number, content)
				_, digest, err := ticketChecker.Decode([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				o.digests[text] = digest.String()
			}
		}
		sim.run(500)
		for i := range 80 {
			o.issueOperation(i)
			o.injectFault()
			sim.run(zinniatide.Millis(o.random.IntN(80)))
		}
		sim.run(3000)
		if !porcupine.CheckOperations(ticketModel, o.history) {
			t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(o.history))
		}
	}
	for _, outcome := range []string{"accepted", "conflict", "known", "not known", "unknown", "not run"} {
		if outcomeCounts[outcome] == 0 {
			t.Errorf("no operation ended as %q: %v", outcome, outcomeCounts)
		}
	}
	t.Log(outcomeCounts)
}
