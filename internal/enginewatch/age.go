package enginewatch

import (
	"net/http"
	"time"
)

// dateResolution is the resolution of the HTTP Date header.
const dateResolution = time.Second

// reportAge returns the age of a load report with the given timestamp, which
// arrived at now in a response with header h after at most roundTrip. The Date
// header is written by the engine's own clock, so it bounds the age
// independently of the difference between the two clocks. Without a Date header
// the clocks are assumed to agree.
func reportAge(now time.Time, roundTrip time.Duration, stamp int64, h http.Header) time.Duration {
	measured := time.UnixMilli(stamp)
	age := max(now.Sub(measured), 0)
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return age
	}
	lower := max(date.Sub(measured), 0)
	upper := max(date.Sub(measured)+dateResolution, 0) + roundTrip
	return min(max(age, lower), upper)
}
