// Package quarantine finds requests, and parts of prompts, that crash backend servers.
//
// All requests that were in flight on a server when it crashed become suspects,
// identified by their fingerprints. A suspect runs only on a server without
// another suspect, so its second crash identifies it as the cause. It is then
// refused on all servers until Options.Retention after its last crash. The
// others that were in flight at its crashes are no longer suspects, and neither
// is a suspect whose request completes.
//
// The parts that the prompts of these requests share with others are suspects as
// well; see parts.go. All requests with a refused part are refused.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const defaultRetention = 30 * time.Minute

// Options configure a Tracker. The zero value is usable.
type Options struct {
	// Instance is the name of this instance in notices.
	Instance string
	// Retention is how long a crash counts, and therefore how long a
	// fingerprint is refused after its last crash. Zero means 30 minutes.
	Retention time.Duration
	// Notify sends a notice to the other instances. It must not block. If nil,
	// no notices are sent.
	Notify func(Notice)
	// Recorder receives the timeline events. If nil, they are discarded.
	Recorder timeline.Recorder
	// Claims lets one trial run at a time over all instances. If nil, this instance is
	// the only one.
	Claims Claims
}

// Tracker tracks the runs of this instance and the crashes reported by all
// instances. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu         sync.Mutex
	incidents  []incident
	assessed   assessment
	assessedAt time.Time
	stale      bool // incidents changed since assessedAt
	runs       map[string]map[*Run]struct{}
	cleared    map[uint64]time.Time // start time of the run that cleared each suspect

	outcomes     runOutcomes
	established  partSet              // parts on which this instance completed answers
	restored     map[string]Verdict   // verdicts of other instances, by refusal.key
	clearedParts map[uint64]time.Time // newest complete answer to a request with each part that was a suspect
	trying       bool                 // a trial runs on this instance or is about to
	tryAfter     time.Time            // no trial starts before it
}

// Run is one registered execution on a backend server. One of Ended and Crashed
// must be called.
type Run struct {
	tracker *Tracker
	request Request
	server  string
	epoch   uint64
	started time.Time
	trial   bool
}

// New returns a tracker without any recorded crash.
func New(o Options) *Tracker {
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
	if o.Notify == nil {
		o.Notify = func(Notice) {}
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	if o.Claims == nil {
		o.Claims = noClaims{}
	}
	return &Tracker{options: o, runs: make(map[string]map[*Run]struct{}), cleared: make(map[uint64]time.Time), clearedParts: make(map[uint64]time.Time), restored: make(map[string]Verdict)}
}

// Refused reports whether the request is refused on all servers.
func (t *Tracker) Refused(r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.assess(now)
	return current.refused[r.Fingerprint] || current.parts.standing(r.Parts) == runsNowhere
}

// Waits reports whether the request may run only as a trial and another trial may run now.
func (t *Tracker) Waits(r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.assess(now)
	return current.parts.standing(r.Parts) == runsAsTrial && !t.mayTry(now)
}

// mayTry reports whether this instance may claim a trial now.
func (t *Tracker) mayTry(now time.Time) bool { return !t.trying && !now.Before(t.tryAfter) }

// MayRun reports whether the request may run on the server now. A request that is
// not a suspect may run anywhere.
func (t *Tracker) MayRun(r Request, server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayRun(r, server, now)
}

func (t *Tracker) mayRun(r Request, server string, now time.Time) bool {
	current := t.assess(now)
	fingerprint := r.Fingerprint
	standing := current.parts.standing(r.Parts)
	switch {
	case current.refused[fingerprint] || standing == runsNowhere:
		return false
	case standing == runsAsTrial && !t.mayTry(now):
		return false
	case current.crashes[fingerprint] == 0:
		return true
	case current.crashes[fingerprint] >= refusalCrashCount && !settled(t.incidents, fingerprint, now):
		return false
	}
	for run := range t.runs[server] {
		if current.crashes[run.request.Fingerprint] > 0 {
			return false
		}
	}
	return true
}

// Start registers a run on the server. It returns false if MayRun does, or if the run
// would be a trial and another instance runs one. The epoch is the server's restart epoch;
// 0 if unknown. Fingerprint 0 means unknown and is never a suspect. A call that starts a
// trial waits for Options.Claims.
func (t *Tracker) Start(request Request, server string, epoch uint64, now time.Time) (*Run, bool) {
	r := &Run{tracker: t, request: request, server: server, epoch: epoch, started: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayRun(request, server, now) {
		return nil, false
	}
	if current := t.assess(now); current.parts.standing(request.Parts) == runsAsTrial {
		if !t.startTrial(r, now) {
			return nil, false
		}
		return r, true
	}
	t.addRun(r)
	return r, true
}

func (t *Tracker) addRun(r *Run) {
	if t.runs[r.server] == nil {
		t.runs[r.server] = make(map[*Run]struct{})
	}
	t.runs[r.server][r] = struct{}{}
}

// Ended reports an end without a crash. A complete answer clears the
// fingerprint and the parts.
func (r *Run) Ended(complete bool, now time.Time) {
	t := r.tracker
	t.mu.Lock()
	t.removeRun(r)
	t.endTrial(r)
	t.outcomes.add(false, now)
	var n Notice
	if complete {
		n = t.clearRun(r, now)
	}
	t.mu.Unlock()
	if n.Cleared != 0 || len(n.ClearedParts) > 0 {
		t.options.Notify(n)
	}
}

// clearRun clears the suspects of a run that was completed. It returns a notice of them.
func (t *Tracker) clearRun(r *Run, now time.Time) Notice {
	n := Notice{Reporter: t.options.Instance, UnixMillis: now.UnixMilli()}
	if f := r.request.Fingerprint; f != 0 && t.clear(f, r.started) {
		n.Cleared = f
	}
	for _, p := range r.request.Parts {
		t.established.add(p, now)
	}
	current := t.assess(now)
	if parts := current.suspectParts(r.request); t.clearParts(parts, now) {
		n.ClearedParts = parts
	}
	return n
}

// Crashed reports that the backend server crashed. All runs of this instance
// that were in flight there in the same or an earlier epoch become suspects.
// Later calls by those runs have no effect.
func (r *Run) Crashed(now time.Time) {
	t := r.tracker
	t.mu.Lock()
	notice, ok := t.recordCrash(r, now)
	t.mu.Unlock()
	if ok {
		t.options.Notify(notice)
	}
}

func (t *Tracker) recordCrash(r *Run, now time.Time) (Notice, bool) {
	if _, open := t.runs[r.server][r]; !open {
		return Notice{}, false
	}
	n := Notice{Reporter: t.options.Instance, Server: r.server, Epoch: r.epoch, UnixMillis: now.UnixMilli()}
	var suspects []Request
	for other := range t.runs[r.server] {
		if other.epoch > r.epoch {
			continue // started after the restart
		}
		t.removeRun(other)
		t.endTrial(other)
		n.Trial = n.Trial || other.trial
		t.outcomes.add(true, now)
		n.SinceMillis = max(n.SinceMillis, other.started.UnixMilli())
		if f := other.request.Fingerprint; f != 0 && !slices.Contains(n.Fingerprints, f) {
			n.Fingerprints = append(n.Fingerprints, f)
			suspects = append(suspects, other.request)
		}
		n.Parts = appendMissingParts(n.Parts, other.request.parts())
	}
	if len(n.Fingerprints)+len(n.Parts) == 0 {
		return Notice{}, false
	}
	t.addNotice(n, now)
	t.recordSuspects(n.Server, suspects, now)
	return n, true
}

func (t *Tracker) removeRun(r *Run) {
	delete(t.runs[r.server], r)
	if len(t.runs[r.server]) == 0 {
		delete(t.runs, r.server)
	}
}

// recordSuspects records the requests that were in flight on a crashed server.
func (t *Tracker) recordSuspects(server string, suspects []Request, now time.Time) {
	current := t.assess(now)
	for _, r := range suspects {
		t.options.Recorder.Record(timeline.Event{
			Kind: timeline.QuarantineAdded, Record: formatID(r.Fingerprint), Server: server,
			Count: int64(current.crashes[r.Fingerprint]), Detail: "parts=" + formatIDs(r.Parts),
		})
	}
}
