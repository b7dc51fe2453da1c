// Package recorder sends requests at a steady rate and records their results.
package recorder

import (
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/loader"
)

// Sample is the result of one request.
type Sample struct {
	Start    time.Time
	Latency  time.Duration
	Coverage float64 // of a search that was answered
	Version  zinniatide.IndexVersion
	Err      error
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	samples []Sample
}

// New returns an empty recorder.
func New() *Recorder { return new(Recorder) }

// Pace calls f at rate per second for the duration, evenly spaced and whether
// or not earlier calls have ended, and waits for all of them. F gets the number
// of the call.
func Pace(rate float64, duration time.Duration, f func(i int)) {
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	var calls sync.WaitGroup
	for i := range int(duration / interval) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		calls.Add(1)
		go func() {
			defer calls.Done()
			f(i)
		}()
	}
	calls.Wait()
}

// Search runs one search and records it.
func (r *Recorder) Search(caller *loader.Loader, id string) {
	start := time.Now()
	answer, err := caller.Search(zinniatide.RequestID(id), id)
	s := Sample{Start: start, Latency: time.Since(start), Err: err}
	if err == nil {
		s.Coverage, s.Version = answer.Coverage.Ratio, answer.Version
	}
	r.Add(s)
}

// Add records s.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// Samples returns the samples in the order of their starts.
func (r *Recorder) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.samples)
	slices.SortFunc(sorted, func(a, b Sample) int { return a.Start.Compare(b.Start) })
	return sorted
}

// Quantile returns the latency in milliseconds below which the fraction q of
// the answered requests lies, NaN without any.
func (r *Recorder) Quantile(q float64) float64 {
	var latencies []float64
	for _, s := range r.Samples() {
		if s.Err == nil {
			latencies = append(latencies, s.Latency.Seconds()*1000)
		}
	}
	if len(latencies) == 0 {
		return math.NaN()
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(math.Ceil(q*float64(len(latencies))))-1)]
}

// Count returns the number of samples for which f is true.
func (r *Recorder) Count(f func(Sample) bool) int {
	n := 0
	for _, s := range r.Samples() {
		if f(s) {
			n++
		}
	}
	return n
}

// Total returns the number of samples.
func (r *Recorder) Total() int { return r.Count(func(Sample) bool { return true }) }

// Failed returns the number of requests without an answer.
func (r *Recorder) Failed() int { return r.Count(func(s Sample) bool { return s.Err != nil }) }

// Wrong returns the number of answers that failed one of the given checks.
func (r *Recorder) Wrong(checks ...error) int {
	return r.Count(func(s Sample) bool {
		return slices.ContainsFunc(checks, func(check error) bool { return errors.Is(s.Err, check) })
	})
}

// CoverageMin returns the least coverage of an answered search, 1 without any.
func (r *Recorder) CoverageMin() float64 {
	least := 1.0
	for _, s := range r.Samples() {
		if s.Err == nil {
			least = min(least, s.Coverage)
		}
	}
	return least
}

// Recovery returns the time in milliseconds from an event to the start of the
// first request from which on all are answered with coverage 1. It is 0 when
// nothing suffered, and NaN when the last request still did.
func (r *Recorder) Recovery(event time.Time) float64 {
	samples := r.Samples()
	last := -1
	for i, s := range samples {
		if s.Start.After(event) && (s.Err != nil || s.Coverage < 1) {
			last = i
		}
	}
	switch {
	case last < 0:
		return 0
	case last == len(samples)-1:
		return math.NaN()
	}
	return samples[last+1].Start.Sub(event).Seconds() * 1000
}

// FirstError returns the first error, nil when there was none.
func (r *Recorder) FirstError() error {
	for _, s := range r.Samples() {
		if s.Err != nil {
			return s.Err
		}
	}
	return nil
}
