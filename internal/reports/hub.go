package reports

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

const (
	// loadsTTL is how long the loads of an instance are used after its last report.
	loadsTTL = 2500 * time.Millisecond
	// heartbeatInterval is the maximum time between two reports to one instance.
	heartbeatInterval = time.Second
	// maxQueued bounds the prompts, and the notices, that are queued for the next
	// report to an instance. The oldest are dropped.
	maxQueued = 512
)

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
}

// CrashTracker tracks requests that may crash servers. *quarantine.Tracker
// implements it.
type CrashTracker interface {
	// Notices returns all notices that a newly started instance needs.
	Notices(now time.Time) []quarantine.Notice
	// Apply records a notice of another instance. It is idempotent.
	Apply(n quarantine.Notice, now time.Time)
}

// remoteReport is the last report of another instance.
type remoteReport struct {
	role       Role
	loads      map[string]balance.Load
	receivedAt boottime.Instant
}

// Hub collects the load of this instance and of others, and builds the reports to
// each subscriber. It is safe for concurrent use.
type Hub struct {
	balancer     Balancer
	crashTracker CrashTracker
	now          func() boottime.Instant

	mu             sync.Mutex
	remotes        map[string]remoteReport // by instance
	subscribers    map[*subscriber]struct{}
	own            map[string]balance.Load
	remotesChanged bool // remotes differ from what the balancer was last given

	reportsReceived, reportsSent uint64
}

// subscriber is an instance that receives reports from this one.
type subscriber struct {
	instance     string
	role         Role
	wake         chan struct{}
	sent         []balance.SentPrompt
	crashes      []quarantine.Notice
	lastLoads    map[string]balance.Load
	lastReportAt boottime.Instant
}

// NewHub returns a hub without remote reports or subscribers. All arguments are
// required.
func NewHub(b Balancer, c CrashTracker, now func() boottime.Instant) *Hub {
	return &Hub{balancer: b, crashTracker: c, now: now, remotes: map[string]remoteReport{}, subscribers: map[*subscriber]struct{}{}}
}

// subscribe adds a subscriber, whose first report carries all known crash notices.
func (h *Hub) subscribe(instance string, role Role) *subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscriber{instance: instance, role: role, wake: make(chan struct{}, 1)}
	s.crashes = h.crashTracker.Notices(time.Now())
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
		if s.role == Follower {
			names[s.instance] = true
		}
	}
	return names
}

// receive stores a report of another instance. Its prompts and notices are queued
// for the subscribers that do not receive them directly, and applied here.
func (h *Hub) receive(instance string, role Role, r Report) {
	h.mu.Lock()
	h.remotes[instance] = remoteReport{role: role, loads: r.Loads, receivedAt: h.now()}
	h.remotesChanged = true
	h.reportsReceived++
	for s := range h.subscribers {
		if s.shouldReceive(instance, role) {
			s.enqueue(r.Sent, r.Crashes)
		}
	}
	h.mu.Unlock()
	if len(r.Sent) > 0 {
		h.balancer.RecordSent(r.Sent)
	}
	for _, n := range r.Crashes {
		h.crashTracker.Apply(n, time.Now())
	}
}

// QueueCrash queues a notice of a crash that this instance observed, for all
// subscribers.
func (h *Hub) QueueCrash(n quarantine.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		s.enqueue(nil, []quarantine.Notice{n})
	}
}

// remove drops the report of an instance whose connection has ended.
func (h *Hub) remove(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.remotes[instance]; found {
		delete(h.remotes, instance)
		h.remotesChanged = true
	}
}

// shouldReceive reports whether the subscriber depends on this instance for the
// reports of another. Followers receive everything through their reader; readers
// receive each other's reports directly, and need only those of this instance's
// followers.
func (s *subscriber) shouldReceive(instance string, role Role) bool {
	return s.instance != instance && (s.role == Follower || role == Follower)
}

func (s *subscriber) enqueue(sent []balance.SentPrompt, crashes []quarantine.Notice) {
	s.sent = keepNewest(append(s.sent, sent...))
	s.crashes = keepNewest(append(s.crashes, crashes...))
}

func keepNewest[T any](queued []T) []T { return queued[max(len(queued)-maxQueued, 0):] }

// publish passes the collected loads to the balancer, if they changed, and wakes
// the subscribers for their next reports.
func (h *Hub) publish() {
	own, sent := h.balancer.Loads(), h.balancer.TakeSent()
	h.mu.Lock()
	h.own = own
	h.removeExpired()
	var others map[string]balance.Load
	if h.remotesChanged {
		others = h.sumLoads(func(string, Role) bool { return true })
		h.remotesChanged = false
	}
	for s := range h.subscribers {
		s.enqueue(sent, nil)
		select {
		case s.wake <- struct{}{}:
		default: // the previous wake-up is still pending
		}
	}
	h.mu.Unlock()
	if others != nil {
		h.balancer.SetOthers(others)
	}
}

// removeExpired drops reports that are older than loadsTTL.
func (h *Hub) removeExpired() {
	now := h.now()
	for instance, r := range h.remotes {
		if now.Sub(r.receivedAt) > loadsTTL {
			delete(h.remotes, instance)
			h.remotesChanged = true
		}
	}
}

// sumLoads returns the total load, as of now, of the instances for which include
// returns true.
func (h *Hub) sumLoads(include func(instance string, role Role) bool) map[string]balance.Load {
	now := h.now()
	total := map[string]balance.Load{}
	for instance, r := range h.remotes {
		if !include(instance, r.role) {
			continue
		}
		for server, l := range r.loads {
			total[server] = total[server].Add(l.After(now.Sub(r.receivedAt)))
		}
	}
	return total
}

// nextReport returns the next report to a subscriber. It returns false when nothing
// has changed and no heartbeat is due.
func (h *Hub) nextReport(s *subscriber) (Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loads := h.sumLoads(s.shouldReceive)
	for server, l := range h.own {
		loads[server] = loads[server].Add(l)
	}
	now := h.now()
	if len(s.sent)+len(s.crashes) == 0 && maps.Equal(loads, s.lastLoads) && now.Sub(s.lastReportAt) < heartbeatInterval {
		return Report{}, false
	}
	h.reportsSent++
	r := Report{Loads: loads, Sent: s.sent, Crashes: s.crashes}
	s.lastLoads, s.lastReportAt, s.sent, s.crashes = loads, now, nil, nil
	return r, true
}

// WriteMetrics writes the numbers of connected instances and of reports in the
// Prometheus text format.
func (h *Hub) WriteMetrics(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_loads_heard_instances %d\n", len(h.remotes))
	fmt.Fprintf(w, "hawthornwick_loads_told_instances %d\n", len(h.subscribers))
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"taken\"} %d\n", h.reportsReceived)
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"made\"} %d\n", h.reportsSent)
}
