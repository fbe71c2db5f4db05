package advisory

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const retryAfterField = "Retry-After"

const (
	// MaxPause bounds a pause, so that a mistaken value cannot exclude a server for good.
	MaxPause = 5 * time.Minute
	// MinRateLimit and MaxRateLimit bound the rate limit that a server names, in requests
	// per second. With MinRateLimit it still gets the requests that show when its limit
	// has ended.
	MinRateLimit = 0.1
	MaxRateLimit = 100_000
	// maxDecimalBytes bounds the length of a number.
	maxDecimalBytes = 32
)

// ParseRetryAfter parses the value of a Retry-After field: seconds, which may have a
// fraction, or an HTTP date, which counts from date, the value of the answer's Date
// field, or from now if that is no date. A date that has passed is zero. The result is
// from 0 to MaxPause, and 0 for a malformed value. The error is set for a value that is
// malformed or exceeds MaxPause.
func ParseRetryAfter(value, date string, now time.Time) (time.Duration, error) {
	if seconds, err := parseDecimal(value); err == nil {
		return pauseOf(seconds)
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, errNotADate
	}
	if sent, err := http.ParseTime(date); err == nil {
		now = sent
	}
	return pauseOf(max(at.Sub(now).Seconds(), 0))
}

func pauseOf(seconds float64) (time.Duration, error) {
	if seconds > MaxPause.Seconds() {
		return MaxPause, errOutOfBounds
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseRateLimit parses the requests per second that a server takes. The result is from
// MinRateLimit to MaxRateLimit, and 0 for a malformed value. The error is set for a value
// that is malformed or out of these bounds.
func parseRateLimit(value string) (float64, error) {
	rate, err := parseDecimal(value)
	switch {
	case err != nil:
		return 0, err
	case rate < MinRateLimit:
		return MinRateLimit, errOutOfBounds
	case rate > MaxRateLimit:
		return MaxRateLimit, errOutOfBounds
	}
	return rate, nil
}

// parseDecimal parses a number that consists of digits and at most one point. It may
// exceed the range of float64, in which case it is infinite.
func parseDecimal(value string) (float64, error) {
	value = strings.TrimSpace(value)
	if len(value) > maxDecimalBytes || strings.Trim(value, "0123456789.") != "" {
		return 0, errNotDecimal
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errNotDecimal
	}
	return number, nil
}
