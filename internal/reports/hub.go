package reports

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// heartbeatInterval is the maximum time between two snapshots of an instance, and
// between two reports to one subscriber.
const heartbeatInterval = time.Second

// Balancer provides this instance's load and uses the load of the others.
// *balance.Balancer implements it.
type Balancer interface {
	// Loads returns this instance's load by server ID.
	Loads() map[string]balance.Load
	// TakeSent returns and removes the prompts sent since the last call.
	TakeSent() []balance.SentPrompt
	// SetOthers replaces the load of all other instances, by server ID.
	SetOthers(loads map[string]balance.Load)
	// RecordSent records prompts that other instances sent.
	RecordSent(sent []balance.SentPrompt)
	// NamedLimits returns the rate limits that servers have stated to this instance.
	NamedLimits() []balance.NamedLimit
	// ObserveNamedLimits applies those of another instance, as reported some time ago.
	ObserveNamedLimits(instance string, ago time.Duration, limits []balance.NamedLimit)
}

// CrashTracker tracks requests that may crash servers. *quarantine.Tracker
// implements it.
type CrashTracker interface {
	// Notices returns all notices that a newly started instance needs.
	Notices(now time.Time) []quarantine.Notice
	// Apply records a notice of another instance and reports whether it is news. It
	// is idempotent.
	Apply(n quarantine.Notice, now time.Time) bool
}

// Hub holds the loads of all instances and builds the reports to each subscriber. It is
// safe for concurrent use.
type Hub struct {
	instance     string
	incarnation  uint64
	startedAt    boottime.Instant
	balancer     Balancer
	crashTracker CrashTracker
	topics       []Topic
	now          func() boottime.Instant

	mu             sync.Mutex
	origins        *origins
	own            Snapshot         // the last one of this instance; Sequence 0 if there was none
	ownTakenAt     boottime.Instant // of own
	originsChanged bool             // origins differ from what the balancer was last given
	subscribers    map[*subscriber]struct{}

	reportsReceived, reportsSent uint64
	topicErrors                  atomic.Uint64 // states that could not be applied
}

// NewHub returns the hub of an instance, without loads of others or subscribers. All
// arguments but the topics are required.
func NewHub(instance string, b Balancer, c CrashTracker, now func() boottime.Instant, topics ...Topic) *Hub {
	return &Hub{
		instance: instance, incarnation: rand.Uint64(), startedAt: now(), balancer: b, crashTracker: c, now: now, topics: topics,
		origins: newOrigins(instance), subscribers: map[*subscriber]struct{}{},
	}
}

// subscribe adds a subscriber, whose first report carries all loads that it needs and
// all known crash notices.
func (h *Hub) subscribe(instance string, relation Relation) *subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscriber{instance: instance, relation: relation, wake: make(chan struct{}, 1), pending: map[string]pendingSnapshot{}}
	s.crashes = h.crashTracker.Notices(time.Now())
	if h.own.Sequence > 0 {
		s.enqueue(h.own, h.ownTakenAt)
	}
	for _, o := range h.origins.byName {
		if !o.expired && s.needs(o.relation) {
			s.enqueue(o.snapshot, o.takenAt)
		}
	}
	h.subscribers[s] = struct{}{}
	return s
}

func (h *Hub) unsubscribe(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
}

// followers returns the names of the followers among the subscribers.
func (h *Hub) followers() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := map[string]bool{}
	for s := range h.subscribers {
		if s.relation == RelationFollower {
			names[s.instance] = true
		}
	}
	return names
}

// receive applies a report of another instance, and queues what is news for the
// subscribers that need it.
func (h *Hub) receive(instance string, relation Relation, r Report) {
	news, gone := h.accept(instance, relation, r)
	h.forgetTopics(gone)
	for _, s := range news {
		if err := h.applyTopics(s); err != nil {
			h.topicErrors.Add(1)
		}
		if len(s.Sent) > 0 {
			h.balancer.RecordSent(s.Sent)
		}
		if len(s.Limits) > 0 {
			h.balancer.ObserveNamedLimits(s.Origin, s.age(), s.Limits)
		}
	}
	for _, n := range r.Crashes {
		if h.crashTracker.Apply(n, time.Now()) {
			h.forwardCrash(instance, relation, n)
		}
	}
}

// accept stores the snapshots of a report that are news, and queues them for the
// subscribers. It returns them, and the earlier runs of restarted instances.
func (h *Hub) accept(instance string, relation Relation, r Report) (news []Snapshot, gone []Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportsReceived++
	now := h.now()
	for _, s := range r.Snapshots {
		o, replaced := h.origins.accept(now, relation, s)
		if o == nil {
			continue
		}
		if replaced != nil {
			gone = append(gone, *replaced)
		}
		h.originsChanged = true
		news = append(news, o.snapshot)
		h.forward(instance, o)
	}
	return news, gone
}

// forward queues a snapshot that an instance sent for the other subscribers that need
// it.
func (h *Hub) forward(instance string, o *origin) {
	for s := range h.subscribers {
		if s.instance != instance && s.needs(o.relation) {
			s.enqueue(o.snapshot, o.takenAt)
		}
	}
	o.snapshot.Sent = nil
	o.snapshot.Topics = o.topics // a new subscriber needs all of them
}

// forwardCrash queues a notice that an instance sent for the other subscribers that
// need it.
func (h *Hub) forwardCrash(instance string, relation Relation, n quarantine.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		if s.instance != instance && s.needs(relation) {
			s.enqueueCrash(n)
		}
	}
}

// QueueCrash queues a notice of a crash that this instance observed, for all
// subscribers.
func (h *Hub) QueueCrash(n quarantine.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		s.enqueueCrash(n)
	}
}

// publish passes the loads of the others to the balancer, if they changed, and wakes
// the subscribers for their next reports.
func (h *Hub) publish() {
	own := Snapshot{Loads: h.balancer.Loads(), Sent: h.balancer.TakeSent(), Limits: h.balancer.NamedLimits(), Topics: h.collectTopics()}
	others, gone := h.update(own, h.prefillRates())
	h.forgetTopics(gone)
	if others != nil {
		h.balancer.SetOthers(others)
	}
}

// update takes a snapshot of this instance if it is due. It returns the loads of the
// others, and nil if these have not changed, and the instances that have been silent for
// too long. rates are the servers' prefill rates.
func (h *Hub) update(own Snapshot, rates map[string]float64) (others map[string]balance.Load, gone []Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if len(own.Sent) > 0 || len(own.Topics) > 0 || !maps.Equal(own.Loads, h.own.Loads) || now.Sub(h.ownTakenAt) >= heartbeatInterval {
		h.takeSnapshot(now, own)
	}
	for s := range h.subscribers {
		s.wakeUp()
	}
	gone = h.origins.expire(now)
	if len(gone) > 0 {
		h.originsChanged = true
	}
	if !h.originsChanged {
		return nil, gone
	}
	h.originsChanged = false
	return h.origins.sum(now, rates), gone
}

// takeSnapshot queues this instance's state for all subscribers.
func (h *Hub) takeSnapshot(now boottime.Instant, own Snapshot) {
	own.Origin, own.Incarnation, own.Sequence = h.instance, h.incarnation, h.own.Sequence+1
	own.UptimeMillis = now.Sub(h.startedAt).Milliseconds()
	topics := mergeTopics(h.own.Topics, own.Topics)
	h.own = own
	h.ownTakenAt = now
	for s := range h.subscribers {
		s.enqueue(h.own, now)
	}
	h.own.Sent = nil
	h.own.Topics = topics
}

// nextReport returns the next report to a subscriber. It returns false when nothing
// has changed and no heartbeat is due.
func (h *Hub) nextReport(s *subscriber) (Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := s.next(h.now())
	if ok {
		h.reportsSent++
	}
	return r, ok
}

// WriteMetrics writes the numbers of connected instances and of reports in the
// Prometheus text format.
func (h *Hub) WriteMetrics(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_loads_heard_instances %d\n", h.origins.live())
	fmt.Fprintf(w, "hawthornwick_loads_told_instances %d\n", len(h.subscribers))
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"taken\"} %d\n", h.reportsReceived)
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"made\"} %d\n", h.reportsSent)
	fmt.Fprintf(w, "hawthornwick_topic_errors_total %d\n", h.topicErrors.Load())
	h.origins.writeMetrics(w)
}
