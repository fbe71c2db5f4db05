package streamorigin

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// knownBase is what an instance knows of a service's base.
type knownBase struct {
	version string
	epoch   uint64 // of the row
	closed  bool
	// row is the version of the row, and read the epoch in which it was read.
	row, read uint64
	// relied is true while streams may begin at the version without a record: since the open
	// row was read, each list of servers had the version.
	relied bool
}

// knownBases is what an instance knows of the base versions. It is not safe for concurrent use.
type knownBases struct {
	asOf  boottime.Instant // of the last list of servers
	bases map[string]knownBase
}

func newKnownBases() *knownBases { return &knownBases{bases: map[string]knownBase{}} }

// learn records a row that was read in an epoch. view is the last list of servers. A row that is
// older than the known one is ignored.
func (k *knownBases) learn(service string, held heldRow, epoch uint64, view View) {
	if b := k.bases[service]; b.read > epoch || b.read == epoch && b.row > held.version {
		return
	}
	row := held.row
	k.bases[service] = knownBase{
		version: row.Version, epoch: row.Epoch, closed: row.Closed, row: held.version, read: epoch,
		relied: row.Epoch == epoch && !row.Closed && view.lists(service, row.Version),
	}
}

// forget forgets the base of a service without a row.
func (k *knownBases) forget(service string) { delete(k.bases, service) }

// observe records a list of servers. A list without the base version, or too long after the one
// before, may hide that the base has moved meanwhile.
func (k *knownBases) observe(v View, maxGap time.Duration) {
	gap := !k.asOf.IsZero() && v.AsOf.Sub(k.asOf) > maxGap
	k.asOf = v.AsOf
	for service, b := range k.bases {
		if gap || !v.lists(service, b.version) {
			b.relied = false
			k.bases[service] = b
		}
	}
}

// relied reports whether a stream may begin at a version without a record.
func (k *knownBases) relied(service, version string, epoch uint64) bool {
	b, ok := k.bases[service]
	return ok && b.relied && b.version == version && b.epoch == epoch
}

// complete reports whether the base of each listed service is relied on.
func (k *knownBases) complete(v View, epoch uint64) bool {
	for service, versions := range v.Services {
		if len(versions) == 0 {
			continue
		}
		if b, ok := k.bases[service]; !ok || !b.relied || b.epoch != epoch {
			return false
		}
	}
	return true
}
