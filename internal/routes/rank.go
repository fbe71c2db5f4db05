package routes

import (
	"cmp"
	"slices"
)

// rankKey orders requests: by the priority of the organisation, and among equal ones
// by that of the route.
type rankKey struct{ organisation, route int }

func rankKeyOf(r *Route, o *Organisation) rankKey {
	if o == nil || o.Priority == nil {
		return rankKey{r.Priority, r.Priority}
	}
	return rankKey{*o.Priority, r.Priority}
}

func (k rankKey) compare(other rankKey) int {
	return cmp.Or(cmp.Compare(k.organisation, other.organisation), cmp.Compare(k.route, other.route))
}

// compileRanks numbers the combinations of priorities that the configuration allows.
func (t *Table) compileRanks() {
	var keys []rankKey
	for i := range t.Routes {
		r := &t.Routes[i]
		keys = append(keys, rankKeyOf(r, nil))
		for j := range t.Organisations {
			keys = append(keys, rankKeyOf(r, &t.Organisations[j]))
		}
	}
	slices.SortFunc(keys, rankKey.compare)
	keys = slices.Compact(keys)
	t.ranks = make(map[rankKey]int, len(keys))
	for rank, key := range keys {
		t.ranks[key] = rank
	}
}

// Rank returns the urgency of a route's requests for an organisation, which is nil
// if the route needs no key. 0 is the most urgent, and ranks are consecutive: the
// organisation's priority decides, and among equal ones the route's.
func (t *Table) Rank(r *Route, o *Organisation) int { return t.ranks[rankKeyOf(r, o)] }
