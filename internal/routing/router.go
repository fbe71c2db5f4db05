package routing

import "math/rand/v2"

// maxScan is the number of candidates that a decision scans first, from a
// random starting point. It scans the others only until one of them is
// eligible, and only if none of the first maxScan is.
const maxScan = 256

// Router applies filters, scorers and a picker. It is not safe for concurrent
// use.
type Router struct {
	filters  []Filter
	scorers  []Scorer
	picker   Picker
	random   *rand.Rand
	eligible []Scored // reused between decisions
	decision uint64
}

// NewRouter returns a router with the filters and scorers of the request path.
// If picker is nil, BestOf with DefaultChoices is used.
func NewRouter(picker Picker, random *rand.Rand) *Router {
	if picker == nil {
		picker = BestOf{}
	}
	return &Router{filters: Filters(), scorers: Scorers(), picker: picker, random: random}
}

// Pick chooses a server of the pool. It returns nil if none is eligible. If
// prefixes is nil, no cached prefixes are credited.
func (r *Router) Pick(q *Query, p *Pool, prefixes *PrefixIndex) *Candidate {
	r.decision++
	q.decision = r.decision
	if prefixes != nil {
		prefixes.creditServers(q)
	}
	r.eligible = r.eligible[:0]
	r.scan(q, p.Candidates)
	if len(r.eligible) == 0 {
		return nil
	}
	return r.eligible[r.picker.Pick(r.random, r.eligible)].Candidate
}

// scan fills eligible, beginning at a random candidate in large pools.
func (r *Router) scan(q *Query, candidates []*Candidate) {
	n := len(candidates)
	if n == 0 {
		return
	}
	start := 0
	if n > maxScan {
		start = r.random.IntN(n)
	}
	for i := range n {
		if i >= maxScan && len(r.eligible) > 0 {
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

// AnyEligible reports whether some server of the pool could accept the attempt
// once it has a free slot.
func (r *Router) AnyEligible(q *Query, p *Pool) bool {
	relaxed := *q
	relaxed.IgnoreSlots, relaxed.OnDemandReserved = true, false
	for _, c := range p.Candidates {
		if r.keep(&relaxed, c) {
			return true
		}
	}
	return false
}
