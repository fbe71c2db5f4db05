package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Learn takes a notice of another instance. A notice may come more than once.
func (t *Tracker) Learn(n Notice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Cleared != 0 {
		t.clear(n.Cleared, n.at())
	}
	if n.Server != "" && now.Sub(n.at()) < t.options.Keep {
		t.add(n)
	}
}

// Notices returns what an instance that has just come up needs to know.
func (t *Tracker) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now) // drops what has expired
	var notices []Notice
	for _, in := range t.incidents {
		notices = append(notices, in.reports...)
	}
	return notices
}

// add merges the notice into the incident that it tells of, or into a new one.
// A notice that was added before changes nothing.
func (t *Tracker) add(n Notice) {
	if slices.ContainsFunc(t.incidents, func(in incident) bool { return in.holds(&n) }) {
		return
	}
	n.Fingerprints = slices.DeleteFunc(slices.Clone(n.Fingerprints), func(f uint64) bool {
		cleared, ok := t.cleared[f]
		return ok && !cleared.Before(n.at())
	})
	t.stale = true
	for i := range t.incidents {
		if t.incidents[i].matches(&n) {
			t.incidents[i].merge(n)
			return
		}
	}
	t.incidents = append(t.incidents, newIncident(n))
	if len(t.incidents) > maxIncident {
		t.incidents = slices.Delete(t.incidents, 0, 1)
	}
}

// clear takes a fingerprint that ran whole out of all crashes up to then, and
// reports whether there was one.
func (t *Tracker) clear(fingerprint uint64, until time.Time) bool {
	cleared := false
	for i := range t.incidents {
		in := &t.incidents[i]
		at := slices.Index(in.members, fingerprint)
		if at < 0 || in.at.After(until) {
			continue
		}
		in.members = slices.Delete(in.members, at, at+1)
		cleared = true
	}
	if cleared {
		t.stale = true
		t.cleared[fingerprint] = until
	}
	return cleared
}

// judge returns the findings, worked out anew when a crash was added, settled
// or expired.
func (t *Tracker) judge(now time.Time) findings {
	before := len(t.incidents)
	maps.DeleteFunc(t.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) >= t.options.Keep })
	t.incidents = slices.DeleteFunc(t.incidents, func(in incident) bool {
		return now.Sub(in.at) >= t.options.Keep || len(in.members) == 0
	})
	if t.stale || len(t.incidents) != before || t.settledSince(now) {
		t.judged = judge(t.incidents, now)
		t.judgedAt = now
		t.stale = false
	}
	return t.judged
}

// settledSince reports whether a crash has settled since the last judgement.
func (t *Tracker) settledSince(now time.Time) bool {
	for i := range t.incidents {
		settles := t.incidents[i].at.Add(settleTime)
		if settles.After(t.judgedAt) && !settles.After(now) {
			return true
		}
	}
	return false
}
