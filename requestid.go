package zinniatide

import (
	"fmt"
	"strconv"
	"strings"
)

// minRequestIDSuffix is the least length of the part after the expiry. It
// keeps ids of one millisecond apart.
const minRequestIDSuffix = 8

// ParseRequestExpiry returns the expiry that the id of a non-idempotent
// request states, in milliseconds of wall time. The id has the form
// <expiry>-<8 or more characters>; the expiry is a decimal number without
// leading zeros, so that one request has one id.
func ParseRequestExpiry(id RequestID) (Millis, error) {
	prefix, suffix, found := strings.Cut(string(id), "-")
	if !found || len(suffix) < minRequestIDSuffix {
		return 0, fmt.Errorf("request id must have the form <expiry in unix ms>-<%d or more characters>", minRequestIDSuffix)
	}
	expiry, err := strconv.ParseInt(prefix, 10, 64)
	if err != nil || expiry <= 0 || strconv.FormatInt(expiry, 10) != prefix {
		return 0, fmt.Errorf("request id starts with %q instead of its expiry in unix ms", prefix)
	}
	return Millis(expiry), nil
}
