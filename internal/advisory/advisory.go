// Package advisory holds what backend servers state about themselves in the heads of
// their answers, such as that they stop soon or want a pause. A State keeps it for one
// incarnation of a server. Nothing here blocks or reads a clock.
package advisory

import (
	"net/http"
	"strconv"
	"time"
)

// Advisory is what the head of one answer states about the server that sent it. The
// zero value states nothing.
type Advisory struct {
	// Leaving is true when the server stops soon and wants no further requests.
	Leaving bool
	// Pause is how long the server wants no requests from this instance, at most
	// MaxPause. Zero means that it asked for no pause.
	Pause time.Duration
	// RateLimit is the number of requests per second that the server takes from all
	// instances together, from MinRateLimit to MaxRateLimit. Zero means that it names no
	// limit.
	RateLimit float64
	// Err is a *FieldError for a field that was left out or bounded. Nil means that
	// there was none.
	Err error
}

// leavingPause is the pause of a server that leaves and whose restart would go unnoticed.
const leavingPause = time.Minute

// WithoutIncarnation returns the advisory of a server whose restarts cannot be detected. A
// statement that it leaves would hold for its successor too, so it counts as a pause.
func (a Advisory) WithoutIncarnation() Advisory {
	if a.Leaving {
		a.Leaving, a.Pause = false, max(a.Pause, leavingPause)
	}
	return a
}

// Fields are the names of the header fields that differ between protocols.
type Fields struct {
	// Leaving is the name of the field in which a server states that it stops soon.
	Leaving string
	// RateLimit is the name of the field in which a server names the requests per second
	// that it takes from all instances together.
	RateLimit string
}

// Read reads an answer's head, informational answers included. now is the time of day,
// which matters only for dates in answers without a date of their own.
func Read(f Fields, status int, h http.Header, now time.Time) Advisory {
	var a Advisory
	for _, value := range h.Values(f.Leaving) {
		leaving, err := strconv.ParseBool(value)
		a.Leaving = a.Leaving || leaving
		a.report(f.Leaving, value, err)
	}
	for _, value := range h.Values(f.RateLimit) {
		limit, err := parseRateLimit(value)
		if a.RateLimit == 0 || limit > 0 && limit < a.RateLimit {
			a.RateLimit = limit
		}
		a.report(f.RateLimit, value, err)
	}
	if status != http.StatusServiceUnavailable {
		return a
	}
	for _, value := range h.Values(retryAfterField) {
		pause, err := ParseRetryAfter(value, h.Get("Date"), now)
		a.Pause = max(a.Pause, pause)
		a.report(retryAfterField, value, err)
	}
	return a
}

// report sets Err unless it is set or err is nil.
func (a *Advisory) report(field, value string, err error) {
	if err == nil || a.Err != nil {
		return
	}
	a.Err = &FieldError{Field: field, Value: value[:min(len(value), maxReportedBytes)], Cause: err}
}

// maxReportedBytes bounds the part of a value that an error shows.
const maxReportedBytes = 40
