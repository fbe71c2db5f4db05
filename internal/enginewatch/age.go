package enginewatch

import (
	"net/http"
	"time"
)

// dateStep is the resolution of the Date header.
const dateStep = time.Second

// ageOf returns the age of a load report with the stamp that arrived at now in
// an answer with the headers, and took up to roundTrip. The difference between
// the two clocks is bounded by the Date header, which the engine's own clock
// wrote; without one the clocks are taken to agree.
func ageOf(now time.Time, roundTrip time.Duration, stamp int64, h http.Header) time.Duration {
	measured := time.UnixMilli(stamp)
	age := max(now.Sub(measured), 0)
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return age
	}
	least := max(date.Sub(measured), 0)
	most := max(date.Sub(measured)+dateStep, 0) + roundTrip
	return min(max(age, least), most)
}
