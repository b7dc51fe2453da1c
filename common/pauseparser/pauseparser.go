// Package pauseparser parses the pause that a backend server asks for when it turns
// a request away.
package pauseparser

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"zinniatide.example/zinniatide"
)

// Bounds of a pause.
const (
	// Unclear applies to a value that is negative or cannot be read.
	Unclear zinniatide.Millis = 1000
	// Longest is the longest pause.
	Longest zinniatide.Millis = 10 * 60 * 1000
)

// Parse returns the pause that a Retry-After header asks for in seconds, rounded up
// to milliseconds, or 0 if the value is empty or asks for none.
func Parse(value string) zinniatide.Millis {
	if value == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds < 0 {
		return Unclear
	}
	return zinniatide.Millis(math.Ceil(min(seconds*1000, float64(Longest))))
}
