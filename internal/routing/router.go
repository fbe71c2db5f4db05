package routing

import "math/rand/v2"

// scanLimit is the number of candidates above which a decision looks at a sample
// of that size first, and at all only when none of the sample is eligible.
const scanLimit = 256

// Router runs filters, scorers and a picker. It is not safe for concurrent use.
type Router struct {
	filters  []Filter
	scorers  []Scorer
	picker   Picker
	random   *rand.Rand
	eligible []Scored // reused between decisions
	decision uint64
}

// NewRouter returns a router with the request path's filters and scorers. A nil
// picker means BestOf DefaultChoices.
func NewRouter(picker Picker, random *rand.Rand) *Router {
	if picker == nil {
		picker = BestOf{}
	}
	return &Router{filters: Filters(), scorers: Scorers(), picker: picker, random: random}
}

// Pick chooses a server of the pool; nil when none is eligible. prefixes may be nil.
func (r *Router) Pick(q *Query, p *Pool, prefixes *Prefixes) *Candidate {
	r.decision++
	q.decision = r.decision
	if prefixes != nil {
		prefixes.credit(q)
	}
	r.eligible = r.eligible[:0]
	r.scan(q, p.Candidates)
	if len(r.eligible) == 0 {
		return nil
	}
	return r.eligible[r.picker.Pick(r.random, r.eligible)].Candidate
}

// scan fills eligible from a random starting point.
func (r *Router) scan(q *Query, candidates []*Candidate) {
	n := len(candidates)
	if n == 0 {
		return
	}
	start := 0
	if n > scanLimit {
		start = r.random.IntN(n)
	}
	for i := range n {
		if i >= scanLimit && len(r.eligible) > 0 {
			return
		}
		c := candidates[(start+i)%n]
		if r.keep(q, c) {
			r.eligible = append(r.eligible, Scored{Candidate: c, Price: r.price(q, c)})
		}
	}
}

func (r *Router) keep(q *Query, c *Candidate) bool {
	for _, f := range r.filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

func (r *Router) price(q *Query, c *Candidate) float64 {
	price := 0.0
	for _, s := range r.scorers {
		price += s.Price(q, c)
	}
	return price
}

// Any reports whether some server of the pool could take the attempt once a slot
// is free.
func (r *Router) Any(q *Query, p *Pool) bool {
	wanted := *q
	wanted.IgnoreSlots, wanted.SteadyKept = true, false
	for _, c := range p.Candidates {
		if r.keep(&wanted, c) {
			return true
		}
	}
	return false
}
