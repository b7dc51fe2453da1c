package zinniatide

import (
	"fmt"
	"strconv"
	"strings"
)

// minRequestIDSuffix is the minimum length in bytes of the part after the expiry.
// The suffix distinguishes ids with the same expiry.
const minRequestIDSuffix = 8

// ParseRequestExpiry returns the expiry contained in the id of a non-idempotent
// request, in milliseconds since the Unix epoch. The id has the form
// <expiry>-<8 or more characters>. The expiry is a decimal number without leading
// zeros, because otherwise one request could have several ids.
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
