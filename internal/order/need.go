package order

import (
	"math"
	"time"
)

// trend is a smoothed slope of a model's demand.
type trend struct {
	at     time.Time
	demand float64
	slope  float64 // requests per second
}

// maxGrowth bounds the expected growth as a share of the demand.
const maxGrowth = 0.5

// next takes a new demand; the slope is smoothed over the time that a start takes.
func (t trend) next(now time.Time, demand float64, start time.Duration) trend {
	if t.at.IsZero() {
		return trend{at: now, demand: demand}
	}
	seconds := now.Sub(t.at).Seconds()
	if seconds <= 0 {
		return t
	}
	fresh := (demand - t.demand) / seconds
	weight := 1 - math.Exp(-seconds/max(start.Seconds(), seconds))
	return trend{at: now, demand: demand, slope: t.slope + weight*(fresh-t.slope)}
}

// growth is the demand to be expected on top when a server ordered now is warm.
func (t trend) growth(start time.Duration) float64 {
	return min(max(0, t.slope)*start.Seconds(), maxGrowth*t.demand)
}

// demand is a model's demand in requests at a time.
type demand struct {
	total     float64
	firm      float64 // of classes that may not run on cheap servers
	protected float64 // all but the lowest tier that may run on cheap servers
}

// demandOf sums the classes' demands; classes that miss their target count more.
func demandOf(m Model, target float64) demand {
	lowest := 0
	for _, d := range m.Demands {
		if d.Cheap {
			lowest = max(lowest, d.Tier)
		}
	}
	var sum demand
	for _, d := range m.Demands {
		n := float64(d.Queued + d.Running)
		if d.Attainment >= 0 && d.Attainment < target && d.Queued > 0 {
			n *= boost
		}
		sum.total += n
		if !d.Cheap {
			sum.firm += n
		}
		if !d.Cheap || d.Tier < lowest {
			sum.protected += n
		}
	}
	return sum
}

// scale multiplies every part.
func (d demand) scale(factor float64) demand {
	return demand{d.total * factor, d.firm * factor, d.protected * factor}
}

// servers is the number of servers for a demand at a share of their slots in use.
func servers(requests float64, slots int, use float64) int {
	return int(math.Ceil(requests / (float64(max(1, slots)) * use)))
}

// need is how many servers of each kind a model should have.
type need struct{ firm, cheap int }

func (n need) total() int { return n.firm + n.cheap }

// withFirm has at least so many firm servers, in place of cheap ones.
func (n need) withFirm(firm int) need {
	more := max(0, firm-n.firm)
	return need{firm: n.firm + more, cheap: max(0, n.cheap-more)}
}

// needFor splits the servers for a demand over firm and cheap ones, so that the
// loss of all cheap servers of any one zone leaves the protected demand served.
// zones is the number of zones that cheap servers can be spread over.
func needFor(m Model, d demand, use float64, zones int) need {
	total := min(max(servers(d.total, m.Slots, use), m.MinServers), m.MaxServers)
	firm := min(max(servers(d.firm, m.Slots, use), min(1, m.MinServers)), total)
	if zones == 0 {
		return need{firm: total}
	}
	protected := min(servers(d.protected, m.Slots, use), total)
	n := need{firm: firm, cheap: total - firm}
	for n.cheap > 0 && n.total()-ceilDiv(n.cheap, zones) < protected {
		n.firm++
		n.cheap--
	}
	return n
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
