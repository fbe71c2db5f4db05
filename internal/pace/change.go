package pace

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// slowRelative and normalRelative are the relative times from which a server is
	// reported as slow, and below which as normal again.
	slowRelative   = 1.5
	normalRelative = 1.2
	// minReportCertainty is the certainty from which a server is reported.
	minReportCertainty = 0.7
	// changeInterval is the minimum time between two reported changes.
	changeInterval = 500 * time.Millisecond
)

// Change reports that a server has become clearly slow, or normal again.
type Change struct {
	Server   Server
	Slow     bool
	Estimate Estimate
	// Observations is the decayed number of observations of the server's speed.
	Observations float64
	// Age is the time since this instance last observed the server. Zero if it never has.
	Age time.Duration
}

// report reports at most one change. Others are reported later if they still apply.
func (b *Book) report(now boottime.Instant, s *Snapshot) {
	if b.options.Notify == nil || now.Before(b.next) {
		return
	}
	for key, e := range s.servers {
		r := b.records[key]
		if e.Certainty < minReportCertainty || r.slow && e.Relative >= normalRelative || !r.slow && e.Relative < slowRelative {
			continue
		}
		r.slow = !r.slow
		b.next = now.Add(changeInterval)
		c := Change{Server: b.listed[key], Slow: r.slow, Estimate: e, Observations: r.total.speed.weight}
		if !r.observedAt.IsZero() {
			c.Age = now.Sub(r.observedAt)
		}
		b.options.Notify(c)
		return
	}
}
