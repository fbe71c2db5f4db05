package quarantine

import (
	"slices"
	"time"
)

const (
	// convictingCrashes is the number of crashes after which a fingerprint that
	// alone explains the last one is refused.
	convictingCrashes = 2
	// clockTolerance is how far the clocks of two instances may differ. Two
	// crashes of a server that are closer, each seen by another instance, count
	// as one.
	clockTolerance = 500 * time.Millisecond
	// settleTime is how long reports of a crash by other instances may take.
	settleTime  = 250 * time.Millisecond
	maxIncident = 1024 // incidents kept; the oldest are dropped
)

// incident is one crash of a backend server with every fingerprint that was in
// flight there. It happened between since and at.
type incident struct {
	server  string
	since   time.Time
	at      time.Time
	reports []Notice // as they were made, one of each instance
	members []uint64 // of all reports, without those that ran whole since
}

func newIncident(n Notice) incident {
	i := incident{server: n.Server, since: n.since(), at: n.at()}
	i.merge(n)
	return i
}

// holds reports whether the incident contains the very same report.
func (i *incident) holds(n *Notice) bool {
	return i.server == n.Server && slices.ContainsFunc(i.reports, func(r Notice) bool {
		return r.Reporter == n.Reporter && r.Epoch == n.Epoch && r.SinceMillis == n.SinceMillis && r.UnixMillis == n.UnixMillis
	})
}

// matches reports whether the notice tells of this same crash: the times
// between which either can have happened overlap, and no instance reports twice.
func (i *incident) matches(n *Notice) bool {
	if i.server != n.Server || slices.ContainsFunc(i.reports, func(r Notice) bool { return r.Reporter == n.Reporter }) {
		return false
	}
	return n.since().Before(i.at.Add(clockTolerance)) && i.since.Before(n.at().Add(clockTolerance))
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
		if !slices.Contains(i.members, fingerprint) {
			i.members = append(i.members, fingerprint)
		}
	}
}

// findings are what a list of incidents shows.
type findings struct {
	crashes map[uint64]int // unexplained crashes of each suspect
	refused map[uint64]bool
}

// judge finds the fingerprints that crash servers. A fingerprint is refused
// when some crash has no other member with as much as a second crash. The
// crashes of a refused fingerprint are explained by it and count against
// nobody else. A crash younger than settleTime refuses nobody, because other
// instances may still name members.
func judge(incidents []incident, now time.Time) findings {
	refused := make(map[uint64]bool)
	for {
		crashes := unexplained(incidents, refused)
		culprit, found := soleRepeater(incidents, crashes, now)
		if !found {
			return findings{crashes: crashes, refused: refused}
		}
		refused[culprit] = true
	}
}

// unexplained counts each fingerprint's crashes that no refused one explains.
func unexplained(incidents []incident, refused map[uint64]bool) map[uint64]int {
	crashes := make(map[uint64]int)
	for _, i := range incidents {
		if slices.ContainsFunc(i.members, func(f uint64) bool { return refused[f] }) {
			continue
		}
		for _, f := range i.members {
			crashes[f]++
		}
	}
	return crashes
}

func soleRepeater(incidents []incident, crashes map[uint64]int, now time.Time) (uint64, bool) {
	for _, i := range incidents {
		var repeaters []uint64
		for _, f := range i.members {
			if crashes[f] >= convictingCrashes {
				repeaters = append(repeaters, f)
			}
		}
		if len(repeaters) == 1 && settled(incidents, repeaters[0], now) {
			return repeaters[0], true
		}
	}
	return 0, false
}

// settled reports whether all crashes of the fingerprint are old enough.
func settled(incidents []incident, fingerprint uint64, now time.Time) bool {
	for _, i := range incidents {
		if slices.Contains(i.members, fingerprint) && now.Sub(i.at) < settleTime {
			return false
		}
	}
	return true
}
