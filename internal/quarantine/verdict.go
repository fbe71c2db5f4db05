package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxVerdicts bounds the verdicts that are kept. The oldest are dropped.
const maxVerdicts = 64

// Verdict states that requests with a part of prompts, or with all of several parts, crash
// servers. Verdicts are kept in the store, so that they outlive all instances.
type Verdict struct {
	// Part is the ID of the part. It has no meaning if Parts is set.
	Part uint64 `json:"part"`
	// Parts are the IDs of several parts of which at least one crashes servers.
	Parts []uint64 `json:"parts,omitempty"`
	// Crashes is the number of crashes that it is refused for.
	Crashes int `json:"crashes"`
	// UnixMillis is the time of the last of them, after which the verdict ages.
	UnixMillis int64 `json:"unix_ms"`
	// Confirmed is true if no other part explains these crashes. Otherwise one request
	// is tried before the next are refused.
	Confirmed bool `json:"confirmed,omitempty"`
}

func (v Verdict) at() time.Time { return time.UnixMilli(v.UnixMillis) }

// set returns the parts in ascending order.
func (v Verdict) set() []uint64 {
	if len(v.Parts) == 0 {
		return []uint64{v.Part}
	}
	return slices.Sorted(slices.Values(v.Parts))
}

func (v Verdict) refusal() refusal {
	return refusal{parts: v.set(), crashes: v.Crashes, confirmed: v.Confirmed}
}

// newVerdict returns the verdict of a refusal.
func newVerdict(r refusal, last time.Time) Verdict {
	v := Verdict{Crashes: r.crashes, UnixMillis: last.UnixMilli(), Confirmed: r.confirmed}
	if len(r.parts) == 1 {
		v.Part = r.parts[0]
	} else {
		v.Parts = r.parts
	}
	return v
}

// Verdicts returns what is refused, newest first.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdicts []Verdict
	for _, r := range t.assess(now).parts.refusals {
		verdicts = append(verdicts, newVerdict(r, t.lastCrash(&r)))
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.UnixMillis, a.UnixMillis), slices.Compare(a.set(), b.set()))
	})
	return verdicts[:min(len(verdicts), maxVerdicts)]
}

// lastCrash returns the time of the newest crash for which parts are refused.
func (t *Tracker) lastCrash(r *refusal) time.Time {
	last := t.restored[r.key()].at()
	for i := range t.incidents {
		if in := &t.incidents[i]; r.explains(in) && in.at.After(last) {
			last = in.at
		}
	}
	return last
}

// Restore applies verdicts of other instances, or of before a restart. A verdict on parts
// of which some were cleared since is applied to the others, and the other instances are
// notified.
func (t *Tracker) Restore(verdicts []Verdict, now time.Time) {
	t.mu.Lock()
	stale := t.restore(verdicts, now)
	t.mu.Unlock()
	if len(stale) > 0 {
		t.options.Notify(Notice{Reporter: t.options.Instance, UnixMillis: now.UnixMilli(), ClearedParts: stale})
	}
}

// restore applies verdicts. It returns the parts that were cleared after their verdict.
func (t *Tracker) restore(verdicts []Verdict, now time.Time) (stale []uint64) {
	for _, v := range verdicts {
		if t.hasAged(v, now) {
			continue
		}
		r := v.refusal()
		r.parts = slices.DeleteFunc(r.parts, func(p uint64) bool {
			cleared, found := t.clearedParts[p]
			if found = found && !cleared.Before(v.at()); found {
				stale = append(stale, p)
			}
			return found
		})
		if len(r.parts) > 0 {
			t.restoreOne(newVerdict(r, v.at()))
		}
	}
	return stale
}

// restoreOne applies a verdict unless a newer one is known.
func (t *Tracker) restoreOne(v Verdict) {
	r := v.refusal()
	known, found := t.restored[r.key()]
	switch {
	case found && known.UnixMillis == v.UnixMillis && v.Confirmed && !known.Confirmed:
	case found && known.UnixMillis >= v.UnixMillis:
		return
	case !found && len(t.restored) >= maxVerdicts:
		return
	}
	t.restored[r.key()] = v
	t.stale = true
}

// clearFromVerdicts removes a part from the restored verdicts up to the given time. It
// reports whether there was one.
func (t *Tracker) clearFromVerdicts(part uint64, until time.Time) bool {
	cleared := false
	for key, v := range t.restored {
		r := v.refusal()
		if v.at().After(until) || !slices.Contains(r.parts, part) {
			continue
		}
		cleared = true
		delete(t.restored, key)
		r.parts = slices.DeleteFunc(r.parts, func(p uint64) bool { return p == part })
		if len(r.parts) > 0 {
			t.restored[r.key()] = newVerdict(r, v.at())
		}
	}
	return cleared
}

// hasAged reports whether a verdict no longer counts.
func (t *Tracker) hasAged(v Verdict, now time.Time) bool {
	return now.Sub(v.at()) >= t.options.Retention
}

// hasAgedVerdict reports whether a restored verdict no longer counts.
func (t *Tracker) hasAgedVerdict(now time.Time) bool {
	for _, v := range t.restored {
		if t.hasAged(v, now) {
			return true
		}
	}
	return false
}

// restoredRefusals drops restored verdicts that have aged and returns the others.
func (t *Tracker) restoredRefusals(now time.Time) []refusal {
	maps.DeleteFunc(t.restored, func(_ string, v Verdict) bool { return t.hasAged(v, now) })
	var refusals []refusal
	for _, key := range slices.Sorted(maps.Keys(t.restored)) {
		refusals = append(refusals, t.restored[key].refusal())
	}
	return refusals
}
