package balanceexp

import (
	"fmt"
	"slices"
	"time"
)

// tally counts the requests of one kind or organisation.
type tally struct {
	Requests, InTarget, Late, Rejected, Failed int
	Worth, MaxWorth                            float64
}

// Value returns the worth that callers got as a share of the maximum.
func (t *tally) Value() float64 {
	if t.MaxWorth == 0 {
		return 1
	}
	return t.Worth / t.MaxWorth
}

// Result is the outcome of one run.
type Result struct {
	Experiment    Experiment
	Total         tally
	Kinds         map[string]*tally
	Organisations map[string]*tally
	// PrefilledTokens is the number of prompt tokens that servers prefilled,
	// PromptTokens the number that callers sent, and Preempted the number of
	// requests that engines preempted.
	PrefilledTokens, PromptTokens, Preempted int
	// Retries is the number of sends after the first of a request.
	Retries int
	// LimitExcess is the largest number of requests by which a server that named a rate
	// limit got more in limitWindow than is tolerated, counting instances that knew of it.
	// LimitedRequests is the number of all requests to servers while they named one.
	LimitExcess, LimitedRequests int

	firstEvents []time.Duration // times to first event of answered requests
}

func newResult(x Experiment) *Result {
	return &Result{Experiment: x, Kinds: map[string]*tally{}, Organisations: map[string]*tally{}}
}

func tallyOf(m map[string]*tally, name string) *tally {
	if m[name] == nil {
		m[name] = &tally{}
	}
	return m[name]
}

// addTo applies add to all tallies of a request.
func (r *Result) addTo(a *arrival, add func(*tally)) {
	add(&r.Total)
	add(tallyOf(r.Kinds, a.kind.Name))
	add(tallyOf(r.Organisations, a.organisation))
}

func (r *Result) recordRequest(a *arrival) {
	r.addTo(a, func(t *tally) {
		t.Requests++
		t.MaxWorth += a.kind.Worth
	})
	for _, p := range a.parts {
		r.PromptTokens += p.Tokens
	}
}

func (r *Result) recordAnswer(a *arrival, firstEventAfter time.Duration, inTarget bool) {
	r.firstEvents = append(r.firstEvents, firstEventAfter)
	r.addTo(a, func(t *tally) {
		if inTarget {
			t.InTarget++
			t.Worth += a.kind.Worth
			return
		}
		t.Late++
		t.Worth += a.kind.LateWorth
	})
}

func (r *Result) recordRejection(a *arrival) { r.addTo(a, func(t *tally) { t.Rejected++ }) }
func (r *Result) recordFailure(a *arrival)   { r.addTo(a, func(t *tally) { t.Failed++ }) }

// WorstKind returns the lowest value of any kind.
func (r *Result) WorstKind() float64 { return worst(r.Kinds) }

// WorstOrganisation returns the lowest value of any organisation.
func (r *Result) WorstOrganisation() float64 { return worst(r.Organisations) }

func worst(m map[string]*tally) float64 {
	lowest := 1.0
	for _, t := range m {
		lowest = min(lowest, t.Value())
	}
	return lowest
}

// PrefillShare returns the share of sent prompt tokens that servers prefilled.
func (r *Result) PrefillShare() float64 {
	return float64(r.PrefilledTokens) / float64(max(r.PromptTokens, 1))
}

// FirstEventQuantile returns the quantile q of the times to first event.
func (r *Result) FirstEventQuantile(q float64) time.Duration {
	if len(r.firstEvents) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firstEvents))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Header is the heading of Row's columns.
const Header = "day               policy           value  aim%  late%  refused%  failed%  worst kind  worst org  read%  preempted  repeats  limited  excess  first p50 p99 ms"

// Row formats the result as a table row.
func (r *Result) Row() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(r.Total.Requests, 1)) }
	t := &r.Total
	return fmt.Sprintf("%-17s %-16s %.3f %5.1f %6.1f %9.2f %8.2f %11.3f %10.3f %6.1f %10d %8d %8d %7d %10d %d",
		r.Experiment.Day.Name, r.Experiment.Policy, t.Value(), share(t.InTarget), share(t.Late), share(t.Rejected), share(t.Failed),
		r.WorstKind(), r.WorstOrganisation(), 100*r.PrefillShare(), r.Preempted, r.Retries, r.LimitedRequests, r.LimitExcess,
		r.FirstEventQuantile(0.5).Milliseconds(), r.FirstEventQuantile(0.99).Milliseconds())
}
