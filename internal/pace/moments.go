package pace

import (
	"math"
	"time"
)

const (
	// loadDecayTime is the time constant of what changes with the load: event times and gaps.
	loadDecayTime = 15 * time.Second
	// speedDecayTime is the time constant of what seldom changes: speed and prefill rate.
	speedDecayTime = 60 * time.Second
)

// moments are the decayed sums of weighted observations.
type moments struct {
	weight, sum, squares float64
}

func (m *moments) add(weight, x float64) {
	m.weight += weight
	m.sum += weight * x
	m.squares += weight * x * x
}

// addScaled adds the sums of others, decayed by factor.
func (m *moments) addScaled(o *moments, factor float64) {
	m.weight += factor * o.weight
	m.sum += factor * o.sum
	m.squares += factor * o.squares
}

// mean returns the mean of the observations, or 0 without any.
func (m moments) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// variance returns the variance of the observations, or 0 without any.
func (m moments) variance() float64 {
	if m.weight == 0 {
		return 0
	}
	mean := m.mean()
	return max(m.squares/m.weight-mean*mean, 0)
}

// sums are the decayed sums of the observations of one server. All values are natural
// logarithms.
type sums struct {
	gap      moments // longest gap of a section, in milliseconds
	interval moments // mean time between the events of a section, in milliseconds
	speed    moments // time relative to what the service shows at the same load
	prefill  moments // prefill rate relative to DefaultPrefillRate
}

func (s *sums) addDecayed(o *sums, age time.Duration) {
	s.addScaled(o, decay(age, loadDecayTime), decay(age, speedDecayTime))
}

// addScaled adds sums, scaled by a factor for what changes with the load and one for what
// seldom changes.
func (s *sums) addScaled(o *sums, load, speed float64) {
	s.gap.addScaled(&o.gap, load)
	s.interval.addScaled(&o.interval, load)
	s.speed.addScaled(&o.speed, speed)
	s.prefill.addScaled(&o.prefill, speed)
}

// negligible reports whether the sums, scaled by these factors, no longer affect an
// estimate.
func (s *sums) negligible(load, speed float64) bool {
	const minWeight = 0.02 // observations
	return load*s.gap.weight < minWeight && speed*s.speed.weight < minWeight && speed*s.prefill.weight < minWeight
}

// decay returns the factor by which sums of an age have decayed, at most 1.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}
