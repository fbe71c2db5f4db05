package streamorigin

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// baseInputs is what the base row of a service is decided from.
type baseInputs struct {
	service string
	held    heldRow
	epoch   uint64 // of the store
	servers map[string]int
	watch   *watch
	times   times
	// bootstrap is true if the store has held no rows of an earlier start, and was not restored
	// since.
	bootstrap bool
	// epochSeen is when this instance learned of the epoch, and zero if it was the first one.
	epochSeen boottime.Instant
	// closedSeen is when this instance knew first that the row is closed.
	closedSeen boottime.Instant
	// trusted is the version that was the base up to a restore, if known.
	trusted   string
	isTrusted bool
}

// nextBase returns the row that follows the one that the store has. The result is false if it
// stays.
func nextBase(in baseInputs) (baseRow, bool) {
	best, ok := mostServers(in.servers)
	if !ok {
		return baseRow{}, false
	}
	row := in.held.row
	if in.held.version == 0 || row.Epoch != in.epoch {
		version, ok := in.firstVersion(best)
		return baseRow{Version: version, Epoch: in.epoch}, ok
	}
	_, listed := in.servers[row.Version]
	switch {
	case listed && row.Closed:
		return baseRow{Version: row.Version, Epoch: in.epoch}, true
	case listed:
		return baseRow{}, false
	case !row.Closed:
		next := baseRow{Version: row.Version, Epoch: in.epoch, Closed: true}
		return next, in.watch.missingFor(in.service, row.Version) >= closeAfter
	}
	closedFor := in.watch.asOf.Sub(in.closedSeen)
	missing := in.watch.missingFor(in.service, row.Version)
	return baseRow{Version: best, Epoch: in.epoch}, min(closedFor, missing) >= in.times.quiet
}

// firstVersion returns the base version in an epoch that has none. The result is false while
// streams may go on that began at another version and whose records may be lost.
func (in baseInputs) firstVersion(best string) (string, bool) {
	watched := in.watch.asOf.Sub(in.watch.began[in.service])
	switch {
	case in.held.version == 0 && in.bootstrap:
		return best, len(in.servers) == 1 || watched >= settling
	case in.sinceEpoch() < settling:
		return "", false
	case len(in.servers) == 1 && in.mayBe(best) && in.watch.onlyFor(in.service, best, in.times.quiet):
		return best, true
	}
	if _, listed := in.servers[in.trusted]; in.isTrusted && listed && in.sinceEpoch() >= in.times.life {
		return in.trusted, true
	}
	if _, listed := in.servers[in.held.row.Version]; in.held.version > 0 && listed {
		best = in.held.row.Version
	}
	return best, min(watched, in.sinceEpoch()) >= in.times.quiet
}

// mayBe reports whether the base of before the restore may have been a version, as far as the copy
// tells.
func (in baseInputs) mayBe(version string) bool {
	return in.held.version == 0 || in.held.row.Version == version
}

// sinceEpoch returns the time from when the epoch was learned of to the last list.
func (in baseInputs) sinceEpoch() time.Duration { return in.watch.asOf.Sub(in.epochSeen) }

// mostServers returns the version with the most servers, the first one in the order of texts
// among equals.
func mostServers(servers map[string]int) (best string, ok bool) {
	for version, n := range servers {
		if len(version) > maxVersionBytes {
			continue
		}
		if !ok || n > servers[best] || n == servers[best] && version < best {
			best, ok = version, true
		}
	}
	return best, ok
}
