// Package scenarios holds the measurements. Each prints its metrics as JSON
// lines.
package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"zinniatide.example/zinniatide"
)

// Env is what a scenario works with.
type Env struct {
	Out io.Writer
	// Series gets one JSON line per request of the zone scenarios and of
	// straggler. It is nil when no time series is wanted.
	Series io.Writer
	Seed   uint64
	// Pids are the processes of entry VMs that a script has started, Seeds
	// their addresses, and Counts the address of the stand-ins' counts. Only
	// scenarios that measure processor time need them.
	Pids   []int
	Seeds  []string
	Counts string
	// Members is the address of the process that hosts followers and members.
	Members string
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// Processes is set when a script starts the measured processes.
	Processes bool
	// Members is set when a script starts a host of followers and members.
	Members bool
	Run     func(*Env) error
}

// line is the output of one metric.
type line struct {
	Scenario string   `json:"scenario"`
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"`
	Value    *float64 `json:"value"`
}

// none marks a value that does not exist. It is printed as null.
var none = math.NaN()

func optional(v float64) *float64 {
	if math.IsNaN(v) {
		return nil
	}
	rounded := math.Round(v*1000) / 1000
	return &rounded
}

// report prints one metric.
func (e *Env) report(scenario, metric, unit string, baseline, value float64) error {
	err := json.NewEncoder(e.Out).Encode(line{
		Scenario: scenario, Metric: metric, Unit: unit, Baseline: optional(baseline), Value: optional(value),
	})
	return zinniatide.WrapStep(err, "print metric", scenario)
}

// metric is one line to report.
type metric struct {
	name, unit      string
	baseline, value float64
}

func (e *Env) reportAll(scenario string, metrics []metric) error {
	for _, m := range metrics {
		if err := e.report(scenario, m.name, m.unit, m.baseline, m.value); err != nil {
			return err
		}
	}
	return nil
}

// All returns every scenario.
func All() []Scenario {
	return []Scenario{
		steady, straggler, coldStart, turnedCold, zoneOutIn, leavingServer, zoneLoss, propagation,
		entryLoss, resend, queryOfDeath, controlPartition,
		leaderLoss, catchUp, overload, versionChange, repartition,
		silentConnection, combined, plannedStop,
		capacitySessions, capacityChanges, capacityCatalog, capacityConfiguration, capacityClaims, capacityLinks,
		capacityMessages, capacityQueries,
	}
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	all := All()
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	if i := slices.Index(names, name); i >= 0 {
		return all[i], nil
	}
	return Scenario{}, fmt.Errorf("scenario %q is not one of %s", name, strings.Join(names, ", "))
}
