package placement

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/routing"
)

const (
	// refreshInterval is how long the sums over a pool's servers may be old.
	refreshInterval = 20 * time.Millisecond
	// activeFor is how long after its last request a tier keeps its reserve.
	activeFor = time.Minute
	// holdingWeight is the weight of a new attempt in the mean holding time.
	holdingWeight = 0.05
)

// pool is one model or plain service: its queue, its servers and their use by
// this instance.
type pool struct {
	name       string
	servers    *routing.Pool
	queue      *admission.Queue[*Job]
	prefixes   *routing.Prefixes
	classes    map[string]*class
	byTier     []*class // configured classes, highest tier first
	running    [config.Tiers + 1]runs
	seen       [config.Tiers + 1]time.Time // last request of the tier
	starts     [config.Tiers + 1]admission.Rate
	holding    time.Duration
	refreshed  time.Time
	slots      int // requests that this instance may have in flight
	free       int
	use        usage
	cheapFull  []bool // reused between decisions
	cheapCount int    // cheap candidates
}

func newPool(name string, o admission.Options) *pool {
	return &pool{
		name:     name,
		queue:    admission.NewQueue[*Job](o),
		prefixes: routing.NewPrefixes(),
		classes:  map[string]*class{},
	}
}

// update takes a new snapshot and configuration.
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
	p.cheapCount = 0
	for _, s := range servers.Candidates {
		if s.Cheap {
			p.cheapCount++
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

// waitingJobs returns the jobs that wait.
func (p *pool) waitingJobs() []*Job {
	jobs := make([]*Job, 0, p.queue.Len())
	p.queue.Each(func(e *admission.Entry[*Job]) { jobs = append(jobs, e.Value) })
	return jobs
}

// refresh sums the slots of the pool's servers.
func (p *pool) refresh(now time.Time, m *routing.Membership) {
	if !p.refreshed.IsZero() && now.Sub(p.refreshed) < refreshInterval {
		return
	}
	p.refreshed = now
	p.slots, p.free = 0, 0
	p.use.clearFree()
	p.servers.Tolerate()
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

// tiersAbove counts the tiers above one that recently had requests here; cheap
// counts only those with a class that may use cheap servers.
func (p *pool) tiersAbove(now time.Time, tier int, cheap bool) int {
	n, last := 0, 0
	for _, c := range p.byTier {
		t := c.spec.Tier
		if t >= tier {
			break
		}
		if t == last || !p.active(now, t) || cheap && !c.spec.Cheap {
			continue
		}
		n++
		last = t
	}
	return n
}

// active reports whether a tier recently had requests here.
func (p *pool) active(now time.Time, tier int) bool {
	return !p.seen[tier].IsZero() && now.Sub(p.seen[tier]) < activeFor
}

// rate is the number of starts per second that the pool's slots allow; 0 if unknown.
func (p *pool) rate() float64 {
	if p.holding <= 0 {
		return 0
	}
	return float64(p.slots) / p.holding.Seconds()
}

// backlogFrom is the number of waiting requests of a class from which its own
// recent rate predicts better than what higher tiers leave.
const backlogFrom = 5

// wait predicts how long a waiting job stays in the queue; 0 if unknown.
func (p *pool) wait(now time.Time, j *Job) time.Duration {
	rate := p.rate()
	if rate == 0 {
		return 0
	}
	left := max(rate*floorOf(j.class.spec), p.starts[j.tier()].Value(now))
	if p.queue.ClassLen(j.class.spec.Name) < backlogFrom {
		left = max(left, rate-p.startsAbove(now, j.tier()))
	}
	higher, own := p.queue.Ahead(&j.entry)
	seconds := float64(higher)/rate + float64(own)/left
	return time.Duration(seconds * float64(time.Second))
}

// startsAbove is the recent rate of starts of the tiers above one.
func (p *pool) startsAbove(now time.Time, tier int) float64 {
	sum := 0.0
	for t := 1; t < tier; t++ {
		sum += p.starts[t].Value(now)
	}
	return sum
}
