package loadexp

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// settling is the start of a run that is not measured.
const settling = 15 * time.Second

// Result is what one experiment measured.
type Result struct {
	Experiment Experiment
	Classes    []*ClassResult // highest tier first
	Refusals   map[result.Code]int

	attainedWork float64 // answer and prompt work of answers in time
	wastedWork   float64 // answer tokens that reached no caller
	allWork      float64
	cheapStarts  int
	starts       int
	retries      int
	preempted    int
}

// ClassResult is what one experiment measured of a class.
type ClassResult struct {
	Name          string
	Tier          int
	Floor         float64
	Cheap         bool // may use cheap servers
	Offered       int
	Started       int
	Attained      int
	Organisations map[string]*OrganisationResult
}

// OrganisationResult is what one experiment measured of an organisation in a class.
type OrganisationResult struct {
	Large             bool
	Offered, Attained int
}

func newResult(x Experiment, loads []classLoad) *Result {
	r := &Result{Experiment: x, Refusals: map[result.Code]int{}}
	for _, l := range loads {
		r.Classes = append(r.Classes, &ClassResult{
			Name: l.spec.Name, Tier: l.spec.Tier, Floor: l.spec.Floor, Cheap: l.spec.Cheap,
			Organisations: map[string]*OrganisationResult{},
		})
	}
	return r
}

// measured reports whether a caller's request counts.
func (r *Result) measured(c *caller) bool { return c.at >= warmUp+settling }

// during reports whether a time is within the measured part of the run, so that
// the queues that drain after the last arrival add nothing to the goodput.
func (r *Result) during(now time.Duration) bool {
	return now >= warmUp+settling && now < warmUp+r.Experiment.Length
}

func (r *Result) class(c *caller) *ClassResult { return r.Classes[c.load.spec.Tier-1] }

func (r *Result) organisation(c *caller) *OrganisationResult {
	all := r.class(c).Organisations
	o := all[c.arrival.organisation]
	if o == nil {
		o = &OrganisationResult{Large: c.large}
		all[c.arrival.organisation] = o
	}
	return o
}

func (r *Result) offered(c *caller) {
	if !r.measured(c) {
		return
	}
	r.class(c).Offered++
	r.organisation(c).Offered++
}

func (r *Result) started(c *caller, t traffic.Target, attempts int) {
	if attempts > 0 {
		r.retries++
		return
	}
	if !r.measured(c) {
		return
	}
	r.class(c).Started++
	r.starts++
	if t.Cheap {
		r.cheapStarts++
	}
}

func (r *Result) refused(c *caller, refusal *result.Error) {
	if r.measured(c) {
		r.Refusals[refusal.Code]++
	}
}

func (r *Result) waste(tokens int) {
	r.wastedWork += float64(tokens)
	r.allWork += float64(tokens)
}

func (r *Result) answered(c *caller, a *attempt, o traffic.Observation) {
	r.allWork += float64(c.output)
	spec := &c.load.spec
	first := a.first - c.at
	if spec.FirstToken > 0 && first > time.Duration(spec.FirstToken) {
		return
	}
	if spec.BetweenTokens > 0 && o.BetweenMean > time.Duration(spec.BetweenTokens) {
		return
	}
	if r.during(a.caller.world.now) {
		r.attainedWork += c.work()
	}
	if !r.measured(c) {
		return
	}
	r.class(c).Attained++
	r.organisation(c).Attained++
}

// work is what the request asks of the servers, in answer tokens.
func (a *arrival) work() float64 { return float64(a.output) + inputWork*float64(a.input) }

// Attainment is the share of a class's offered requests answered within its targets.
func (c *ClassResult) Attainment() float64 { return ratio(c.Attained, c.Offered) }

// Goodput is the work of answers within their targets per second, in answer tokens.
func (r *Result) Goodput() float64 {
	return r.attainedWork / (r.Experiment.Length - settling).Seconds()
}

// Wasted is the share of answer tokens that reached no caller in a whole answer.
func (r *Result) Wasted() float64 {
	if r.allWork == 0 {
		return 0
	}
	return r.wastedWork / r.allWork
}

// CheapShare is the share of starts on cheap servers.
func (r *Result) CheapShare() float64 { return ratio(r.cheapStarts, r.starts) }

// WorstOrganisation is how the worst-served small organisation fares against the
// median one of its class, the lowest of all classes.
func (r *Result) WorstOrganisation() float64 {
	worst := 1.0
	for _, c := range r.Classes {
		worst = min(worst, c.WorstOrganisation())
	}
	return worst
}

// WorstOrganisation is how the worst-served small organisation fares against the
// median one: its answers in time over its max-min fair part of the class's. All
// organisations of a class draw their answers' lengths alike.
func (c *ClassResult) WorstOrganisation() float64 {
	fair := c.fairPart()
	var served []float64
	for _, o := range c.Organisations {
		if !o.Large && o.Offered > 0 {
			served = append(served, float64(o.Attained)/min(float64(o.Offered), fair))
		}
	}
	if len(served) == 0 {
		return 1
	}
	slices.Sort(served)
	median := served[len(served)/2]
	if median == 0 || math.IsNaN(median) {
		return 1
	}
	return served[0] / median
}

// fairPart is the max-min fair bound on an organisation's answers: with every
// organisation's offered requests cut to it, the sum is what the class was answered.
func (c *ClassResult) fairPart() float64 {
	var offered []int
	left := 0
	for _, o := range c.Organisations {
		offered = append(offered, o.Offered)
		left += o.Attained
	}
	slices.Sort(offered)
	for i, n := range offered {
		part := float64(left) / float64(len(offered)-i)
		if float64(n) >= part {
			return part
		}
		left -= n
	}
	return math.Inf(1)
}

// addOrganisations adds the organisations' answers of another run, so that low
// tiers get enough of them to compare organisations.
func (r *Result) addOrganisations(other *Result) {
	for i, c := range other.Classes {
		for name, o := range c.Organisations {
			sum := r.Classes[i].Organisations[name]
			if sum == nil {
				sum = &OrganisationResult{Large: o.Large}
				r.Classes[i].Organisations[name] = sum
			}
			sum.Offered += o.Offered
			sum.Attained += o.Attained
		}
	}
}

// StartShare is the class's share of the starts on servers that it may use.
func (r *Result) StartShare(c *ClassResult) float64 {
	if c.Cheap {
		return ratio(c.Started, r.starts)
	}
	return ratio(c.Started, r.starts-r.cheapStarts)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
