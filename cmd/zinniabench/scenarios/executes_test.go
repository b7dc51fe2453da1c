package scenarios

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

// TestCompareWithRuns guards against missing a request that ran twice, a false
// not-run or an answer without a run.
func TestCompareWithRuns(t *testing.T) {
	tests := []struct {
		name    string
		request executeRecord
		runs    int
		want    executeSummary
		fails   bool
	}{
		{"done once", executeRecord{done: true}, 1, executeSummary{requests: 1, ran: 1}, false},
		{"done after unknown", executeRecord{done: true, unknown: true}, 1, executeSummary{requests: 1, ran: 1}, false},
		{"done twice", executeRecord{done: true}, 2, executeSummary{requests: 1, ran: 1, doubled: 1}, false},
		{"unknown and doubled", executeRecord{unknown: true}, 2, executeSummary{requests: 1, ran: 1, doubled: 1, unknown: 1}, false},
		{"true not-run", executeRecord{}, 0, executeSummary{requests: 1}, false},
		{"false not-run", executeRecord{}, 1, executeSummary{requests: 1, ran: 1, falseNotRun: 1}, false},
		{"unknown and not run", executeRecord{unknown: true}, 0, executeSummary{requests: 1, unknown: 1}, false},
		{"done without a run", executeRecord{done: true}, 0, executeSummary{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.request.id = "id"
			got, err := compareWithRuns([]*executeRecord{&test.request}, map[string]int{"id": test.runs})
			if test.fails != (err != nil) {
				t.Fatalf("got error %v, want one: %v", err, test.fails)
			}
			if err == nil && got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestOutcomeOf guards against counting a lost connection as not-run although the
// request may have run.
func TestOutcomeOf(t *testing.T) {
	tests := []struct {
		err  error
		want zinniatide.Outcome
	}{
		{nil, zinniatide.OutcomeDone},
		{fmt.Errorf("dial: %w", syscall.ECONNREFUSED), zinniatide.OutcomeNotRun},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), zinniatide.OutcomeUnknown},
		{errors.New("timeout"), zinniatide.OutcomeUnknown},
		{&loader.Refusal{Outcome: zinniatide.OutcomeNotRun}, zinniatide.OutcomeNotRun},
		{&loader.Refusal{Outcome: zinniatide.OutcomeUnknown}, zinniatide.OutcomeUnknown},
		{&loader.Refusal{}, zinniatide.OutcomeUnknown},
	}
	for _, test := range tests {
		if got := outcomeOf(test.err); got != test.want {
			t.Errorf("outcome of %v: got %s, want %s", test.err, got, test.want)
		}
	}
}

// TestDisturbanceMs guards against missing a disturbance that affects only the
// coverage or only the latency.
func TestDisturbanceMs(t *testing.T) {
	event := time.Unix(1000, 0)
	at := func(offset, latency time.Duration, coverage float64) recorder.Sample {
		return recorder.Sample{Start: event.Add(offset), Latency: latency, Coverage: coverage}
	}
	tests := []struct {
		name   string
		sample recorder.Sample
		want   float64
	}{
		{"normal", at(time.Second, 10*time.Millisecond, 1), 0},
		{"slow", at(time.Second, 200*time.Millisecond, 1), 1200},
		{"partial", at(time.Second, 10*time.Millisecond, 0.9), 1010},
		{"before the event", at(-time.Second, 200*time.Millisecond, 1), 0},
		{"hit by the next event", at(4900*time.Millisecond, 200*time.Millisecond, 1), 0},
	}
	for _, test := range tests {
		r := recorder.New()
		r.Add(test.sample)
		if got := disturbanceMs(r, event, event.Add(5*time.Second), 100); got != test.want {
			t.Errorf("%s: got %g ms, want %g", test.name, got, test.want)
		}
	}
}
