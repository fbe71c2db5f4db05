package order

import (
	"math"
	"time"
)

// trend tracks the slope of a model's demand as an exponential moving average.
type trend struct {
	at     time.Time
	demand float64
	slope  float64 // requests per second
}

// maxGrowthShare bounds the expected growth as a share of the demand.
const maxGrowthShare = 0.5

// update adds a sample of the demand. The time constant of the moving average is the
// start time of a server, startTime:
//
//	weight = 1 - exp(-dt / startTime)
func (t trend) update(now time.Time, demand float64, startTime time.Duration) trend {
	if t.at.IsZero() {
		return trend{at: now, demand: demand}
	}
	seconds := now.Sub(t.at).Seconds()
	if seconds <= 0 {
		return t
	}
	slope := (demand - t.demand) / seconds
	weight := 1 - math.Exp(-seconds/max(startTime.Seconds(), seconds))
	return trend{at: now, demand: demand, slope: t.slope + weight*(slope-t.slope)}
}

// expectedGrowth returns the growth in demand until a server ordered now is warm.
func (t trend) expectedGrowth(startTime time.Duration) float64 {
	return min(max(0, t.slope)*startTime.Seconds(), maxGrowthShare*t.demand)
}

// demand is a model's demand in concurrent requests.
type demand struct {
	total     float64
	standard  float64 // of classes that may not run on preemptible servers
	protected float64 // all but the lowest tier that may run on preemptible servers
}

// demandOf sums the demands of the classes. Classes with queued requests that miss the
// attainment target count by missedTargetBoost more.
func demandOf(m Model, target float64) demand {
	lowest := 0
	for _, d := range m.Demands {
		if d.Preemptible {
			lowest = max(lowest, d.Tier)
		}
	}
	var sum demand
	for _, d := range m.Demands {
		n := float64(d.Queued + d.Running)
		if d.Attainment >= 0 && d.Attainment < target && d.Queued > 0 {
			n *= missedTargetBoost
		}
		sum.total += n
		if !d.Preemptible {
			sum.standard += n
		}
		if !d.Preemptible || d.Tier < lowest {
			sum.protected += n
		}
	}
	return sum
}

// scale multiplies all parts by a factor.
func (d demand) scale(factor float64) demand {
	return demand{d.total * factor, d.standard * factor, d.protected * factor}
}

// serversFor returns the number of servers for a number of concurrent requests, with the
// given share of their slots in use.
func serversFor(requests float64, slots int, utilization float64) int {
	return int(math.Ceil(requests / (float64(max(1, slots)) * utilization)))
}

// need is the number of servers of each kind that a model should have.
type need struct{ standard, preemptible int }

func (n need) total() int { return n.standard + n.preemptible }

// withStandard returns a need of at least the given number of standard servers, which
// replace preemptible ones.
func (n need) withStandard(standard int) need {
	extra := max(0, standard-n.standard)
	return need{standard: n.standard + extra, preemptible: max(0, n.preemptible-extra)}
}

// needFor splits the servers for a demand into standard and preemptible ones, so that
// the loss of all preemptible servers in any one zone leaves enough capacity for the
// protected demand. zones is the number of zones that can hold preemptible servers; they
// are assumed to be spread evenly over these.
func needFor(m Model, d demand, utilization float64, zones int) need {
	total := min(max(serversFor(d.total, m.Slots, utilization), m.MinServers), m.MaxServers)
	standard := min(max(serversFor(d.standard, m.Slots, utilization), min(1, m.MinServers)), total)
	if zones == 0 {
		return need{standard: total}
	}
	protected := min(serversFor(d.protected, m.Slots, utilization), total)
	n := need{standard: standard, preemptible: total - standard}
	for n.preemptible > 0 && n.total()-ceilDiv(n.preemptible, zones) < protected {
		n.standard++
		n.preemptible--
	}
	return n
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
