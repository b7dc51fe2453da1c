package controlproto

import (
	"errors"

	"zinniatide.example/zinniatide"
)

// AsRefusal returns the refusal wrapped in err. Any other error becomes
// CodeInternal with OutcomeUnknown, because its effect is not known.
func AsRefusal(err error) *zinniatide.Refusal {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown, Message: err.Error()}
}
