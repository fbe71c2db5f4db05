package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Apply applies a notice of another instance and reports whether it is news. Applying a
// notice again has no effect.
func (t *Tracker) Apply(n Notice, now time.Time) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(n.at()) >= t.options.Retention {
		return false
	}
	if n.Cleared != 0 && t.cleared[n.Cleared].Before(n.at()) {
		t.clear(n.Cleared, n.at())
		t.cleared[n.Cleared] = n.at()
		news = true
	}
	if t.clearParts(n.ClearedParts, n.at()) {
		news = true
	}
	if n.Server != "" && t.addNotice(n, now) {
		news = true
	}
	return news
}

// Notices returns the crash reports that an instance needs when it starts or
// resynchronises. They name only those that are still suspects.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assess(now) // drops expired incidents
	var notices []Notice
	for i := range t.incidents {
		notices = append(notices, t.incidents[i].notices()...)
	}
	return notices
}

// addNotice merges the notice into the incident that it reports, or into a new
// one. It returns false for a notice that was added before or whose suspects are
// cleared.
func (t *Tracker) addNotice(n Notice, now time.Time) bool {
	if slices.ContainsFunc(t.incidents, func(in incident) bool { return in.containsReport(&n) }) {
		return false
	}
	n.Fingerprints = uncleared(n.Fingerprints, t.cleared, n.at())
	n.Parts = slices.DeleteFunc(slices.Clone(n.Parts), func(p Part) bool {
		at, ok := t.clearedParts[p.ID]
		return ok && !at.Before(n.at())
	})
	if len(n.Fingerprints)+len(n.Parts) == 0 {
		return false
	}
	t.stale = true
	for i := range t.incidents {
		if t.incidents[i].matches(&n) {
			t.incidents[i].merge(n)
			return true
		}
	}
	t.incidents = append(t.incidents, newIncident(n, now))
	if len(t.incidents) > maxIncidents {
		t.incidents = slices.Delete(t.incidents, 0, 1)
	}
	return true
}

// uncleared returns the suspects of a crash that were not cleared after it.
func uncleared(suspects []uint64, cleared map[uint64]time.Time, crash time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(suspects), func(id uint64) bool {
		at, ok := cleared[id]
		return ok && !at.Before(crash)
	})
}

// clear removes a fingerprint whose request was completed from all
// incidents up to the given time. It reports whether there was one.
func (t *Tracker) clear(fingerprint uint64, until time.Time) bool {
	cleared := false
	for i := range t.incidents {
		in := &t.incidents[i]
		at := slices.Index(in.suspects, fingerprint)
		if at < 0 || in.at.After(until) {
			continue
		}
		in.suspects = slices.Delete(in.suspects, at, at+1)
		cleared = true
	}
	if cleared {
		t.stale = true
		t.cleared[fingerprint] = until
	}
	return cleared
}

// assess returns the current assessment. It is recomputed when a crash was
// added, has settled or has expired.
func (t *Tracker) assess(now time.Time) assessment {
	before := len(t.incidents)
	isOld := func(_ uint64, at time.Time) bool { return now.Sub(at) >= t.options.Retention }
	maps.DeleteFunc(t.cleared, isOld)
	maps.DeleteFunc(t.clearedParts, isOld)
	t.incidents = slices.DeleteFunc(t.incidents, func(in incident) bool {
		return now.Sub(in.at) >= t.options.Retention || !in.hasSuspects()
	})
	if t.stale || len(t.incidents) != before || t.hasNewlySettled(now) || t.hasAgedVerdict(now) {
		rule := partRule{crashes: t.outcomes.crashesToRefuse(), established: t.established.contains, before: t.assessed.parts.refusals, restored: t.restoredRefusals(now)}
		assessed := assess(t.incidents, rule, now)
		t.recordRefusals(t.assessed.parts.refusals, assessed.parts.refusals)
		t.assessed, t.assessedAt, t.stale = assessed, now, false
	}
	return t.assessed
}

// hasNewlySettled reports whether a crash has settled since the last
// assessment.
func (t *Tracker) hasNewlySettled(now time.Time) bool {
	isNew := func(settles time.Time) bool { return settles.After(t.assessedAt) && !settles.After(now) }
	return slices.ContainsFunc(t.incidents, func(in incident) bool {
		return isNew(in.at.Add(maxReportDelay)) || isNew(in.knownAt.Add(partSettleTime))
	})
}

// recordRefusals records the sets of parts that are refused from now on, and those that no
// longer are.
func (t *Tracker) recordRefusals(before, after []refusal) {
	for _, r := range added(before, after) {
		t.recordParts(r, partRefused)
	}
	for _, r := range added(after, before) {
		t.recordParts(r, partReleased)
	}
}

// added returns the refusals of after that before lacks.
func added(before, after []refusal) []refusal {
	return slices.DeleteFunc(slices.Clone(after), func(r refusal) bool {
		return slices.ContainsFunc(before, func(known refusal) bool { return known.key() == r.key() })
	})
}

func (t *Tracker) recordParts(r refusal, state string) {
	t.options.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantinePart, Subject: r.key(), State: state, Count: int64(r.crashes), Detail: fmt.Sprintf("confirmed=%t", r.confirmed),
	})
}

// Values of State in QuarantinePart events.
const (
	partRefused  = "refused"
	partReleased = "released"
	partsOnTrial = "trial"
)
