package pace

import (
	"math"
	"slices"
	"time"
)

// SectionEvents is the number of gaps between events in a section of a stream.
const SectionEvents = 8

const (
	// lowQuantileIndex is the index of the gap of a section, in ascending order, that
	// stands for the server's speed. Prefill of other requests lengthens the longer ones.
	lowQuantileIndex = 2
	// maxSpeedLog bounds the logarithm of one observed relative time.
	maxSpeedLog = 1.5
	// minRateLog and maxRateLog bound the logarithm of one observed relative prefill rate.
	minRateLog = -2.0
	maxRateLog = 1.0
	// minPrefillTokens is the number of tokens below which the time to the first event says
	// nothing about the prefill rate; halfPrefillTokens have half the weight.
	minPrefillTokens  = 500
	halfPrefillTokens = 2000.0
)

// Subject identifies what an observation is about.
type Subject struct {
	Server Key
	// Service is the name of the server's service.
	Service string
	// InFlight is the number of requests on the server, from all instances.
	InFlight int
}

// Section adds the gaps between consecutive events in one section of a stream. Gaps must
// hold SectionEvents elements; it is sorted in place. It is safe for concurrent use.
func (b *Book) Section(s Subject, gaps []time.Duration) {
	if b == nil || len(gaps) != SectionEvents {
		return
	}
	slices.Sort(gaps)
	var total time.Duration
	for _, g := range gaps {
		total += g
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.own(s)
	if own == nil {
		return
	}
	own.gap.add(1, logMillis(gaps[len(gaps)-1]))
	own.interval.add(1, logMillis(total/SectionEvents))
	b.addSpeed(s, own, curveKey{service: s.Service}, logMillis(gaps[lowQuantileIndex]))
	b.observed.sections++
}

// Answer adds the time of a complete answer of a plain server to a request of a route. It
// is safe for concurrent use.
func (b *Book) Answer(s Subject, route string, took time.Duration) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.own(s)
	if own == nil {
		return
	}
	b.addSpeed(s, own, curveKey{service: s.Service, route: route}, logMillis(took))
	b.observed.answers++
}

// addSpeed compares a time with the usual one at the same load. The curve learns the time
// less what is already known of the server's speed, so that it describes the load alone.
func (b *Book) addSpeed(s Subject, own *sums, key curveKey, x float64) {
	c := b.curves[key]
	if c == nil {
		if len(b.curves) >= maxCurves {
			clear(b.curves)
		}
		c = &curve{}
		b.curves[key] = c
	}
	if usual, ok := c.predict(s.InFlight); ok {
		own.speed.add(1, min(max(x-usual, -maxSpeedLog), maxSpeedLog))
	}
	known := math.Log(b.snapshot.Load().Lookup(s.Server, s.Service).Slowness())
	c.add(b.options.Now(), s.InFlight, x-known)
}
