package transporter

import (
	"strconv"
	"strings"
)

// Bounds of the figures of the load header. Figures outside are ignored.
const (
	// maxQueueLength is far above what a server can hold in memory.
	maxQueueLength = 1 << 20
	// minWorkTime and maxWorkTime are a tenth and a hundred times of the usual time: a
	// server that is slower misses any deadline.
	minWorkTime, maxWorkTime = 10.0, 10_000.0
)

// parseLoad returns the second and the fourth of the comma-separated figures of the
// load header: the length of the queue, or -1 if it is invalid, and how long work
// takes (100: as usual), or 0 if it is invalid or absent. valid reports whether neither
// was invalid.
func parseLoad(load string) (queue int, workTime float64, valid bool) {
	parts := strings.SplitN(load, ",", 5)
	if len(parts) != 3 && len(parts) != 4 {
		return -1, 0, false
	}
	valid = true
	queue, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || queue < 0 || queue > maxQueueLength {
		queue, valid = -1, false
	}
	if len(parts) == 4 {
		workTime = parseWorkTime(strings.TrimSpace(parts[3]))
		valid = valid && workTime > 0
	}
	return queue, workTime, valid
}

// parseWorkTime returns a decimal number within its bounds, or 0.
func parseWorkTime(s string) float64 {
	for _, c := range s {
		if (c < '0' || c > '9') && c != '.' {
			return 0 // ParseFloat also reads signs, exponents, hexadecimal digits and words
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v < minWorkTime || v > maxWorkTime {
		return 0
	}
	return v
}
