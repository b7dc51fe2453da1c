package scenarios

import (
	"encoding/json"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/reporter"
	"zinniatide.example/zinniatide/recorder"
)

// writeSeries appends one JSON line per request to the time series, in the
// order of the starts. It is called after the load, so that writing does not
// affect the measurement. Without a series it does nothing.
func (e *Env) writeSeries(scenario string, r *recorder.Recorder) error {
	if e.Series == nil {
		return nil
	}
	samples := r.Samples()
	encoder := json.NewEncoder(e.Series)
	for _, s := range samples {
		err := encoder.Encode(reporter.Request{
			Scenario: scenario, At: ms(s.Start.Sub(samples[0].Start)), Latency: ms(s.Latency),
			Coverage: coverageOf(s), Outcome: resultOf(s.Err),
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

// resultOf returns the outcome of a search. Searches are idempotent, so unlike
// outcomeOf it does not tell whether the request may have run.
func resultOf(err error) string {
	switch {
	case err == nil:
		return reporter.OutcomeAnswered
	case stated(err):
		return reporter.OutcomeRefused
	}
	return reporter.OutcomeFailed
}
