package loadexp

import (
	"math"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// settleTime is the time after the first arrivals that is not measured, so that
// queues reach a steady state.
const settleTime = 15 * time.Second

// Result is the result of one experiment.
type Result struct {
	Experiment Experiment
	Classes    []*ClassResult // highest tier first
	Refusals   map[result.Code]int

	attainedWork      float64 // prompt and answer work of requests within their targets
	wastedWork        float64 // tokens of incomplete answers
	allWork           float64 // tokens of all answers
	preemptibleStarts int
	starts            int
	retries           int
	preempted         int
}

// ClassResult is the result of one class.
type ClassResult struct {
	Name          string
	Tier          int
	Floor         float64
	Preemptible   bool // may use preemptible servers
	Offered       int
	Started       int
	Attained      int
	Organisations map[string]*OrganisationResult
}

// OrganisationResult is the result of one organisation in a class.
type OrganisationResult struct {
	Large             bool
	Offered, Attained int
}

func newResult(x Experiment, loads []classLoad) *Result {
	r := &Result{Experiment: x, Refusals: map[result.Code]int{}}
	for _, l := range loads {
		r.Classes = append(r.Classes, &ClassResult{
			Name: l.spec.Name, Tier: l.spec.Tier, Floor: l.spec.Floor, Preemptible: l.spec.AllowPreemptible,
			Organisations: map[string]*OrganisationResult{},
		})
	}
	return r
}

// measured reports whether a request arrived in the measured part of the run.
func (r *Result) measured(c *caller) bool { return c.at >= warmUp+settleTime }

// inMeasuredPeriod reports whether a time is in the measured part of the run. It
// excludes the time after the last arrival, in which queues drain, from the
// goodput.
func (r *Result) inMeasuredPeriod(now time.Duration) bool {
	return now >= warmUp+settleTime && now < warmUp+r.Experiment.Length
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
	if t.Preemptible {
		r.preemptibleStarts++
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
	if r.inMeasuredPeriod(a.caller.world.now) {
		r.attainedWork += c.work()
	}
	if !r.measured(c) {
		return
	}
	r.class(c).Attained++
	r.organisation(c).Attained++
}

// work returns the work of the request in answer tokens.
func (a *arrival) work() float64 { return float64(a.output) + workPerPromptToken*float64(a.input) }

// Attainment returns the share of a class's offered requests that were answered
// within its targets.
func (c *ClassResult) Attainment() float64 { return ratio(c.Attained, c.Offered) }

// Goodput returns the work per second of requests answered within their targets, in
// answer tokens.
func (r *Result) Goodput() float64 {
	return r.attainedWork / (r.Experiment.Length - settleTime).Seconds()
}

// Wasted returns the share of generated tokens that belong to incomplete answers.
func (r *Result) Wasted() float64 {
	if r.allWork == 0 {
		return 0
	}
	return r.wastedWork / r.allWork
}

// PreemptibleShare returns the share of starts on preemptible servers.
func (r *Result) PreemptibleShare() float64 { return ratio(r.preemptibleStarts, r.starts) }

// WorstOrganisation returns the minimum of ClassResult.WorstOrganisation over all
// classes.
func (r *Result) WorstOrganisation() float64 {
	worst := 1.0
	for _, c := range r.Classes {
		worst = min(worst, c.WorstOrganisation())
	}
	return worst
}

// WorstOrganisation compares the worst-served small organisation with the median
// one. It returns the ratio of their service: the requests answered within the
// targets over the organisation's max-min fair share of the class. Answer lengths
// have the same distribution for all organisations of a class. Without a small
// organisation, it returns 1.
func (c *ClassResult) WorstOrganisation() float64 {
	fair := c.fairShare()
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

// fairShare returns the max-min fair limit of answers per organisation: the limit
// at which the sum over all organisations of min(offered requests, limit) equals
// the answers of the class.
func (c *ClassResult) fairShare() float64 {
	var offered []int
	remaining := 0
	for _, o := range c.Organisations {
		offered = append(offered, o.Offered)
		remaining += o.Attained
	}
	slices.Sort(offered)
	for i, n := range offered {
		share := float64(remaining) / float64(len(offered)-i)
		if float64(n) >= share {
			return share
		}
		remaining -= n
	}
	return math.Inf(1)
}

// addOrganisations adds the organisations' results of another run, so that low
// tiers have enough answers to compare organisations.
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

// StartShare returns the class's share of the starts on servers that it may use.
func (r *Result) StartShare(c *ClassResult) float64 {
	if c.Preemptible {
		return ratio(c.Started, r.starts)
	}
	return ratio(c.Started, r.starts-r.preemptibleStarts)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
