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

// maxLine bounds a line of input, in bytes.
const maxLine = 1 << 20

// Metric is one measured value. Baseline and Value are nil when they do not
// exist.
type Metric struct {
	Scenario string   `json:"scenario"`
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"`
	Value    *float64 `json:"value"`
}

func (m Metric) check() error {
	if m.Scenario == "" || m.Metric == "" {
		return errors.New("scenario and metric must not be empty")
	}
	return nil
}

// Outcomes of a request.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused"
	OutcomeFailed   = "failed"
)

// Request is the result of one request. At is the time since the first request
// of the scenario. Coverage is nil unless the request was answered.
type Request struct {
	Scenario string   `json:"scenario"`
	At       float64  `json:"at-ms"`
	Latency  float64  `json:"latency-ms"`
	Coverage *float64 `json:"coverage"`
	Outcome  string   `json:"outcome"`
}

func (r Request) check() error {
	switch {
	case r.Scenario == "":
		return errors.New("scenario must not be empty")
	case !slices.Contains([]string{OutcomeAnswered, OutcomeRefused, OutcomeFailed}, r.Outcome):
		return fmt.Errorf("outcome %q is not answered, refused or failed", r.Outcome)
	case r.At < 0 || r.At > maxAt || r.Latency < 0:
		return fmt.Errorf("at-ms must be between 0 and %d, latency-ms at least 0", maxAt)
	case r.Outcome == OutcomeAnswered && r.Coverage == nil:
		return errors.New("an answered request needs its coverage")
	}
	return nil
}

// BaselineSuffix marks the requests of a scenario that ran without the policy.
// They are drawn with those of the scenario of the same name without it.
const BaselineSuffix = "-baseline"

// maxAt is a day in ms. It bounds the number of points of a plot.
const maxAt = 24 * 60 * 60 * 1000

// ReadMetrics reads one metric a line. An error names the line.
func ReadMetrics(in io.Reader) ([]Metric, error) { return readLines[Metric](in) }

// ReadSeries reads one request a line. An error names the line.
func ReadSeries(in io.Reader) ([]Request, error) { return readLines[Request](in) }

func readLines[T interface{ check() error }](in io.Reader) ([]T, error) {
	var list []T
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	n := 1
	for ; scanner.Scan(); n++ {
		item, err := readLine[T](scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		list = append(list, item)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", n, err)
	}
	return list, nil
}

func readLine[T interface{ check() error }](data []byte) (T, error) {
	var item T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return item, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return item, errors.New("more than one JSON value")
	}
	return item, item.check()
}
