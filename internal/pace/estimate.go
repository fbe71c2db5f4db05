package pace

import (
	"math"
	"time"
)

// DefaultPrefillRate is the prefill rate of an engine of which nothing is known, in prompt
// tokens per millisecond.
const DefaultPrefillRate = 50.0

const (
	// minRateFactor and maxRateFactor bound a learned prefill rate relative to
	// DefaultPrefillRate.
	minRateFactor = 0.25
	maxRateFactor = 2.0
	// sectionsPerStream is the number of sections of a stream whose longest gaps count as
	// independent.
	sectionsPerStream = 4
	// minGapDeviation bounds the standard deviation of the logarithm of a longest gap.
	minGapDeviation = 0.15
)

// Estimate is what is known of the performance of one run of a server. The zero value is a
// server of average speed whose streams are never late.
type Estimate struct {
	// PrefillRate is in prompt tokens per millisecond. Zero means DefaultPrefillRate.
	PrefillRate float64
	// EventInterval is the mean time between two events. Zero means unknown.
	EventInterval time.Duration
	// Relative is the server's time per event, or for plain servers per answer, relative to
	// the median server of its service at the same load. Zero means 1, which is average.
	Relative float64
	// Certainty is the weight of the observations in Relative, from 0 (prior only) to 1.
	Certainty float64
	// GapMean and GapDeviation describe the logarithm of the longest gap in milliseconds of a
	// section of a stream. A deviation of 0 means unknown.
	GapMean, GapDeviation float64
}

// Rate returns the prefill rate in prompt tokens per millisecond. It is never zero.
func (e Estimate) Rate() float64 {
	if e.PrefillRate == 0 {
		return DefaultPrefillRate
	}
	return e.PrefillRate
}

// Slowness returns Relative, or 1 if it is unknown.
func (e Estimate) Slowness() float64 {
	if e.Relative == 0 {
		return 1
	}
	return e.Relative
}

// LateProbability returns the probability that a stream has a gap over bound between two
// events. It is 0 without a bound and without observations in the server's service.
func (e Estimate) LateProbability(bound time.Duration) float64 {
	if bound <= 0 || e.GapDeviation == 0 {
		return 0
	}
	z := (math.Log(millis(bound)) - e.GapMean) / (e.GapDeviation * math.Sqrt2)
	inTime := 1 - math.Erfc(z)/2
	stream := 1.0
	for range sectionsPerStream {
		stream *= inTime
	}
	return 1 - stream
}

// TypicalGap returns the median of the longest gap of a section, or 0 if it is unknown.
func (e Estimate) TypicalGap() time.Duration {
	if e.GapDeviation == 0 {
		return 0
	}
	return time.Duration(math.Exp(e.GapMean) * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
