package pace

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// gapPrior, speedPrior and prefillPrior are the numbers of observations at which a
	// server's own ones count as much as the mean of its service. Sections of one stream are
	// similar, so that several count about as much as one.
	gapPrior     = 8.0
	speedPrior   = 8.0
	prefillPrior = 2.0
	// minMedianWeight is the weight that a server needs to count towards the median speed.
	minMedianWeight = 3.0
	// minMedianServers is the number of such servers that a median needs.
	minMedianServers = 3
	// maxRelativeLog bounds the logarithm of a server's relative time.
	maxRelativeLog = 1.5
)

// Snapshot holds the estimates of one moment. It is not modified. A nil Snapshot is empty.
type Snapshot struct {
	at       boottime.Instant
	servers  map[Key]Estimate
	services map[string]Estimate // of servers that are not known
}

// Lookup returns the estimate of a server, or that of an unknown server of its service. It
// does not allocate.
func (s *Snapshot) Lookup(key Key, service string) Estimate {
	if s == nil {
		return Estimate{}
	}
	if e, ok := s.servers[key]; ok {
		return e
	}
	return s.services[service]
}

// refreshAfter computes the estimates anew if they are older than age.
func (b *Book) refreshAfter(now boottime.Instant, age time.Duration) {
	previous := b.snapshot.Load()
	if now.Sub(previous.at) < age {
		return
	}
	services := map[string]*service{}
	for key, r := range b.records {
		r.sum(now)
		if r.total.negligible(1, 1) {
			delete(b.records, key)
			continue
		}
		s, ok := b.listed[key]
		if !ok {
			continue
		}
		if services[s.Service] == nil {
			services[s.Service] = &service{}
		}
		services[s.Service].members = append(services[s.Service].members, member{key: key, record: r})
	}
	next := &Snapshot{at: now, servers: make(map[Key]Estimate, len(b.records)), services: make(map[string]Estimate, len(services))}
	for name, s := range services {
		s.summarise()
		next.services[name] = s.estimate(&sums{})
		for _, m := range s.members {
			next.servers[m.key] = s.estimate(&m.record.total)
		}
	}
	b.snapshot.Store(next)
	b.report(now, next)
}

// sum adds the sums of all instances, and removes those that no longer matter.
func (r *record) sum(now boottime.Instant) {
	r.total = sums{}
	r.total.addDecayed(&r.own, now.Sub(r.ownAt))
	r.others = slices.DeleteFunc(r.others, func(c contribution) bool {
		age := now.Sub(c.at)
		load, speed := decay(age, loadDecayTime), decay(age, speedDecayTime)
		r.total.addScaled(&c.sums, load, speed)
		return c.sums.negligible(load, speed)
	})
}

type member struct {
	key    Key
	record *record
}

// service summarises the servers of one service.
type service struct {
	members []member

	gapMean    float64 // mean over servers
	gapBetween float64 // variance between servers
	gapWithin  float64 // variance within a server
	gapKnown   bool
	interval   float64 // mean over servers
	speed      float64 // median over servers
	speedKnown bool
	prefill    float64 // of a server of median speed
}

// certainty returns the share of a server's own observations in its estimate.
func certainty(weight, prior float64) float64 { return weight / (weight + prior) }

// summarise computes the means that servers with few observations are given. Servers count
// by their certainty, so that busy ones do not prevail.
func (s *service) summarise() {
	s.summariseGaps()
	s.summariseSpeed()
	var prefill moments
	for _, m := range s.members {
		t := &m.record.total
		prefill.add(certainty(t.prefill.weight, prefillPrior), t.prefill.mean()+s.relativeLog(t))
	}
	s.prefill = prefill.sum / (prefill.weight + 1) // one server's weight for the default
}

func (s *service) summariseGaps() {
	var means, within, interval moments
	for _, m := range s.members {
		t := &m.record.total
		if t.gap.weight == 0 {
			continue
		}
		c := certainty(t.gap.weight, gapPrior)
		means.add(c, t.gap.mean())
		within.add(t.gap.weight, t.gap.variance())
		interval.add(c, t.interval.mean())
	}
	s.gapKnown = means.weight > 0
	s.gapMean, s.gapBetween, s.gapWithin = means.mean(), means.variance(), within.mean()
	s.interval = interval.mean()
}

func (s *service) summariseSpeed() {
	var known []float64
	for _, m := range s.members {
		if m.record.total.speed.weight >= minMedianWeight {
			known = append(known, m.record.total.speed.mean())
		}
	}
	if s.speedKnown = len(known) >= minMedianServers; s.speedKnown {
		slices.Sort(known)
		s.speed = known[(len(known)-1)/2]
	}
}

// relativeLog returns the logarithm of a server's time relative to the median server.
func (s *service) relativeLog(t *sums) float64 {
	if !s.speedKnown {
		return 0
	}
	relative := certainty(t.speed.weight, speedPrior) * (t.speed.mean() - s.speed)
	return min(max(relative, -maxRelativeLog), maxRelativeLog)
}

// estimate returns the estimate of a server. What the service's mean contributes is less
// certain by the variance between servers.
func (s *service) estimate(t *sums) Estimate {
	relative := s.relativeLog(t)
	c := certainty(t.prefill.weight, prefillPrior)
	rate := c*t.prefill.mean() + (1-c)*(s.prefill-relative)
	e := Estimate{
		PrefillRate: DefaultPrefillRate * min(max(math.Exp(rate), minRateFactor), maxRateFactor),
		Relative:    math.Exp(relative),
	}
	if s.speedKnown {
		e.Certainty = certainty(t.speed.weight, speedPrior)
	}
	if !s.gapKnown {
		return e
	}
	c = certainty(t.gap.weight, gapPrior)
	e.GapMean = c*t.gap.mean() + (1-c)*s.gapMean
	variance := c*t.gap.variance() + (1-c)*(s.gapWithin+s.gapBetween)
	e.GapDeviation = max(math.Sqrt(variance), minGapDeviation)
	e.EventInterval = time.Duration(math.Exp(c*t.interval.mean()+(1-c)*s.interval) * float64(time.Millisecond))
	return e
}
