package reporter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// maxLineBytes is the maximum length of an input line.
const maxLineBytes = 1 << 20

// Metric is one measured value and its baseline. Each is nil if the scenario has
// no such value.
type Metric struct {
	Scenario string   `json:"scenario"`
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"`
	Value    *float64 `json:"value"`
}

func (m Metric) validate() error {
	if m.Scenario == "" || m.Metric == "" {
		return errors.New("scenario and metric must not be empty")
	}
	return nil
}

// Values of Request.Outcome.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused"
	OutcomeFailed   = "failed"
)

// Request is the result of one request. At is its start relative to the first
// request of the scenario. Coverage is nil unless the request was answered.
type Request struct {
	Scenario string   `json:"scenario"`
	At       float64  `json:"at-ms"`
	Latency  float64  `json:"latency-ms"`
	Coverage *float64 `json:"coverage"`
	Outcome  string   `json:"outcome"`
}

func (r Request) validate() error {
	switch {
	case r.Scenario == "":
		return errors.New("scenario must not be empty")
	case !slices.Contains([]string{OutcomeAnswered, OutcomeRefused, OutcomeFailed}, r.Outcome):
		return fmt.Errorf("outcome %q is not answered, refused or failed", r.Outcome)
	case r.At < 0 || r.At > maxAtMs || r.Latency < 0:
		return fmt.Errorf("at-ms must be between 0 and %d, latency-ms at least 0", maxAtMs)
	case r.Outcome == OutcomeAnswered && r.Coverage == nil:
		return errors.New("an answered request needs its coverage")
	}
	return nil
}

// BaselineSuffix is appended to the scenario name of requests sent without the
// measured policy. They are drawn as the baseline of the scenario without the suffix.
const BaselineSuffix = "-baseline"

// maxAtMs is one day. It limits the number of points of a plot.
const maxAtMs = 24 * 60 * 60 * 1000

// ReadMetrics reads one JSON metric per line. Errors contain the line number.
func ReadMetrics(in io.Reader) ([]Metric, error) { return readLines[Metric](in) }

// ReadSeries reads one JSON request per line. Errors contain the line number.
func ReadSeries(in io.Reader) ([]Request, error) { return readLines[Request](in) }

func readLines[T interface{ validate() error }](in io.Reader) ([]T, error) {
	var list []T
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	lineNumber := 1
	for ; scanner.Scan(); lineNumber++ {
		item, err := readLine[T](scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		list = append(list, item)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", lineNumber, err)
	}
	return list, nil
}

func readLine[T interface{ validate() error }](data []byte) (T, error) {
	var item T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return item, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return item, errors.New("more than one JSON value")
	}
	return item, item.validate()
}
