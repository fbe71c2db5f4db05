package quarantine

import (
	"maps"
	"slices"
	"time"
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
	if n.Server != "" && t.addNotice(n) {
		news = true
	}
	return news
}

// Notices returns the crash reports that an instance needs when it starts or
// resynchronises.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assess(now) // drops expired incidents
	var notices []Notice
	for _, in := range t.incidents {
		notices = append(notices, in.reports...)
	}
	return notices
}

// addNotice merges the notice into the incident that it reports, or into a new
// one. It returns false for a notice that was added before or whose suspects are
// cleared.
func (t *Tracker) addNotice(n Notice) bool {
	if slices.ContainsFunc(t.incidents, func(in incident) bool { return in.containsReport(&n) }) {
		return false
	}
	n.Fingerprints = slices.DeleteFunc(slices.Clone(n.Fingerprints), func(f uint64) bool {
		cleared, ok := t.cleared[f]
		return ok && !cleared.Before(n.at())
	})
	if len(n.Fingerprints) == 0 {
		return false
	}
	t.stale = true
	for i := range t.incidents {
		if t.incidents[i].matches(&n) {
			t.incidents[i].merge(n)
			return true
		}
	}
	t.incidents = append(t.incidents, newIncident(n))
	if len(t.incidents) > maxIncidents {
		t.incidents = slices.Delete(t.incidents, 0, 1)
	}
	return true
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
	maps.DeleteFunc(t.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) >= t.options.Retention })
	t.incidents = slices.DeleteFunc(t.incidents, func(in incident) bool {
		return now.Sub(in.at) >= t.options.Retention || len(in.suspects) == 0
	})
	if t.stale || len(t.incidents) != before || t.hasNewlySettled(now) {
		t.assessed = assess(t.incidents, now)
		t.assessedAt = now
		t.stale = false
	}
	return t.assessed
}

// hasNewlySettled reports whether a crash has settled since the last
// assessment.
func (t *Tracker) hasNewlySettled(now time.Time) bool {
	for i := range t.incidents {
		settles := t.incidents[i].at.Add(maxReportDelay)
		if settles.After(t.assessedAt) && !settles.After(now) {
			return true
		}
	}
	return false
}
