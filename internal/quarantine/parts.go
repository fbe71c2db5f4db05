package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Requests of which no two are alike may crash servers because one part of their
// prompts does. Such a part is in flight at each of these crashes, as are sound parts
// by chance or because they are shared by many requests. A complete answer clears all
// parts of its prompt.

const (
	// minPartCrashes and maxPartCrashes bound the number of crashes from which a part
	// is refused; see runOutcomes.crashesToRefuse. A sound request and its retry may
	// meet two crashes before any answer clears their parts.
	minPartCrashes = 3
	maxPartCrashes = 5
	// establishedPartCrashes is the same for a part on which this instance completed
	// answers before. It is far more likely that another part of these prompts is the
	// cause.
	establishedPartCrashes = 12
	// partSettleTime is the time from a notice of a crash until it counts. Within it,
	// complete answers to other requests clear the sound parts.
	partSettleTime = time.Second
)

// partRule decides which parts are refused.
type partRule struct {
	// crashes is the number of crashes from which a part is refused.
	crashes int
	// established reports whether answers were completed on the part before.
	established func(part uint64) bool
	// before are the parts that were refused so far.
	before map[uint64]int
}

// assess returns the number of crashes of all suspect parts, and of the refused ones.
// The part with the most crashes is refused first. Its crashes are attributed to it and
// do not count against other parts. A part that was refused before stays so while it has
// maxPartCrashes of any kind.
func (r partRule) assess(incidents []incident, now time.Time) (crashes, refused map[uint64]int) {
	crashes, refused = make(map[uint64]int), make(map[uint64]int)
	var unexplained []*incident
	for i := range incidents {
		for _, p := range incidents[i].parts {
			crashes[p.ID]++
		}
		if now.Sub(incidents[i].knownAt) >= partSettleTime {
			unexplained = append(unexplained, &incidents[i])
		}
	}
	for p := range r.before {
		if crashes[p] >= maxPartCrashes {
			refused[p] = crashes[p]
		}
	}
	culprits := slices.Collect(maps.Keys(refused))
	for {
		unexplained = slices.DeleteFunc(unexplained, func(i *incident) bool { return slices.ContainsFunc(culprits, i.hasPart) })
		culprits = r.culprits(unexplained)
		if len(culprits) == 0 {
			return crashes, refused
		}
		for _, p := range culprits {
			refused[p] = crashes[p]
		}
	}
}

// culprits returns the parts to refuse next: among those with the most crashes, the
// deepest ones. Parts that were always in flight together are mostly of the same
// prompts, and fewer other requests share the deeper one.
func (r partRule) culprits(incidents []*incident) []uint64 {
	counts, depths := make(map[uint64]int), make(map[uint64]int)
	for _, i := range incidents {
		for _, p := range i.parts {
			counts[p.ID]++
			depths[p.ID] = max(depths[p.ID], p.Depth)
		}
	}
	var deepest []uint64
	most, depth := 0, 0
	for p, n := range counts {
		if n < r.crashesToRefuse(p) || n < most || n == most && depths[p] < depth {
			continue
		}
		if n > most || depths[p] > depth {
			deepest = nil
		}
		deepest = append(deepest, p)
		most, depth = n, depths[p]
	}
	return deepest
}

// crashesToRefuse returns the number of crashes from which a part is refused.
func (r partRule) crashesToRefuse(part uint64) int {
	if r.established(part) {
		return establishedPartCrashes
	}
	return r.crashes
}

// hasPart reports whether the part is a suspect of the crash.
func (i *incident) hasPart(part uint64) bool {
	return slices.ContainsFunc(i.parts, func(p Part) bool { return p.ID == part })
}

// appendMissingParts appends the parts that are not in the list yet.
func appendMissingParts(list, parts []Part) []Part {
	for _, p := range parts {
		if !slices.ContainsFunc(list, func(known Part) bool { return known.ID == p.ID }) {
			list = append(list, p)
		}
	}
	return list
}

// hasRefusedPart reports whether the request's prompt holds a refused part.
func (a *assessment) hasRefusedPart(r Request) bool {
	return slices.ContainsFunc(r.Parts, func(p uint64) bool { return a.refusedParts[p] > 0 })
}

// suspectParts returns the request's parts that were in flight at a crash or are
// refused.
func (a *assessment) suspectParts(r Request) []uint64 {
	var suspects []uint64
	for _, p := range r.Parts {
		if a.partCrashes[p] > 0 || a.refusedParts[p] > 0 {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// clearParts removes parts whose request was completed at the given time from all
// incidents up to then. It returns false if that was known.
func (t *Tracker) clearParts(parts []uint64, at time.Time) (news bool) {
	for _, p := range parts {
		if t.clearPart(p, at) || at.Sub(t.clearedParts[p]) >= partSettleTime {
			news = true
			t.clearedParts[p] = at
		}
	}
	return news
}

// clearPart removes a part from all incidents and verdicts up to the given time. It
// reports whether there was one.
func (t *Tracker) clearPart(part uint64, until time.Time) bool {
	v, cleared := t.restored[part]
	if cleared = cleared && !v.at().After(until); cleared {
		delete(t.restored, part)
	}
	for i := range t.incidents {
		in := &t.incidents[i]
		if !in.hasPart(part) || in.at.After(until) {
			continue
		}
		in.parts = slices.DeleteFunc(in.parts, func(p Part) bool { return p.ID == part })
		cleared = true
	}
	t.stale = t.stale || cleared
	return cleared
}
