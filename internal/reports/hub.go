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
	// lifetime is how long what an instance told counts without another report.
	lifetime = 2500 * time.Millisecond
	// heartbeat is the longest time between two reports to one instance.
	heartbeat = time.Second
	// mostQueued bounds the prompts, and the notices, that wait for the next report;
	// the oldest go.
	mostQueued = 512
)

// Balancer chooses backend servers by what it is told here.
type Balancer interface {
	// Loads returns this instance's own load by server.
	Loads() map[string]balance.Load
	// TakeSent returns the prompts sent since the last call.
	TakeSent() []balance.Sent
	// SetOthers takes the loads of all other instances.
	SetOthers(loads map[string]balance.Load)
	// NoteSent takes prompts that other instances sent.
	NoteSent(sent []balance.Sent)
}

// Suspects follows requests that crash servers.
type Suspects interface {
	// Notices returns what an instance that has just come up needs to know.
	Notices(now time.Time) []quarantine.Notice
	// Learn takes a notice of another instance, which may come more than once.
	Learn(n quarantine.Notice, now time.Time)
}

// heard is the last report of another instance.
type heard struct {
	role  Role
	loads map[string]balance.Load
	at    boottime.Instant
}

// Hub gathers what this instance and others have on the servers, and makes the
// reports to each of them. It is safe for concurrent use.
type Hub struct {
	balancer Balancer
	suspects Suspects
	now      func() boottime.Instant

	mu          sync.Mutex
	heard       map[string]heard // by instance
	subscribers map[*subscriber]struct{}
	own         map[string]balance.Load
	news        bool // something was heard since the balancer was told

	taken, made uint64 // reports of others, and to others
}

// subscriber is an instance to which reports are made.
type subscriber struct {
	instance string
	role     Role
	wake     chan struct{}
	sent     []balance.Sent
	crashes  []quarantine.Notice
	last     map[string]balance.Load
	at       boottime.Instant // of the last report
}

// NewHub returns a hub that has heard nothing.
func NewHub(b Balancer, s Suspects, now func() boottime.Instant) *Hub {
	return &Hub{balancer: b, suspects: s, now: now, heard: map[string]heard{}, subscribers: map[*subscriber]struct{}{}}
}

// subscribe begins reports to an instance.
func (h *Hub) subscribe(instance string, role Role) *subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscriber{instance: instance, role: role, wake: make(chan struct{}, 1)}
	s.crashes = h.suspects.Notices(time.Now())
	h.subscribers[s] = struct{}{}
	return s
}

func (h *Hub) unsubscribe(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
}

// followers returns the names of the followers that are reported to.
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

// took takes a report of an instance.
func (h *Hub) took(instance string, role Role, r Report) {
	h.mu.Lock()
	h.heard[instance] = heard{role: role, loads: r.Loads, at: h.now()}
	h.news = true
	h.taken++
	for s := range h.subscribers {
		if s.hears(instance, role) {
			s.queue(r.Sent, r.Crashes)
		}
	}
	h.mu.Unlock()
	if len(r.Sent) > 0 {
		h.balancer.NoteSent(r.Sent)
	}
	for _, n := range r.Crashes {
		h.suspects.Learn(n, time.Now())
	}
}

// Crashed tells the others of a crash that this instance saw.
func (h *Hub) Crashed(n quarantine.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		s.queue(nil, []quarantine.Notice{n})
	}
}

// lost forgets an instance that is no longer heard.
func (h *Hub) lost(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.heard[instance]; found {
		delete(h.heard, instance)
		h.news = true
	}
}

// hears reports whether the subscriber hears of another instance from this one.
func (s *subscriber) hears(instance string, role Role) bool {
	return s.instance != instance && (s.role == Follower || role == Follower)
}

func (s *subscriber) queue(sent []balance.Sent, crashes []quarantine.Notice) {
	s.sent = newest(append(s.sent, sent...))
	s.crashes = newest(append(s.crashes, crashes...))
}

func newest[T any](queued []T) []T { return queued[max(len(queued)-mostQueued, 0):] }

// turn tells the balancer what was heard and wakes the subscribers for their next
// reports.
func (h *Hub) turn() {
	own, sent := h.balancer.Loads(), h.balancer.TakeSent()
	h.mu.Lock()
	h.own = own
	h.forget()
	var others map[string]balance.Load
	if h.news {
		others = h.sum(func(string, Role) bool { return true })
		h.news = false
	}
	for s := range h.subscribers {
		s.queue(sent, nil)
		select {
		case s.wake <- struct{}{}:
		default: // still busy with the last one
		}
	}
	h.mu.Unlock()
	if others != nil {
		h.balancer.SetOthers(others)
	}
}

// forget drops what is too old to count.
func (h *Hub) forget() {
	now := h.now()
	for instance, r := range h.heard {
		if now.Sub(r.at) > lifetime {
			delete(h.heard, instance)
			h.news = true
		}
	}
}

// sum adds up the loads of the instances for which include holds, as they are now.
func (h *Hub) sum(include func(instance string, role Role) bool) map[string]balance.Load {
	now := h.now()
	total := map[string]balance.Load{}
	for instance, r := range h.heard {
		if !include(instance, r.role) {
			continue
		}
		for server, l := range r.loads {
			total[server] = total[server].Add(l.After(now.Sub(r.at)))
		}
	}
	return total
}

// report makes the next report to a subscriber; false when there is nothing to tell.
func (h *Hub) report(s *subscriber) (Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loads := h.sum(s.hears)
	for server, l := range h.own {
		loads[server] = loads[server].Add(l)
	}
	now := h.now()
	if len(s.sent)+len(s.crashes) == 0 && maps.Equal(loads, s.last) && now.Sub(s.at) < heartbeat {
		return Report{}, false
	}
	h.made++
	r := Report{Loads: loads, Sent: s.sent, Crashes: s.crashes}
	s.last, s.at, s.sent, s.crashes = loads, now, nil, nil
	return r, true
}

// WriteMetrics writes how many instances are heard and reported to, and the reports,
// in the text format.
func (h *Hub) WriteMetrics(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_loads_heard_instances %d\n", len(h.heard))
	fmt.Fprintf(w, "hawthornwick_loads_told_instances %d\n", len(h.subscribers))
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"taken\"} %d\n", h.taken)
	fmt.Fprintf(w, "hawthornwick_load_reports_total{direction=\"made\"} %d\n", h.made)
}
