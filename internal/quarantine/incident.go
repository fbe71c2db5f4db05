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
	reports  []Notice // unmodified, at most one per instance
	suspects []uint64 // fingerprints of all reports, without those cleared since
}

func newIncident(n Notice) incident {
	i := incident{server: n.Server, since: n.since(), at: n.at()}
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
	for _, fingerprint := range n.Fingerprints {
		if !slices.Contains(i.suspects, fingerprint) {
			i.suspects = append(i.suspects, fingerprint)
		}
	}
}

// assessment is what a list of incidents shows about fingerprints.
type assessment struct {
	crashes map[uint64]int // number of crashes of each suspect that no refused fingerprint explains
	refused map[uint64]bool
}

// assess determines the fingerprints that crash servers. A fingerprint with at
// least refusalCrashCount crashes is refused if one of these crashes has no
// other suspect with as many. The crashes of a refused fingerprint are
// attributed to it and do not count against other suspects. A fingerprint with
// a crash younger than maxReportDelay is not refused yet, because other
// instances may still report further suspects of that crash.
func assess(incidents []incident, now time.Time) assessment {
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
