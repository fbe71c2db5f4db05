// Package quarantine finds requests that crash backend servers.
//
// All requests in flight on a server that crashed are suspects, known by their
// fingerprints. A suspect runs only where no other suspect runs, so that its
// second crash names it alone; it is then refused everywhere for a time. The
// others of its crashes stop being suspects, as does whoever runs whole.
package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const defaultKeep = 30 * time.Minute

// Options configure a Tracker.
type Options struct {
	// Instance names this instance in notices.
	Instance string
	// Keep is how long a crash counts, and so how long a culprit is refused
	// after its last crash. Default 30m; zero means the default.
	Keep time.Duration
	// Notify hands a notice to the other instances. It must not block. Nil: none.
	Notify func(Notice)
	// Recorder takes the time line's events. Nil: none.
	Recorder timeline.Recorder
}

// Tracker follows the runs of this instance and the crashes seen by all. It is
// safe for concurrent use.
type Tracker struct {
	options Options

	mu        sync.Mutex
	incidents []incident
	judged    findings
	judgedAt  time.Time
	stale     bool // incidents changed since judgedAt
	runs      map[string]map[*Run]struct{}
	cleared   map[uint64]time.Time // suspects that ran whole, by when the run began
}

// Run is one execution on a backend server.
type Run struct {
	tracker     *Tracker
	fingerprint uint64
	server      string
	epoch       uint64
	started     time.Time
}

// New returns a tracker that knows of no crash.
func New(o Options) *Tracker {
	if o.Keep == 0 {
		o.Keep = defaultKeep
	}
	if o.Notify == nil {
		o.Notify = func(Notice) {}
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	return &Tracker{options: o, runs: make(map[string]map[*Run]struct{}), cleared: make(map[uint64]time.Time)}
}

// Refused reports whether the fingerprint is refused everywhere.
func (t *Tracker) Refused(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(now).refused[fingerprint]
}

// MayRun reports whether the fingerprint may run on the server now. Whoever is
// no suspect may run anywhere.
func (t *Tracker) MayRun(fingerprint uint64, server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayRun(fingerprint, server, now)
}

func (t *Tracker) mayRun(fingerprint uint64, server string, now time.Time) bool {
	found := t.judge(now)
	switch {
	case found.refused[fingerprint]:
		return false
	case found.crashes[fingerprint] == 0:
		return true
	case found.crashes[fingerprint] >= convictingCrashes && !settled(t.incidents, fingerprint, now):
		return false
	}
	for run := range t.runs[server] {
		if found.crashes[run.fingerprint] > 0 {
			return false
		}
	}
	return true
}

// Start registers a run on the server; false when MayRun denies it. The epoch
// is the server's restart epoch, 0 if unknown. Fingerprint 0 is unknown and is
// never a suspect.
func (t *Tracker) Start(fingerprint uint64, server string, epoch uint64, now time.Time) (*Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayRun(fingerprint, server, now) {
		return nil, false
	}
	r := &Run{tracker: t, fingerprint: fingerprint, server: server, epoch: epoch, started: now}
	if t.runs[server] == nil {
		t.runs[server] = make(map[*Run]struct{})
	}
	t.runs[server][r] = struct{}{}
	return r, true
}

// Ended reports an end without a crash. A whole answer clears the fingerprint.
func (r *Run) Ended(whole bool, now time.Time) {
	t := r.tracker
	t.mu.Lock()
	t.remove(r)
	cleared := whole && r.fingerprint != 0 && t.clear(r.fingerprint, r.started)
	t.mu.Unlock()
	if cleared {
		t.options.Notify(Notice{Reporter: t.options.Instance, UnixMillis: now.UnixMilli(), Cleared: r.fingerprint})
	}
}

// Crashed reports that the backend server died. All runs that were in flight
// there in the same epoch become suspects; their own reports add nothing.
func (r *Run) Crashed(now time.Time) {
	t := r.tracker
	t.mu.Lock()
	notice, ok := t.crash(r, now)
	t.mu.Unlock()
	if ok {
		t.options.Notify(notice)
	}
}

func (t *Tracker) crash(r *Run, now time.Time) (Notice, bool) {
	if _, open := t.runs[r.server][r]; !open {
		return Notice{}, false
	}
	n := Notice{Reporter: t.options.Instance, Server: r.server, Epoch: r.epoch, UnixMillis: now.UnixMilli()}
	for other := range t.runs[r.server] {
		if other.epoch > r.epoch {
			continue // runs on the restarted server
		}
		t.remove(other)
		n.SinceMillis = max(n.SinceMillis, other.started.UnixMilli())
		if other.fingerprint != 0 && !slices.Contains(n.Fingerprints, other.fingerprint) {
			n.Fingerprints = append(n.Fingerprints, other.fingerprint)
		}
	}
	if len(n.Fingerprints) == 0 {
		return Notice{}, false
	}
	t.add(n)
	t.recordSuspects(&n, now)
	return n, true
}

func (t *Tracker) remove(r *Run) {
	delete(t.runs[r.server], r)
	if len(t.runs[r.server]) == 0 {
		delete(t.runs, r.server)
	}
}

func (t *Tracker) recordSuspects(n *Notice, now time.Time) {
	found := t.judge(now)
	for _, f := range n.Fingerprints {
		t.options.Recorder.Record(timeline.Event{
			Kind: timeline.QuarantineAdded, Record: strconv.FormatUint(f, 16),
			Server: n.Server, Count: int64(found.crashes[f]),
		})
	}
}
