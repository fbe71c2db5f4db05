package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxVerdicts bounds the verdicts that are kept. The oldest are dropped.
const maxVerdicts = 64

// Verdict states that a part of prompts crashes servers. Verdicts are kept in the store,
// so that they outlive all instances.
type Verdict struct {
	// Part is the ID of the part.
	Part uint64 `json:"part"`
	// Crashes is the number of crashes that it is refused for.
	Crashes int `json:"crashes"`
	// UnixMillis is the time of the last of them, after which the verdict ages.
	UnixMillis int64 `json:"unix_ms"`
}

func (v Verdict) at() time.Time { return time.UnixMilli(v.UnixMillis) }

// Verdicts returns the refused parts, newest first.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdicts []Verdict
	for p, crashes := range t.assess(now).refusedParts {
		verdicts = append(verdicts, Verdict{Part: p, Crashes: crashes, UnixMillis: t.lastCrash(p).UnixMilli()})
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.UnixMillis, a.UnixMillis), cmp.Compare(a.Part, b.Part))
	})
	return verdicts[:min(len(verdicts), maxVerdicts)]
}

// lastCrash returns the time of the newest crash for which a part is refused.
func (t *Tracker) lastCrash(part uint64) time.Time {
	last := t.restored[part].at()
	for i := range t.incidents {
		if in := &t.incidents[i]; in.hasPart(part) && in.at.After(last) {
			last = in.at
		}
	}
	return last
}

// Restore applies verdicts of other instances, or of before a restart. A verdict on a
// part that was cleared since is not applied, and the others are notified.
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
		known, found := t.restored[v.Part]
		cleared, isCleared := t.clearedParts[v.Part]
		switch {
		case t.hasAged(v, now), found && known.UnixMillis >= v.UnixMillis:
		case isCleared && !cleared.Before(v.at()):
			stale = append(stale, v.Part)
		case found || len(t.restored) < maxVerdicts:
			t.restored[v.Part] = v
			t.stale = true
		}
	}
	return stale
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

// addRestored drops restored verdicts that have aged and adds the others to the refused
// parts.
func (t *Tracker) addRestored(refused map[uint64]int, now time.Time) {
	maps.DeleteFunc(t.restored, func(_ uint64, v Verdict) bool { return t.hasAged(v, now) })
	for p, v := range t.restored {
		refused[p] = max(refused[p], v.Crashes)
	}
}
