package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Requests of which no two are alike may crash servers because one part of their
// prompts does. Such a part is in flight at each of these crashes, as are sound parts
// by chance or because they are shared by many requests. A complete answer clears all
// parts of its prompt.
//
// Parts that were in flight at the same crashes cannot be told apart by them, so what is
// refused is a request that holds all of them. A request that holds some of them tells
// them apart: it runs as a trial, one at a time over all instances. If it is answered, its
// parts are sound. If it crashes its server, the part is among those that it holds.

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
	// maxOpenTrials is the number of trials of a set whose crashes may have another
	// explanation. After them one more request is tried, if its other parts are known to
	// be sound: maxTrials in all.
	maxOpenTrials = 2
	maxTrials     = 3
)

// refusal refuses the requests that hold all parts of a set.
type refusal struct {
	parts   []uint64 // sorted and not empty
	crashes int
	// confirmed is true if no other part explains the crashes. If not, a request that
	// holds all parts but lacks another explanation of each crash runs as a trial.
	confirmed bool
	// alternatives are, for each of the crashes, the other parts that may have caused
	// it. It is empty if the crashes are not known to this instance.
	alternatives [][]uint64
	trials       int // of these crashes
}

// key identifies the set of parts.
func (r *refusal) key() string { return formatIDs(r.parts) }

// isSubsetOf reports whether all parts of the refusal are in the list.
func (r *refusal) isSubsetOf(parts []uint64) bool {
	return !slices.ContainsFunc(r.parts, func(p uint64) bool { return !slices.Contains(parts, p) })
}

// overlaps reports whether the list holds any part of the refusal.
func (r *refusal) overlaps(parts []uint64) bool {
	return slices.ContainsFunc(r.parts, func(p uint64) bool { return slices.Contains(parts, p) })
}

// explains reports whether the crash may have been caused by the refused parts.
func (r *refusal) explains(i *incident) bool { return r.isSubsetOf(partIDs(i.parts)) }

// isDisputedBy reports whether a request that holds the given parts lacks a possible cause
// of each crash, so that the refused parts may be sound and the request as well.
func (a *partAssessment) isDisputedBy(r *refusal, parts []uint64) bool {
	isUnknown := func(p uint64) bool { return !slices.Contains(r.parts, p) && !a.established(p) }
	switch {
	case r.confirmed || r.trials >= maxTrials:
		return false
	case r.trials >= maxOpenTrials && slices.ContainsFunc(parts, isUnknown):
		return false
	}
	return !slices.ContainsFunc(r.alternatives, func(others []uint64) bool {
		return !slices.ContainsFunc(others, func(p uint64) bool { return !slices.Contains(parts, p) })
	})
}

// standing is how requests with some parts may run.
type standing int

const (
	runsFreely standing = iota
	runsAsTrial
	runsNowhere
)

// partAssessment is what a list of incidents shows about parts.
type partAssessment struct {
	crashes  map[uint64]int // number of crashes of each part
	refusals []refusal
	// suspects are parts with enough crashes to be refused, of which some are explained
	// by no refusal, or by one that is not confirmed.
	suspects map[uint64]bool
	// established reports whether this instance completed answers on a part.
	established func(part uint64) bool
}

// standing returns how a request with the parts may run.
func (a *partAssessment) standing(parts []uint64) standing {
	result := runsFreely
	for i := range a.refusals {
		r := &a.refusals[i]
		switch {
		case !r.overlaps(parts):
		case r.isSubsetOf(parts) && !a.isDisputedBy(r, parts):
			return runsNowhere
		default:
			result = runsAsTrial
		}
	}
	if slices.ContainsFunc(parts, func(p uint64) bool { return a.suspects[p] }) {
		result = runsAsTrial
	}
	return result
}

// isSuspect reports whether the part was in flight at a crash or is refused, alone or with
// others.
func (a *partAssessment) isSuspect(part uint64) bool {
	return a.crashes[part] > 0 || slices.ContainsFunc(a.refusals, func(r refusal) bool { return slices.Contains(r.parts, part) })
}

// partRule decides which parts are refused.
type partRule struct {
	// crashes is the number of crashes from which a part is refused.
	crashes int
	// established reports whether answers were completed on the part before.
	established func(part uint64) bool
	// before are the refusals so far.
	before []refusal
	// restored are the refusals that others decided, or that were in force before a
	// restart.
	restored []refusal
}

// assess assesses the parts. The parts with the most crashes are refused first. Their
// crashes are attributed to them and do not count against other parts.
func (r partRule) assess(incidents []incident, now time.Time) partAssessment {
	var settled []*incident
	for i := range incidents {
		if incidents[i].trial || now.Sub(incidents[i].knownAt) >= partSettleTime {
			settled = append(settled, &incidents[i])
		}
	}
	a := partAssessment{crashes: make(map[uint64]int), suspects: make(map[uint64]bool), established: r.established}
	for i := range incidents {
		for _, p := range incidents[i].parts {
			a.crashes[p.ID]++
		}
	}
	counts := countParts(settled)
	a.add(r.kept(a.crashes))
	a.merge(r.restored)
	a.narrow(settled)
	a.add(r.ofTrials(settled, counts))
	for {
		found := r.nextRefusals(a.unexplained(settled))
		if len(found) == 0 {
			break
		}
		a.add(found)
	}
	for i := range a.refusals {
		a.refusals[i].findAlternatives(settled)
	}
	a.findSuspects(r, settled, counts)
	return a
}

// unexplained returns the incidents that no refusal explains.
func (a *partAssessment) unexplained(incidents []*incident) []*incident {
	return slices.DeleteFunc(slices.Clone(incidents), func(i *incident) bool {
		return slices.ContainsFunc(a.refusals, func(r refusal) bool { return r.explains(i) })
	})
}

// add adds refusals, except sets that hold all parts of another one.
func (a *partAssessment) add(found []refusal) {
	for _, f := range found {
		if slices.ContainsFunc(a.refusals, func(r refusal) bool { return r.isSubsetOf(f.parts) }) {
			continue
		}
		a.refusals = slices.DeleteFunc(a.refusals, func(r refusal) bool { return f.isSubsetOf(r.parts) })
		a.refusals = append(a.refusals, f)
	}
}

// merge adds refusals. Of one that is known already, the number of crashes and whether it is
// confirmed are taken over.
func (a *partAssessment) merge(others []refusal) {
	for _, other := range others {
		known := slices.IndexFunc(a.refusals, func(r refusal) bool { return r.key() == other.key() })
		if known < 0 {
			a.add([]refusal{other})
			continue
		}
		r := &a.refusals[known]
		r.crashes = max(r.crashes, other.crashes)
		r.confirmed = r.confirmed || other.confirmed
	}
}

// narrow reduces the refusals of which some parts were in flight at the crash of a trial to
// these parts.
func (a *partAssessment) narrow(settled []*incident) {
	for _, i := range settled {
		if !i.trial {
			continue
		}
		for _, r := range slices.Clone(a.refusals) {
			if tried := intersection(r.parts, partIDs(i.parts)); len(tried) > 0 {
				a.add([]refusal{{parts: tried, crashes: r.crashes}})
			}
		}
	}
}

// kept returns what stays refused: of each set the parts with the most crashes, as long as
// these are maxPartCrashes of any kind. Parts that were cleared have none.
func (r partRule) kept(crashes map[uint64]int) []refusal {
	var kept []refusal
	for _, before := range r.before {
		if parts, most := mostCrashes(before.parts, crashes); most >= maxPartCrashes {
			kept = append(kept, refusal{parts: parts, crashes: most})
		}
	}
	return kept
}

// ofTrials returns the refusals that follow from trials: of the parts that were in flight
// at the crash of a trial those with the most crashes, if these suffice.
func (r partRule) ofTrials(settled []*incident, counts map[uint64]int) []refusal {
	var found []refusal
	for _, i := range settled {
		if !i.trial {
			continue
		}
		parts, most := mostCrashes(partIDs(i.parts), counts)
		parts = slices.DeleteFunc(parts, func(p uint64) bool { return most < r.crashesToRefuse(p) })
		if len(parts) > 0 {
			found = append(found, refusal{parts: parts, crashes: most})
		}
	}
	return found
}

// nextRefusals returns the sets of parts to refuse next: those with the most crashes, each
// with the parts that were in flight at the same crashes.
func (r partRule) nextRefusals(incidents []*incident) []refusal {
	counts := countParts(incidents)
	maps.DeleteFunc(counts, func(p uint64, n int) bool { return n < r.crashesToRefuse(p) })
	parts, most := mostCrashes(slices.Collect(maps.Keys(counts)), counts)
	sets := make(map[string]*refusal)
	for _, p := range parts {
		at := membership(incidents, p)
		if sets[at] == nil {
			sets[at] = &refusal{crashes: most}
		}
		sets[at].parts = append(sets[at].parts, p)
	}
	var found []refusal
	for _, s := range sets {
		found = append(found, *s)
	}
	slices.SortFunc(found, func(a, b refusal) int { return slices.Compare(a.parts, b.parts) })
	return found
}

// membership returns which of the incidents the part is a suspect of, as a comparable
// value.
func membership(incidents []*incident, part uint64) string {
	var b strings.Builder
	for _, i := range incidents {
		if i.hasPart(part) {
			b.WriteByte('1')
		} else {
			b.WriteByte('0')
		}
	}
	return b.String()
}

// findAlternatives determines the other explanations of the refusal's crashes. Sound parts
// that were in flight by chance are mostly cleared by then.
func (r *refusal) findAlternatives(settled []*incident) {
	for _, i := range settled {
		if !r.explains(i) {
			continue
		}
		if i.trial {
			r.trials++
		}
		others := slices.DeleteFunc(partIDs(i.parts), func(p uint64) bool { return slices.Contains(r.parts, p) })
		r.alternatives = append(r.alternatives, others)
		r.confirmed = r.confirmed || len(others) == 0
	}
}

// findSuspects determines the parts with enough crashes to be refused of which no confirmed
// refusal explains all.
func (a *partAssessment) findSuspects(rule partRule, settled []*incident, counts map[uint64]int) {
	open := slices.DeleteFunc(slices.Clone(settled), func(i *incident) bool {
		return slices.ContainsFunc(a.refusals, func(r refusal) bool { return r.confirmed && r.explains(i) })
	})
	for p := range countParts(open) {
		if counts[p] >= rule.crashesToRefuse(p) {
			a.suspects[p] = true
		}
	}
}

// countParts returns the number of incidents of each part.
func countParts(incidents []*incident) map[uint64]int {
	counts := make(map[uint64]int)
	for _, i := range incidents {
		for _, p := range i.parts {
			counts[p.ID]++
		}
	}
	return counts
}

// mostCrashes returns those of the parts that have the most crashes, sorted, and their
// number. It returns nil and 0 if none has any.
func mostCrashes(parts []uint64, crashes map[uint64]int) (worst []uint64, most int) {
	for _, p := range parts {
		most = max(most, crashes[p])
	}
	for _, p := range parts {
		if most > 0 && crashes[p] == most {
			worst = append(worst, p)
		}
	}
	slices.Sort(worst)
	return worst, most
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

// partIDs returns the IDs of parts.
func partIDs(parts []Part) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
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

// suspectParts returns the request's parts that were in flight at a crash or are
// refused.
func (a *assessment) suspectParts(r Request) []uint64 {
	var suspects []uint64
	for _, p := range r.Parts {
		if a.parts.isSuspect(p) {
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
	cleared := t.clearFromVerdicts(part, until)
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
