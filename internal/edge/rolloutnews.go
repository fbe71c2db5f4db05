package edge

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	// rolloutNewsInterval is the interval at which instances exchange evidence. A bad
	// response or a change of the state is sent with the next report.
	rolloutNewsInterval = 500 * time.Millisecond
	// maxExchangedRollouts bounds the orders in a state.
	maxExchangedRollouts = 6
	// maxNewsBytes is the size of a state from which the hub discards it. Six orders with 64
	// routes each exceed it.
	maxNewsBytes = 32 << 10
	// maxPeers bounds the instances of which the last state is kept.
	maxPeers = 4096
	// maxVerdictBytes bounds the text of a verdict.
	maxVerdictBytes = 512
)

// rolloutNews is the state that instances exchange about their orders.
type rolloutNews struct {
	AtMillis int64          `cbor:"1,keyasint"` // store's clock
	Orders   []rolloutOrder `cbor:"2,keyasint"`
}

// rolloutOrder is what an instance knows of one order.
type rolloutOrder struct {
	Service    string           `cbor:"1,keyasint"`
	Revision   uint64           `cbor:"2,keyasint"`
	State      *rollout.State   `cbor:"3,keyasint,omitempty"` // nil if unknown
	Bad        string           `cbor:"4,keyasint,omitempty"` // why the version is bad
	Evidence   rollout.Evidence `cbor:"5,keyasint,omitempty"`
	SeenMillis int64            `cbor:"6,keyasint"` // store's clock; 0 is unknown
	OldFlight  int              `cbor:"7,keyasint,omitempty"`
	TailMillis int64            `cbor:"8,keyasint,omitempty"`
}

var _ reports.Topic = (*rollouts)(nil)

// Name implements reports.Topic.
func (r *rollouts) Name() string { return "rollouts" }

// Collect implements reports.Topic.
func (r *rollouts) Collect() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.storeNow()
	if len(r.active) == 0 || now == 0 || !r.urgent && now-r.sentAt < rolloutNewsInterval {
		return nil
	}
	news := rolloutNews{AtMillis: millis(now)}
	for _, service := range slices.SortedFunc(maps.Keys(r.active), r.compareUrgency) {
		a := r.active[service]
		if a.withdrawn || len(news.Orders) >= maxExchangedRollouts {
			continue
		}
		news.Orders = append(news.Orders, r.newsOf(a))
	}
	state, err := cbor.Marshal(news)
	for err == nil && len(state) > maxNewsBytes && len(news.Orders) > 1 {
		news.Orders = news.Orders[:len(news.Orders)-1]
		state, err = cbor.Marshal(news)
	}
	if err != nil {
		return nil // not reached: numbers and strings can always be encoded
	}
	r.sentAt, r.urgent = now, false
	return state
}

// compareUrgency orders services for the bounded state: undecided orders come first, since
// rows of decided ones may stand for ever.
func (r *rollouts) compareUrgency(x, y string) int {
	return cmp.Or(
		boolToInt(r.active[x].state.Phase.Final())-boolToInt(r.active[y].state.Phase.Final()),
		strings.Compare(x, y),
	)
}

func (r *rollouts) newsOf(a *activeRollout) rolloutOrder {
	o := rolloutOrder{
		Service: a.order.Service, Revision: a.order.Revision, Bad: a.bad, SeenMillis: a.seen.Milliseconds(),
		OldFlight: r.balancer.RolloutCounts(a.order.Service).OldFlight, TailMillis: r.tail(a.order.Service).Milliseconds(),
	}
	if !a.state.Phase.Final() {
		o.Evidence = a.own
	}
	if a.known {
		o.State = &a.state
	}
	return o
}

// Apply implements reports.Topic. The order of states does not matter: counts and steps
// never decrease.
func (r *rollouts) Apply(origin reports.Origin, state []byte) error {
	var news rolloutNews
	if err := cbor.Unmarshal(state, &news); err != nil {
		return fmt.Errorf("decode the rollouts of instance %s: %w", origin.Instance, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range news.Orders[:min(len(news.Orders), maxExchangedRollouts)] {
		if a := r.active[o.Service]; a != nil && a.order.Revision == o.Revision {
			r.applyNews(a, origin, sinceMillis(news.AtMillis), o)
		}
	}
	return nil
}

func (r *rollouts) applyNews(a *activeRollout, origin reports.Origin, at time.Duration, o rolloutOrder) {
	a.ledger.Merge(origin, o.Evidence)
	if seen := sinceMillis(o.SeenMillis); seen > 0 && (a.seen == 0 || seen < a.seen) {
		a.seen = seen
		if !a.known {
			a.state = a.initial()
		}
	}
	at = min(at, r.storeNow()) // a clock that is ahead must not make the report current for longer
	p, ok := a.peers[origin]
	if (ok || len(a.peers) < maxPeers) && at >= p.at {
		p = peerRollout{at: at, oldFlight: o.OldFlight, tail: sinceMillis(o.TailMillis), step: rollout.Observe}
		if o.State != nil {
			p.step = o.State.Step
		}
		a.peers[origin] = p
	}
	if o.State != nil {
		a.setState(*o.State)
	}
	if o.Bad != "" && a.bad == "" && !a.withdrawn && a.state.Phase != rollout.Complete {
		r.setBad(a, o.Bad[:min(len(o.Bad), maxVerdictBytes)], "heard", origin.Instance)
	}
	r.apply(a)
}

// Forget implements reports.Topic. The counts of an instance outlive it.
func (r *rollouts) Forget(origin reports.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		delete(a.peers, origin)
	}
}

// writeMetrics writes the metrics of the orders in force in the Prometheus text format.
func (r *rollouts) writeMetrics(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.storeNow()
	for _, service := range slices.Sorted(maps.Keys(r.active)) {
		a := r.active[service]
		c := r.balancer.RolloutCounts(service)
		total := a.ledger.Total().Sum()
		for _, p := range []rollout.Phase{rollout.Progressing, rollout.Complete, rollout.Reverted} {
			fmt.Fprintf(w, "hawthornwick_rollout_phase{service=%q,phase=%q} %d\n", service, p, boolToInt(a.state.Phase == p))
		}
		fmt.Fprintf(w, "hawthornwick_rollout_step{service=%q} %d\n", service, a.state.Step)
		fmt.Fprintf(w, "hawthornwick_rollout_bad{service=%q} %d\n", service, boolToInt(a.bad != ""))
		fmt.Fprintf(w, "hawthornwick_rollout_requests_total{service=%q} %d\n", service, c.Requests)
		fmt.Fprintf(w, "hawthornwick_rollout_new_requests_total{service=%q} %d\n", service, c.SentNew)
		fmt.Fprintf(w, "hawthornwick_rollout_old_in_flight{service=%q} %d\n", service, c.OldFlight)
		writeEvidence(w, service, "old", total.Old)
		writeEvidence(w, service, "new", total.New)
		fmt.Fprintf(w, "hawthornwick_rollout_evidence_age_seconds{service=%q} %.3f\n", service, a.oldestNews(now).Seconds())
	}
}

func writeEvidence(w io.Writer, service, version string, c rollout.Counts) {
	for _, v := range []struct {
		kind  string
		count int64
	}{{"responses", c.Responses}, {"failures", c.Failures}, {"timed", c.Timed}, {"late", c.Late}, {"paced", c.Paced}, {"slow_events", c.Dragging}} {
		fmt.Fprintf(w, "hawthornwick_rollout_evidence_total{service=%q,version=%q,kind=%q} %d\n", service, version, v.kind, v.count)
	}
}

// recordStep adds an event for a state that was written. before is the earlier state.
func (r *rollouts) recordStep(a *activeRollout, before rollout.State, token uint64, detail string) {
	r.recorder.Record(timeline.Event{
		Kind: timeline.RolloutStep, Service: a.order.Service, Version: a.order.Revision, State: string(a.state.Phase),
		From: string(before.Phase), Count: int64(a.state.Step), Duty: controlDuty, Token: token,
		Duration: a.oldestNews(r.storeNow()), Detail: detail,
	})
}
