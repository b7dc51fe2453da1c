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

// ticketInput files content under a number, or reads whether the number is
// known when content is empty.
type ticketInput struct {
	number  int
	content string // digest
}

// ticketOutput is the content that holds the number, as far as it was told.
type ticketOutput struct {
	holder string
	// unknown is set when the operator got no answer that decides.
	unknown bool
}

// ticketModel is a table of numbers that keep their first content for good.
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
		holder, in, out := state.(string), input.(ticketInput), output.(ticketOutput)
		if in.content == "" {
			return (out.holder == "") == (holder == ""), holder
		}
		if holder == "" {
			holder = in.content
		}
		return out.unknown || out.holder == holder, holder
	},
}

// operators issue ticket operations and record them.
type operators struct {
	w        *world
	t        *testing.T
	random   *rand.Rand
	sequence int64
	history  []porcupine.Operation
	digests  map[string]string // by text
	answers  map[string]int
}

func (o *operators) stamp() int64 {
	o.sequence++
	return o.sequence
}

// issue starts one operation on a random control VM.
func (o *operators) issue(client int) {
	number := 1 + o.random.IntN(8)
	op := porcupine.Operation{ClientId: client, Call: o.stamp(), Return: math.MaxInt64}
	v := o.w.vms[o.w.control[o.random.IntN(len(o.w.control))].VM]
	if o.random.IntN(3) == 0 {
		f := &controlproto.Forward{Operation: controlproto.ForwardTicketStatus, Number: zinniatide.TicketNumber(number)}
		v.controller.route(f, 1000, func(answer controlproto.ForwardReply) {
			switch {
			case answer.Refusal == nil:
				o.record(op, ticketInput{number: number}, ticketOutput{holder: "known"}, "known")
			case answer.Refusal.Code == zinniatide.CodeNotFound:
				o.record(op, ticketInput{number: number}, ticketOutput{}, "not known")
			}
		})
		return
	}
	text := fmt.Sprintf(`{"ticket": %d, "vms": {"v%d-%d": {"state": "leaving"}}}`, number, number, o.random.IntN(3))
	in := ticketInput{number: number, content: o.digests[text]}
	f := &controlproto.Forward{Operation: controlproto.ForwardFileTicket, Ticket: []byte(text)}
	v.controller.route(f, 1000, func(answer controlproto.ForwardReply) { o.filed(op, in, answer.Refusal) })
}

// filed records the answer to a filed ticket. A ticket that was refused with
// not-run is left out: if it holds its number, later answers contradict the
// model.
func (o *operators) filed(op porcupine.Operation, in ticketInput, refusal *controlproto.Refusal) {
	switch {
	case refusal == nil:
		o.record(op, in, ticketOutput{holder: in.content}, "accepted")
	case refusal.Code == zinniatide.CodeTicketConflict:
		for _, digest := range o.digests {
			if strings.Contains(refusal.Message, digest) && digest != in.content {
				o.record(op, in, ticketOutput{holder: digest}, "conflict")
				return
			}
		}
		o.t.Errorf("the conflict %q names no known digest", refusal.Message)
	case refusal.Outcome == zinniatide.OutcomeUnknown:
		op.Input, op.Output = in, ticketOutput{unknown: true}
		o.history = append(o.history, op) // may take effect at any later time
		o.answers["unknown"]++
	default:
		o.answers["not run"]++
	}
}

func (o *operators) record(op porcupine.Operation, in ticketInput, out ticketOutput, answer string) {
	op.Input, op.Output, op.Return = in, out, o.stamp()
	o.history = append(o.history, op)
	o.answers[answer]++
}

// disturb changes the leader, cuts a VM off, or ends such a fault.
func (o *operators) disturb() {
	w := o.w
	switch o.random.IntN(12) {
	case 0:
		w.elect("")
	case 1, 2:
		w.elect(w.control[o.random.IntN(len(w.control))].VM)
	case 3:
		w.isolate(w.control[o.random.IntN(len(w.control))].VM, true)
	case 4, 5:
		for _, c := range w.control {
			w.isolate(c.VM, false)
		}
	case 6:
		w.commitDelay = zinniatide.Millis(1 + o.random.IntN(60))
	}
}

// Guards against a ticket number that is given twice and an acceptance that is
// lost, while operators race through all control VMs under leader changes, cuts,
// lost and repeated messages. The log is a fake; stale reads of the real one
// are the subject of the log keeper's histories.
func TestTicketHistoriesAreLinearizable(t *testing.T) {
	tickets, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	answers := map[string]int{}
	for seed := range uint64(20) {
		w := newWorld(t, 3)
		w.loss, w.duplicate, w.delay = 0.05, 0.1, 30
		o := &operators{w: w, t: t, random: rand.New(rand.NewPCG(seed, 5)), digests: map[string]string{}, answers: answers}
		for number := 1; number <= 8; number++ {
			for content := range 3 {
				text := fmt.Sprintf(`{"ticket": %d, "vms": {"v%d-%d": {"state": "leaving"}}}`, number, number, content)
				_, digest, err := tickets.Decode([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				o.digests[text] = digest.String()
			}
		}
		w.run(500)
		for i := range 80 {
			o.issue(i)
			o.disturb()
			w.run(zinniatide.Millis(o.random.IntN(80)))
		}
		w.run(3000)
		if !porcupine.CheckOperations(ticketModel, o.history) {
			t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(o.history))
		}
	}
	for _, answer := range []string{"accepted", "conflict", "known", "not known", "unknown", "not run"} {
		if answers[answer] == 0 {
			t.Errorf("no operation ended as %q: %v", answer, answers)
		}
	}
	t.Log(answers)
}
