package zinniatide

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
