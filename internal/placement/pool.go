package placement

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/routing"
)

const (
	// refreshInterval is the maximum age of the sums over a pool's servers.
	refreshInterval = 20 * time.Millisecond
	// activeWindow is how long after its last request a tier keeps its reserved
	// slots.
	activeWindow = time.Minute
	// meanHoldWeight is the weight of a new attempt in the mean hold time.
	meanHoldWeight = 0.05
)

// pool is the state of one model or plain service: its queue, its servers and
// their use by this instance.
type pool struct {
	name             string
	servers          *routing.Pool
	queue            *admission.Queue[*Job]
	prefixes         *routing.PrefixIndex
	classes          map[string]*class
	byTier           []*class // configured classes, highest tier first
	running          [config.TierCount + 1]jobList
	lastRequest      [config.TierCount + 1]time.Time // time of the tier's last request
	starts           [config.TierCount + 1]admission.Rate
	meanHold         time.Duration
	refreshed        time.Time
	slots            int // requests that this instance may have in flight
	free             int
	use              usage
	preemptibleFull  []bool // reused between decisions
	preemptibleCount int    // number of preemptible candidates
}

func newPool(name string, o admission.Options) *pool {
	return &pool{
		name:     name,
		queue:    admission.NewQueue[*Job](o),
		prefixes: routing.NewPrefixIndex(),
		classes:  map[string]*class{},
	}
}

// update applies a new snapshot and configuration.
func (p *pool) update(now time.Time, servers *routing.Pool, c *config.Snapshot) {
	p.servers = servers
	specs := make([]admission.Class, 0, len(c.Config.Classes))
	p.byTier = p.byTier[:0]
	for i := range c.Config.Classes {
		spec := &c.Config.Classes[i]
		p.byTier = append(p.byTier, p.setClass(now, spec))
		specs = append(specs, admission.Class{Name: spec.Name, Tier: spec.Tier, Floor: floorOf(spec)})
	}
	slices.SortStableFunc(p.byTier, func(a, b *class) int { return a.spec.Tier - b.spec.Tier })
	p.queue.SetClasses(specs)
	p.preemptibleCount = 0
	for _, s := range servers.Candidates {
		if s.Preemptible {
			p.preemptibleCount++
		}
	}
	p.use.resize(len(servers.Zones))
	p.refreshed = time.Time{}
}

func (p *pool) setClass(now time.Time, spec *config.Class) *class {
	c := p.classes[spec.Name]
	if c == nil {
		c = newClass(now, spec)
		p.classes[spec.Name] = c
		return c
	}
	c.spec = spec
	c.budget.SetRatio(retryRatio(spec))
	return c
}

// waitingJobs returns the jobs in the queue.
func (p *pool) waitingJobs() []*Job {
	jobs := make([]*Job, 0, p.queue.Len())
	p.queue.Each(func(e *admission.Entry[*Job]) { jobs = append(jobs, e.Value) })
	return jobs
}

// refresh recomputes the sums of slots over the pool's servers if they are
// older than refreshInterval.
func (p *pool) refresh(now time.Time, m *routing.Membership) {
	if !p.refreshed.IsZero() && now.Sub(p.refreshed) < refreshInterval {
		return
	}
	p.refreshed = now
	p.slots, p.free = 0, 0
	p.use.resetSlots()
	p.servers.TolerateFailures()
	for _, c := range p.servers.Candidates {
		if !c.Usable() {
			continue
		}
		slots := c.Live.Slots(now, m)
		free := max(slots-c.Live.Outstanding(), 0)
		p.slots += slots
		p.free += free
		p.use.addSlots(c, slots)
		p.use.addFree(c, free)
	}
}

// tiersAbove returns the number of tiers above the given one that recently had
// requests in this pool. If preemptible is true, only tiers with a class that
// may use preemptible servers count.
func (p *pool) tiersAbove(now time.Time, tier int, preemptible bool) int {
	n, last := 0, 0
	for _, c := range p.byTier {
		t := c.spec.Tier
		if t >= tier {
			break
		}
		if t == last || !p.active(now, t) || preemptible && !c.spec.AllowPreemptible {
			continue
		}
		n++
		last = t
	}
	return n
}

// active reports whether a tier recently had requests in this pool.
func (p *pool) active(now time.Time, tier int) bool {
	return !p.lastRequest[tier].IsZero() && now.Sub(p.lastRequest[tier]) < activeWindow
}

// startRate returns the number of starts per second that the pool's slots
// permit; 0 if unknown.
func (p *pool) startRate() float64 {
	if p.meanHold <= 0 {
		return 0
	}
	return float64(p.slots) / p.meanHold.Seconds()
}

// minBacklog is the number of waiting requests of a class from which its own
// recent start rate is a better predictor than the rate left over by higher
// tiers.
const minBacklog = 5

// predictWait predicts how long a waiting job stays in the queue; 0 if unknown.
func (p *pool) predictWait(now time.Time, j *Job) time.Duration {
	rate := p.startRate()
	if rate == 0 {
		return 0
	}
	left := max(rate*floorOf(j.class.spec), p.starts[j.tier()].Value(now))
	if p.queue.ClassLen(j.class.spec.Name) < minBacklog {
		left = max(left, rate-p.startsAbove(now, j.tier()))
	}
	higher, own := p.queue.EstimateAhead(&j.entry)
	seconds := float64(higher)/rate + float64(own)/left
	return time.Duration(seconds * float64(time.Second))
}

// startsAbove returns the recent start rate of all tiers above the given one.
func (p *pool) startsAbove(now time.Time, tier int) float64 {
	sum := 0.0
	for t := 1; t < tier; t++ {
		sum += p.starts[t].Value(now)
	}
	return sum
}
