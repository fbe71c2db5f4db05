package edge

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// rolloutInterval is the interval at which the evidence is evaluated.
	rolloutInterval = 100 * time.Millisecond
	// rolloutReadInterval is the interval at which the state is read from the store while
	// it is unknown or nothing is heard from other instances.
	rolloutReadInterval = 500 * time.Millisecond
	// rolloutNewsPart is the part of Bounds.Rollback after which evidence of other
	// instances is out of date.
	rolloutNewsPart = 0.3
	// A new server's times are not judged for the shorter of maxSettling and settlingPart
	// of the order's duration.
	maxSettling  = 5 * time.Second
	settlingPart = 1.0 / 8
	// maxBaselines bounds the routes of which usual times are kept.
	maxBaselines = 1024
)

// rollouts applies orders to move a service's traffic to another version on this
// instance: it counts evidence, exchanges it with the other instances, and tells the
// balancer which versions requests may go to. It is the reports.Topic of rollouts, and
// safe for concurrent use.
type rollouts struct {
	settings Settings
	duties   platform.Table
	status   RolloutStatus
	balancer *balance.Balancer
	clock    *truetime.Clock
	recorder timeline.Recorder
	logger   hclog.Logger
	tail     func(service string) time.Duration // usual time of the longest responses; set before run

	firstOrder sync.Once
	ordered    chan struct{} // closed at the first order

	mu        sync.Mutex
	active    map[string]*activeRollout // by service
	baselines map[baselineKey]*baselines
	deferred  map[string]orderRow // by service; of a restored store, applied once its rows are complete
	sentAt    time.Duration       // when the last state was published, by the store's clock
	urgent    bool                // the state must be published at once
}

// activeRollout is what this instance knows of one order.
type activeRollout struct {
	order     rollout.Order
	seen      time.Duration // when the order was first seen by any instance, by the store's clock
	state     rollout.State
	known     bool          // state was read from the store, or heard
	readAt    time.Duration // before the latest successful read of the state, by the store's clock; zero means never
	withdrawn bool          // the order's row was removed
	bad       string
	judge     rollout.Judge
	own       rollout.Evidence
	ledger    *rollout.Ledger[reports.Origin]
	peers     map[reports.Origin]peerRollout
}

// peerRollout is the last state of another instance.
type peerRollout struct {
	at        time.Duration // by the store's clock
	step      rollout.Step
	oldFlight int
	tail      time.Duration
}

type baselineKey struct{ service, route string }

// baselines are the usual times of a route at the old version.
type baselines struct{ response, interval rollout.Baseline }

// ownOrigin is the key of this instance's evidence in a ledger.
var ownOrigin = reports.Origin{}

func newRollouts(s Settings, p Platform, b *balance.Balancer, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger) *rollouts {
	return &rollouts{
		settings: s, duties: p.Duties, status: p.RolloutStatus, balancer: b, clock: clock, recorder: recorder, logger: logger,
		tail:    func(string) time.Duration { return 0 },
		ordered: make(chan struct{}), active: map[string]*activeRollout{}, deferred: map[string]orderRow{}, baselines: map[baselineKey]*baselines{},
	}
}

// enabled reports whether the settings have the bounds and the platform the status rows
// that rollouts need.
func (r *rollouts) enabled() bool {
	return r.settings.Bounds.CanaryShare > 0 && r.settings.Bounds.Rollback > 0 && r.status.Table != nil
}

func (r *rollouts) run(ctx context.Context, running *sync.WaitGroup) {
	if !r.enabled() {
		return
	}
	running.Go(func() { r.everyAfterOrder(ctx, rolloutInterval, r.tick) })
	running.Go(func() { r.everyAfterOrder(ctx, rolloutReadInterval, r.readStates) })
}

// everyAfterOrder calls f at each interval, once there has been an order.
func (r *rollouts) everyAfterOrder(ctx context.Context, interval time.Duration, f func(context.Context)) {
	select {
	case <-ctx.Done():
	case <-r.ordered:
		wait.Every(ctx, interval, f)
	}
}

// storeNow returns the store's clock, or zero before its first sample.
func (r *rollouts) storeNow() time.Duration {
	now, ok := r.clock.Store()
	if !ok {
		return 0
	}
	return now
}

// progresses reports whether an order for the service is in force and not decided.
func (r *rollouts) progresses(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[service]
	return a != nil && !a.withdrawn && !a.state.Phase.Final()
}

// tick evaluates the evidence and renews the balancer's rules.
func (r *rollouts) tick(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.active {
		r.evaluate(a)
		r.apply(a)
	}
}

// evaluate judges the evidence of an order that is in force.
func (r *rollouts) evaluate(a *activeRollout) {
	if a.withdrawn || a.bad != "" || a.state.Phase.Final() {
		return
	}
	a.ledger.Merge(ownOrigin, a.own)
	if verdict := a.judge.Observe(a.ledger.Total()); verdict != "" {
		r.setBad(a, verdict, "own", "")
	}
}

// setBad records that the new version is bad. Nothing takes it back for this order.
func (r *rollouts) setBad(a *activeRollout, verdict, state, peer string) {
	a.bad, r.urgent = verdict, true
	r.recorder.Record(timeline.Event{
		Kind: timeline.RolloutVerdict, Service: a.order.Service, Version: a.order.Revision, State: state, Peer: peer,
		Duration: a.oldestNews(r.storeNow()), Detail: verdict,
	})
}

// apply sets the balancer's rule.
func (r *rollouts) apply(a *activeRollout) {
	valid := r.newsAge()
	rule := rollout.RuleOf(a.order, a.state, r.settings.Bounds.CanaryShare, a.bad != "", a.known, r.current(a))
	if a.withdrawn && rule.Phase != rollout.Complete {
		rule.Blocked = true
		if a.bad == "" && rule.Phase != rollout.Reverted && r.balancer.RolloutCounts(a.order.Service).OldServers == 0 {
			rule.Blocked = false
			rule.Fraction, rule.Only = 1, true
		}
	}
	if a.withdrawn && rule.Phase == rollout.Complete {
		r.balancer.ClearRollout(a.order.Service)
		return
	}
	r.balancer.SetRollout(rule, valid)
}

// newsAge is the age from which what other instances reported is out of date.
func (r *rollouts) newsAge() time.Duration {
	return time.Duration(rolloutNewsPart * float64(r.settings.Bounds.Rollback))
}

// current reports whether a verdict would be known to this instance: it has recently heard
// from enough others, or, once all traffic has shifted, has recently read the holder's row.
// Before that step a read is not enough: the holder may be cut off from the evidence too,
// and old servers still take the requests.
func (r *rollouts) current(a *activeRollout) bool {
	if r.heard(a, r.newsAge()) {
		return true
	}
	return a.state.Step == rollout.All && a.readAt > 0 && r.storeNow()-a.readAt < r.newsAge()
}

// heard reports whether half of the instances have reported within the age, so that no
// group of instances that is cut off from most others goes on by itself. Before the first
// sample of the store's clock, the age of a report is unknown.
func (r *rollouts) heard(a *activeRollout, age time.Duration) bool {
	now, fresh := r.storeNow(), 0
	for _, p := range a.peers {
		if now-p.at < age {
			fresh++
		}
	}
	return now > 0 && fresh >= r.balancer.Instances()/2
}

// oldestNews returns the age of the oldest report of the instances that still report.
func (a *activeRollout) oldestNews(now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, p := range a.peers {
		oldest = max(oldest, now-p.at)
	}
	return oldest
}

// setState applies a state that was read, heard or written. A malformed one is ignored, since
// none with a lower step would replace it.
func (a *activeRollout) setState(s rollout.State) {
	if s.Revision != a.order.Revision || !s.Valid() {
		return
	}
	if !a.known || s.Supersedes(a.state) {
		a.state = s
	}
	a.known = true
}

// readStates reads the states that are not known, or may have changed unheard, from the
// store.
func (r *rollouts) readStates(ctx context.Context) {
	for service, revision := range r.unheard() {
		began := r.storeNow()
		rows, err := r.readRow(ctx, service)
		if err != nil {
			r.logger.Debug("reading the state of a rollout failed; retrying", "service", service, "error", err)
			continue
		}
		r.mu.Lock()
		if a := r.active[service]; a != nil && a.order.Revision == revision {
			switch {
			case rows.state.Revision == revision:
				a.setState(rows.state)
				a.readAt = began
			case rows.state.Revision < revision:
				if s, ok := a.carriedOver(rows.state); ok {
					a.setState(s)
				}
				a.known = true // nothing else was decided yet
			}
			r.apply(a)
		}
		r.mu.Unlock()
	}
}

// unheard returns the services with orders whose state must be read, with the revisions.
// Once all traffic has shifted, the state is read before the news is out of date, so that
// requests need not wait for the read.
func (r *rollouts) unheard() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]uint64{}
	for service, a := range r.active {
		age := r.newsAge()
		if a.state.Step == rollout.All {
			age /= 2
		}
		if !a.state.Phase.Final() && (!a.known || !r.heard(a, age)) {
			services[service] = a.order.Revision
		}
	}
	return services
}

// observe counts what an attempt says about the version of its server. It returns how a
// response of a new version is bad, or "".
func (r *rollouts) observe(s gateway.VersionSample) string {
	if !r.enabled() {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[s.Service]
	isNew := a != nil && s.Version == a.order.To
	settled := !s.Cold && !r.settling(a, s.StartedMillis)
	late, timed, dragging, paced := r.judgeTimes(s, isNew, settled)
	if a == nil || a.withdrawn || a.state.Phase.Final() {
		return ""
	}
	c := rollout.Counts{
		Responses: count(s.Ended), Failures: count(s.Failed), Timed: count(timed), Late: count(late),
		Paced: count(paced), Dragging: count(dragging),
	}
	a.own.Add(s.Route, isNew, c)
	if !isNew || !(s.Failed || late || dragging) {
		return ""
	}
	r.urgent = true
	return fmt.Sprintf("failed=%t late=%t slow_events=%t response=%.3g interval=%v", s.Failed, late, dragging, s.Response, s.EventInterval)
}

// judgeTimes judges the times of a sample by the usual ones of the old version, which it
// updates.
func (r *rollouts) judgeTimes(s gateway.VersionSample, isNew, settled bool) (late, timed, dragging, paced bool) {
	if !settled || s.Response <= 0 && s.EventInterval <= 0 {
		return
	}
	key := baselineKey{s.Service, s.Route}
	b := r.baselines[key]
	if b == nil {
		if len(r.baselines) >= maxBaselines {
			clear(r.baselines)
		}
		b = &baselines{}
		r.baselines[key] = b
	}
	late, timed = b.response.Slow(s.Response)
	dragging, paced = b.interval.Slow(s.EventInterval.Seconds())
	if !isNew {
		b.response.Observe(s.Response)
		b.interval.Observe(s.EventInterval.Seconds())
	}
	return
}

// settling reports whether the server started so recently that its times say nothing.
func (r *rollouts) settling(a *activeRollout, startedMillis int64) bool {
	if startedMillis == 0 {
		return false
	}
	settling := maxSettling
	if a != nil {
		settling = min(settling, time.Duration(settlingPart*float64(a.order.Duration)))
	}
	age := r.clock.Now().Sub(time.UnixMilli(startedMillis))
	return age < settling
}

func count(b bool) int64 { return int64(boolToInt(b)) }

// millis returns a reading of the store's clock in milliseconds, at least 1.
func millis(d time.Duration) int64 { return max(d.Milliseconds(), 1) }

// sinceMillis returns the reading of the store's clock for a number of milliseconds that
// another instance sent.
func sinceMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}
