package invariant

import (
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// checkConfigInForce reads config.accepted and config.applied (Version),
// instance.stale, and request.admitted and key.accepted as evidence of new work.
// The version in force on an instance never decreases, even across restarts. No
// instance accepts new work under a version that was replaced more than
// ConfigBound ago. Every instance that keeps running applies each version or
// records that it is stale.
func checkConfigInForce(h *history, report reportFunc) {
	accepted := acceptedVersions(h, report)
	applied := make(map[string]uint64)
	due, next := uint64(0), 0
	for _, e := range h.events {
		for next < len(accepted) && h.definitelyAfter(e.Time, accepted[next].Time.Add(h.ConfigBound)) {
			due = max(due, accepted[next].Version)
			next++
		}
		switch e.Kind {
		case timeline.ConfigApplied:
			if e.Version < applied[e.Instance] {
				report(e, "%s reverted from version %d to %d", e.Instance, applied[e.Instance], e.Version)
			}
			applied[e.Instance] = e.Version
		case timeline.RequestAdmitted, timeline.KeyAccepted:
			if applied[e.Instance] == 0 && !h.Complete {
				continue
			}
			if applied[e.Instance] < due {
				report(e, "%s accepted new work under version %d; version %d should be in force", e.Instance, applied[e.Instance], due)
			}
		}
	}
	checkAppliedEverywhere(h, accepted, report)
}

// acceptedVersions returns the commits in order. It reports versions committed by
// two processes.
func acceptedVersions(h *history, report reportFunc) []timeline.Event {
	var accepted []timeline.Event
	by := make(map[uint64]string)
	for _, e := range h.events {
		if e.Kind != timeline.ConfigAccepted {
			continue
		}
		if other, ok := by[e.Version]; ok && other != e.Instance {
			report(e, "version %d was committed by %s and by %s", e.Version, other, e.Instance)
		}
		by[e.Version] = e.Instance
		accepted = append(accepted, e)
	}
	return accepted
}

// checkAppliedEverywhere reports instances that did not apply a version although
// they recorded events after ConfigBound.
func checkAppliedEverywhere(h *history, accepted []timeline.Event, report reportFunc) {
	reached := make(map[string]uint64)
	stale := make(map[string]time.Time)
	last := make(map[string]timeline.Event)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.ConfigApplied:
			reached[e.Instance] = max(reached[e.Instance], e.Version)
		case timeline.InstanceStale, timeline.InstanceDraining, timeline.InstanceStopped:
			stale[e.Instance] = e.Time
		}
		last[e.Instance] = e
	}
	for instance, version := range reached {
		e := last[instance]
		i := slices.IndexFunc(accepted, func(a timeline.Event) bool { return a.Version > version })
		if i < 0 || stale[instance].After(accepted[i].Time) {
			continue
		}
		if h.definitelyAfter(e.Time, accepted[i].Time.Add(h.ConfigBound)) {
			report(e, "%s never applied version %d", instance, accepted[i].Version)
		}
	}
}
