package rollout

import "maps"

// Counts are numbers of responses since a run of an instance began to count them.
type Counts struct {
	Responses int64 `cbor:"1,keyasint,omitempty"` // that ended, or failed
	Failures  int64 `cbor:"2,keyasint,omitempty"`
	Timed     int64 `cbor:"3,keyasint,omitempty"` // first events, or whole responses, that were timed
	Late      int64 `cbor:"4,keyasint,omitempty"` // of these, slow
	Paced     int64 `cbor:"5,keyasint,omitempty"` // streams whose time between events was measured
	Dragging  int64 `cbor:"6,keyasint,omitempty"` // of these, slow
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Responses + o.Responses, c.Failures + o.Failures, c.Timed + o.Timed, c.Late + o.Late, c.Paced + o.Paced, c.Dragging + o.Dragging}
}

func (c Counts) minus(o Counts) Counts {
	return c.plus(Counts{-o.Responses, -o.Failures, -o.Timed, -o.Late, -o.Paced, -o.Dragging})
}

// newest returns the later of two states of one run's counts, which never decrease.
func (c Counts) newest(o Counts) Counts {
	return Counts{
		max(c.Responses, o.Responses), max(c.Failures, o.Failures), max(c.Timed, o.Timed),
		max(c.Late, o.Late), max(c.Paced, o.Paced), max(c.Dragging, o.Dragging),
	}
}

// Pair holds the counts of a route at old versions and at the new one.
type Pair struct {
	Old Counts `cbor:"1,keyasint"`
	New Counts `cbor:"2,keyasint"`
}

// Evidence holds the counts of one run of an instance by route.
type Evidence map[string]Pair

const (
	// maxRoutes bounds the routes in an Evidence, so that a state fits in a message. The
	// responses of further routes are counted together.
	maxRoutes   = 64
	otherRoutes = "(others)"
	// maxRuns bounds the runs of instances of which counts are kept.
	maxRuns = 4096
)

// Add adds counts of a route.
func (e Evidence) Add(route string, isNew bool, c Counts) {
	if _, ok := e[route]; !ok && len(e) >= maxRoutes {
		route = otherRoutes
	}
	p := e[route]
	if isNew {
		p.New = p.New.plus(c)
	} else {
		p.Old = p.Old.plus(c)
	}
	e[route] = p
}

// Ledger holds the evidence of all runs of instances for one order. What a run counted
// outlives it. Reports may arrive twice, late and out of order.
type Ledger[Run comparable] struct {
	runs  map[Run]Evidence
	total Evidence // over all runs
}

// NewLedger returns an empty ledger.
func NewLedger[Run comparable]() *Ledger[Run] {
	return &Ledger[Run]{runs: map[Run]Evidence{}, total: Evidence{}}
}

// Merge applies a report of a run. It does not keep e.
func (l *Ledger[Run]) Merge(run Run, e Evidence) {
	known := l.runs[run]
	if known == nil {
		if len(l.runs) >= maxRuns {
			return
		}
		known = Evidence{}
		l.runs[run] = known
	}
	for route, p := range e {
		if _, ok := known[route]; !ok && len(known) > maxRoutes {
			continue
		}
		k := known[route]
		merged := Pair{Old: k.Old.newest(p.Old), New: k.New.newest(p.New)}
		if merged == k {
			continue
		}
		known[route] = merged
		t := l.total[route]
		l.total[route] = Pair{Old: t.Old.plus(merged.Old).minus(k.Old), New: t.New.plus(merged.New).minus(k.New)}
	}
}

// Total returns the sums over all runs by route. It must not be changed, and is valid until
// the next Merge.
func (l *Ledger[Run]) Total() Evidence { return l.total }

// Sum returns the counts of all routes together.
func (e Evidence) Sum() Pair {
	var sum Pair
	for p := range maps.Values(e) {
		sum = Pair{Old: sum.Old.plus(p.Old), New: sum.New.plus(p.New)}
	}
	return sum
}
