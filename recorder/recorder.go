// Package recorder sends requests at a constant rate and records their results.
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
	Coverage float64 // coverage ratio of an answered search
	Version  zinniatide.IndexVersion
	Err      error
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	samples []Sample
}

// New returns a recorder without samples.
func New() *Recorder { return new(Recorder) }

// RunOpenLoop calls send with the number of the call, rate times per second at
// even intervals, for the duration. It is an open loop: a call does not wait
// for earlier ones. RunOpenLoop returns when all calls have returned.
func RunOpenLoop(rate float64, duration time.Duration, send func(i int)) {
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	var calls sync.WaitGroup
	for i := range int(duration / interval) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		calls.Add(1)
		go func() {
			defer calls.Done()
			send(i)
		}()
	}
	calls.Wait()
}

// Search sends a search and records the result.
func (r *Recorder) Search(caller *loader.Loader, id string) {
	start := time.Now()
	answer, err := caller.Search(zinniatide.RequestID(id), id)
	s := Sample{Start: start, Latency: time.Since(start), Err: err}
	if err == nil {
		s.Coverage, s.Version = answer.Coverage.Ratio, answer.Version
	}
	r.Add(s)
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// Samples returns a copy of the samples, sorted by start time.
func (r *Recorder) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.samples)
	slices.SortFunc(sorted, func(a, b Sample) int { return a.Start.Compare(b.Start) })
	return sorted
}

// Quantile returns the q-quantile of the latencies of the answered requests, in
// milliseconds, or NaN if there are none.
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

// Count returns the number of samples for which match returns true.
func (r *Recorder) Count(match func(Sample) bool) int {
	n := 0
	for _, s := range r.Samples() {
		if match(s) {
			n++
		}
	}
	return n
}

// Total returns the number of samples.
func (r *Recorder) Total() int { return r.Count(func(Sample) bool { return true }) }

// Failed returns the number of samples with an error, including answers that
// failed verification.
func (r *Recorder) Failed() int { return r.Count(func(s Sample) bool { return s.Err != nil }) }

// CountErrors returns the number of samples whose error is one of targets.
func (r *Recorder) CountErrors(targets ...error) int {
	return r.Count(func(s Sample) bool {
		return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(s.Err, target) })
	})
}

// CoverageMin returns the lowest coverage ratio of the answered requests, or 1 if
// there are none.
func (r *Recorder) CoverageMin() float64 {
	lowest := 1.0
	for _, s := range r.Samples() {
		if s.Err == nil {
			lowest = min(lowest, s.Coverage)
		}
	}
	return lowest
}

// Recovery returns the time in milliseconds from event until requests were
// unaffected again: until the start of the first request after the last affected
// one. A request is affected if it fails or has a coverage below 1. Recovery
// returns 0 if no request after event is affected, and NaN if the last sample
// still is.
func (r *Recorder) Recovery(event time.Time) float64 {
	samples := r.Samples()
	lastAffected := -1
	for i, s := range samples {
		if s.Start.After(event) && (s.Err != nil || s.Coverage < 1) {
			lastAffected = i
		}
	}
	switch {
	case lastAffected < 0:
		return 0
	case lastAffected == len(samples)-1:
		return math.NaN()
	}
	return samples[lastAffected+1].Start.Sub(event).Seconds() * 1000
}

// FirstError returns the error of the earliest failed sample, or nil if there is
// none.
func (r *Recorder) FirstError() error {
	for _, s := range r.Samples() {
		if s.Err != nil {
			return s.Err
		}
	}
	return nil
}
