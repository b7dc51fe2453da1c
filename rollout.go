package zinniatide

import "math"

// ServerVersion is the version of the software that a backend server runs.
type ServerVersion string

// RolloutState is the state of a Rollout.
type RolloutState string

const (
	// RolloutRunning means that the share of the target version is being raised.
	RolloutRunning RolloutState = "running"
	// RolloutComplete means that all requests go to the target version.
	RolloutComplete RolloutState = "complete"
	// RolloutRolledBack means that the target version was bad and gets no requests.
	RolloutRolledBack RolloutState = "rolled-back"
)

// Rollout moves the requests of a service to the backend servers of another
// version.
type Rollout struct {
	Service ServiceID     `json:"service"`
	Target  ServerVersion `json:"target"`
	// Previous is the version that served when the rollout began. It is empty if it was
	// not known.
	Previous ServerVersion `json:"previous,omitempty"`
	// Ramp is the time within which all requests should have been moved.
	Ramp  Millis       `json:"ramp-ms"`
	State RolloutState `json:"state"`
	// Share is the fraction of the requests that goes to the target version, from 0 to
	// 1. It is 1 in a complete rollout and 0 in one that was rolled back.
	Share float64 `json:"share"`
	// StartedAt is when the rollout was accepted, by the clock of the log.
	StartedAt Millis `json:"started-at-ms"`
	// Number identifies the rollout: the epoch at which it was accepted.
	Number Epoch `json:"number"`
}

// RolloutOperator serves the operators of rollouts on any control VM.
type RolloutOperator interface {
	// StartRollout starts a rollout, or acknowledges it if the last rollout of the
	// service is the same. The error is a *Refusal: CodeNotFound for an unknown
	// service, CodeInProgress while a rollout to another version is running.
	StartRollout(service ServiceID, target ServerVersion, ramp, timeout Millis) error
	// Rollout returns the last rollout of a service. The error has CodeNotFound if there
	// was none.
	Rollout(service ServiceID, timeout Millis) (Rollout, error)
}

// RolloutReport are the results of one rollout on a relay VM since the rollout began or
// the process started. All counts are cumulative.
type RolloutReport struct {
	Service ServiceID `cbor:"1,keyasint"`
	Number  Epoch     `cbor:"2,keyasint"`
	// Requests counts the requests to the service, without hedges and retries.
	Requests uint64 `cbor:"3,keyasint"`
	// Diverted counts the requests that were to be sent to the target version but went to
	// the old one, because no server of the target version could take them.
	Diverted uint64 `cbor:"4,keyasint,omitempty"`
	// TargetAvailable is set if a server of the target version may get requests.
	TargetAvailable bool `cbor:"5,keyasint,omitempty"`
	// OldInFlight is the number of requests that are now in flight at servers of other
	// versions than the target.
	OldInFlight int             `cbor:"6,keyasint,omitempty"`
	Routes      []RolloutCounts `cbor:"7,keyasint,omitempty"`
	// Age is how long the process has known the rollout, by its monotonic clock. It tells a
	// new leader when the rollout began, also if wall clocks were stepped.
	Age Millis `cbor:"8,keyasint,omitempty"`
}

// RolloutReports is the body of KindRolloutReport.
type RolloutReports struct {
	Process ProcessID `cbor:"1,keyasint"`
	// Epoch is the configuration that is installed on the VM.
	Epoch Epoch `cbor:"2,keyasint"`
	// Sequence orders the reports of a process.
	Sequence uint64          `cbor:"3,keyasint"`
	Reports  []RolloutReport `cbor:"4,keyasint"`
}

// RolloutCounts are the results of the requests of one route.
type RolloutCounts struct {
	Route  RouteID           `cbor:"1,keyasint"`
	Old    RolloutSideCounts `cbor:"2,keyasint"`
	Target RolloutSideCounts `cbor:"3,keyasint"`
}

// RolloutSideCounts are the results of requests to the servers of one side.
type RolloutSideCounts struct {
	// Sent counts all sends: first sends, hedges and retries.
	Sent     uint64 `cbor:"1,keyasint,omitempty"`
	Failures uint64 `cbor:"2,keyasint,omitempty"`
	// Latencies counts the successful responses of warm servers by LatencyBucket. Trailing
	// zeros may be left out.
	Latencies []uint64 `cbor:"3,keyasint,omitempty"`
	// ColdSuccesses counts the successful responses of cold servers.
	ColdSuccesses uint64 `cbor:"4,keyasint,omitempty"`
}

// RolloutLatencyBuckets is the number of buckets of a latency histogram. They reach to
// 46 s, longer than the timeout of a route.
const RolloutLatencyBuckets = 32

// LatencyBucket returns the bucket of a latency. The buckets grow by a factor of the
// square root of 2: bucket i holds latencies up to 2^(i/2) ms.
func LatencyBucket(latency Millis) int {
	if latency <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(latency)))), RolloutLatencyBuckets-1)
}

const (
	// minRolloutReportInterval is short against the rollback_ms of 5,000 and the part of
	// a second in which a raised share may turn out to be bad.
	minRolloutReportInterval Millis = 200
	maxRolloutReportInterval Millis = 1500
	// rolloutMessagesPerMillisecond bounds the messages that the leader gets, and
	// rolloutReportsPerMillisecond the reports on a rollout in them. A report on two
	// routes takes 5 us to decode and record: 10,000 per second take 5% of a core.
	rolloutMessagesPerMillisecond = 1
	rolloutReportsPerMillisecond  = 10
)

// RolloutReportInterval returns the time between two reports of a relay VM if there are
// so many of them and so many running rollouts.
func RolloutReportInterval(relays, running int) Millis {
	interval := max(relays/rolloutMessagesPerMillisecond, relays*running/rolloutReportsPerMillisecond)
	return min(max(Millis(interval), minRolloutReportInterval), maxRolloutReportInterval)
}
