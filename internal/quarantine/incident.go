package quarantine

import (
	"slices"
	"time"
)

const (
	// refusalCrashCount is the number of crashes from which a fingerprint is
	// refused, provided that one of its crashes has no other suspect with as
	// many.
	refusalCrashCount = 2
	// maxClockSkew bounds the difference between the clocks of two instances.
	// Two crash reports of one server by different instances that are closer
	// together than this count as one crash.
	maxClockSkew = 500 * time.Millisecond
	// maxReportDelay bounds how late other instances report a crash.
	maxReportDelay = 250 * time.Millisecond
	maxIncidents   = 1024 // beyond it the oldest incident is dropped
)

// incident is one crash of a backend server, with the fingerprints that were in
// flight there. The crash happened between since and at.
type incident struct {
	server   string
	since    time.Time
	at       time.Time
	reports  []Notice  // unmodified, at most one per instance
	suspects []uint64  // fingerprints of all reports, without those cleared since
	parts    []Part    // shared parts of all reports, without those cleared since
	knownAt  time.Time // when this instance learned of the crash
	trial    bool      // a trial was in flight
}

func newIncident(n Notice, now time.Time) incident {
	i := incident{server: n.Server, since: n.since(), at: n.at(), knownAt: now}
	i.merge(n)
	return i
}

// containsReport reports whether the incident contains this same report.
func (i *incident) containsReport(n *Notice) bool {
	return i.server == n.Server && slices.ContainsFunc(i.reports, func(r Notice) bool {
		return r.Reporter == n.Reporter && r.Epoch == n.Epoch && r.SinceMillis == n.SinceMillis && r.UnixMillis == n.UnixMillis
	})
}

// matches reports whether the notice describes the same crash: the intervals in
// which each may have happened overlap, and the reporter has not reported the
// incident yet.
func (i *incident) matches(n *Notice) bool {
	if i.server != n.Server || slices.ContainsFunc(i.reports, func(r Notice) bool { return r.Reporter == n.Reporter }) {
		return false
	}
	return n.since().Before(i.at.Add(maxClockSkew)) && i.since.Before(n.at().Add(maxClockSkew))
}

func (i *incident) merge(n Notice) {
	i.reports = append(i.reports, n)
	if n.since().After(i.since) {
		i.since = n.since()
	}
	if n.at().Before(i.at) {
		i.at = n.at()
	}
	i.trial = i.trial || n.Trial
	i.suspects = appendMissing(i.suspects, n.Fingerprints)
	i.parts = appendMissingParts(i.parts, n.Parts)
}

// notices returns the reports without the suspects that were cleared since.
func (i *incident) notices() []Notice {
	var notices []Notice
	for _, n := range i.reports {
		n.Fingerprints = intersection(n.Fingerprints, i.suspects)
		n.Parts = slices.DeleteFunc(slices.Clone(n.Parts), func(p Part) bool { return !i.hasPart(p.ID) })
		if len(n.Fingerprints)+len(n.Parts) > 0 {
			notices = append(notices, n)
		}
	}
	return notices
}

// intersection returns the IDs that are also in the list.
func intersection(ids, list []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return !slices.Contains(list, id) })
}

// appendMissing appends the IDs that are not in the list yet.
func appendMissing(list, ids []uint64) []uint64 {
	for _, id := range ids {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// hasSuspects reports whether the crash still has a suspect.
func (i *incident) hasSuspects() bool { return len(i.suspects)+len(i.parts) > 0 }

// assessment is what a list of incidents shows about fingerprints.
type assessment struct {
	crashes map[uint64]int // number of crashes of each suspect that no refused fingerprint explains
	refused map[uint64]bool

	parts partAssessment
}

// assess determines the fingerprints and the parts of prompts that crash servers.
func assess(incidents []incident, rule partRule, now time.Time) assessment {
	a := assessFingerprints(incidents, now)
	a.parts = rule.assess(incidents, now)
	return a
}

// assessFingerprints determines the fingerprints that crash servers. A fingerprint with at
// least refusalCrashCount crashes is refused if one of these crashes has no
// other suspect with as many. The crashes of a refused fingerprint are
// attributed to it and do not count against other suspects. A fingerprint with
// a crash younger than maxReportDelay is not refused yet, because other
// instances may still report further suspects of that crash.
func assessFingerprints(incidents []incident, now time.Time) assessment {
	refused := make(map[uint64]bool)
	for {
		crashes := countUnexplained(incidents, refused)
		culprit, found := findCulprit(incidents, crashes, now)
		if !found {
			return assessment{crashes: crashes, refused: refused}
		}
		refused[culprit] = true
	}
}

// countUnexplained counts, for each fingerprint, the crashes that have no
// refused suspect.
func countUnexplained(incidents []incident, refused map[uint64]bool) map[uint64]int {
	crashes := make(map[uint64]int)
	for _, i := range incidents {
		if slices.ContainsFunc(i.suspects, func(f uint64) bool { return refused[f] }) {
			continue
		}
		for _, f := range i.suspects {
			crashes[f]++
		}
	}
	return crashes
}

// findCulprit returns a fingerprint to refuse, and false if there is none.
func findCulprit(incidents []incident, crashes map[uint64]int, now time.Time) (uint64, bool) {
	for _, i := range incidents {
		var candidates []uint64
		for _, f := range i.suspects {
			if crashes[f] >= refusalCrashCount {
				candidates = append(candidates, f)
			}
		}
		if len(candidates) == 1 && settled(incidents, candidates[0], now) {
			return candidates[0], true
		}
	}
	return 0, false
}

// settled reports whether all crashes of the fingerprint are at least
// maxReportDelay old.
func settled(incidents []incident, fingerprint uint64, now time.Time) bool {
	for _, i := range incidents {
		if slices.Contains(i.suspects, fingerprint) && now.Sub(i.at) < maxReportDelay {
			return false
		}
	}
	return true
}
