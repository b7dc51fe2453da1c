package controlproto

import (
	"errors"

	"zinniatide.example/zinniatide"
)

// AsRefusal returns the refusal within err. Any other error becomes
// CodeInternal with OutcomeUnknown, because nothing is known about its effect.
func AsRefusal(err error) *zinniatide.Refusal {
	var refusal *zinniatide.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &zinniatide.Refusal{Code: zinniatide.CodeInternal, Outcome: zinniatide.OutcomeUnknown, Message: err.Error()}
}
