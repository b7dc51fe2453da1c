package scenarios

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/recorder"
)

// TestWriteSeries guards against a time series that the reporter cannot read, and
// against unanswered requests that are recorded as answered.
func TestWriteSeries(t *testing.T) {
	start, r := time.Unix(100, 0), recorder.New()
	r.Add(recorder.Sample{Start: start.Add(20 * time.Millisecond), Latency: time.Second, Err: errors.New("timeout")})
	r.Add(recorder.Sample{Start: start, Latency: 5 * time.Millisecond, Coverage: 0.5})
	r.Add(recorder.Sample{Start: start.Add(30 * time.Millisecond), Err: &loader.Refusal{}})
	var out bytes.Buffer
	if err := (&Env{Series: &out}).writeSeries("zone-loss", r); err != nil {
		t.Fatal(err)
	}
	got, err := reporter.ReadSeries(&out)
	if err != nil {
		t.Fatal(err)
	}
	half := 0.5
	want := []reporter.Request{
		{Scenario: "zone-loss", At: 0, Latency: 5, Coverage: &half, Outcome: reporter.OutcomeAnswered},
		{Scenario: "zone-loss", At: 20, Latency: 1000, Outcome: reporter.OutcomeFailed},
		{Scenario: "zone-loss", At: 30, Outcome: reporter.OutcomeRefused},
	}
	if len(got) != len(want) {
		t.Fatalf("got %d requests, want %d", len(got), len(want))
	}
	for i := range want {
		if (got[i].Coverage == nil) != (want[i].Coverage == nil) || got[i].Coverage != nil && *got[i].Coverage != half {
			t.Errorf("request %d: got coverage %v, want %v", i, got[i].Coverage, want[i].Coverage)
		}
		got[i].Coverage, want[i].Coverage = nil, nil
		if got[i] != want[i] {
			t.Errorf("request %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}
