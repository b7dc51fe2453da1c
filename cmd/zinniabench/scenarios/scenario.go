// Package scenarios implements the measurements of zinniabench. Each scenario
// prints one JSON line per metric.
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

// Env holds the inputs and outputs of a scenario.
type Env struct {
	Out io.Writer
	// Series receives one JSON line per request of the scenarios zone-out-in,
	// leaving-server, zone-loss and straggler. If it is nil, no time series is
	// written.
	Series io.Writer
	// Seed initializes the random number generators.
	Seed uint64
	// EntryPIDs and EntryAddresses are the process IDs and HTTP addresses of the
	// entry VMs that a script started. CountsAddress serves the request counts of
	// the emulated backend servers. Only scenarios with NeedsProcesses use them.
	EntryPIDs      []int
	EntryAddresses []string
	CountsAddress  string
	// MembersAddress is the address of a members.Host process. Only scenarios with
	// NeedsMembers use it.
	MembersAddress string
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// NeedsProcesses tells that a script must start the measured VMs and backend
	// servers as processes.
	NeedsProcesses bool
	// NeedsMembers tells that a script must start a members.Host process.
	NeedsMembers bool
	Run          func(*Env) error
}

// metricLine is the JSON form of a metric.
type metricLine struct {
	Scenario string   `json:"scenario"`
	Metric   string   `json:"metric"`
	Unit     string   `json:"unit"`
	Baseline *float64 `json:"baseline"`
	Value    *float64 `json:"value"`
}

// noValue stands for a missing baseline or value. It is encoded as null.
var noValue = math.NaN()

// jsonValue rounds v to 3 decimals. It returns nil for noValue.
func jsonValue(v float64) *float64 {
	if math.IsNaN(v) {
		return nil
	}
	rounded := math.Round(v*1000) / 1000
	return &rounded
}

// reportMetric prints one metric.
func (e *Env) reportMetric(scenario, metric, unit string, baseline, value float64) error {
	err := json.NewEncoder(e.Out).Encode(metricLine{
		Scenario: scenario, Metric: metric, Unit: unit, Baseline: jsonValue(baseline), Value: jsonValue(value),
	})
	return zinniatide.WrapStep(err, "print metric", scenario)
}

// metric is one measured value, and its baseline or noValue.
type metric struct {
	name, unit      string
	baseline, value float64
}

func (e *Env) reportMetrics(scenario string, metrics []metric) error {
	for _, m := range metrics {
		if err := e.reportMetric(scenario, m.name, m.unit, m.baseline, m.value); err != nil {
			return err
		}
	}
	return nil
}

// All returns all scenarios in the order of zinniabench list.
func All() []Scenario {
	return []Scenario{
		steady, straggler, coldStart, turnedCold, zoneOutIn, leavingServer, zoneLoss, propagation,
		entryLoss, resend, queryOfDeath, controlPartition,
		leaderLoss, catchUp, overload, contention, versionChange, repartition,
		silentConnection, combined, plannedStop, changeCost,
		capacitySessions, capacityChanges, capacityCatalog, capacityConfiguration, capacityClaims, capacityLinks,
		capacityMessages, capacityQueries,
	}
}

// Find returns the scenario with the given name, or an error that lists the
// known names.
func Find(name string) (Scenario, error) {
	all := All()
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	if i := slices.Index(names, name); i >= 0 {
		return all[i], nil
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q; want one of %s", name, strings.Join(names, ", "))
}
