package scenarios

import (
	"encoding/json"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/recorder"
)

// writeSeries appends one JSON line per request to the time series, ordered by
// start time. It is called after the load so that writing does not affect the
// measurement. It does nothing if Env.Series is nil.
func (e *Env) writeSeries(scenario string, r *recorder.Recorder) error {
	if e.Series == nil {
		return nil
	}
	samples := r.Samples()
	encoder := json.NewEncoder(e.Series)
	for _, s := range samples {
		err := encoder.Encode(reporter.Request{
			Scenario: scenario, At: ms(s.Start.Sub(samples[0].Start)), Latency: ms(s.Latency),
			Coverage: coverageOf(s), Outcome: searchOutcome(s.Err),
		})
		if err != nil {
			return zinniatide.WrapStep(err, "write time series", scenario)
		}
	}
	return nil
}

func coverageOf(s recorder.Sample) *float64 {
	if s.Err != nil {
		return nil
	}
	return &s.Coverage
}

// searchOutcome returns the outcome of a search. Unlike outcomeOf, it does not tell
// whether the request may have run, which is irrelevant for idempotent requests.
func searchOutcome(err error) string {
	switch {
	case err == nil:
		return reporter.OutcomeAnswered
	case isRefusal(err):
		return reporter.OutcomeRefused
	}
	return reporter.OutcomeFailed
}
