package lease

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
)

// storeEpoch is the epoch of the store as this instance knows it. The zero value is that of an
// instance that has no answer of the store yet.
type storeEpoch struct {
	number uint64
	stated bool
	seen   bool
	// since is when this instance learned of the epoch, on its monotonic clock. All renewals of
	// earlier epochs were sent before.
	since time.Duration
}

// openFrom returns from when a duty may be claimed if its row is the given one, as far as the
// store's restores matter. A row that was written in this epoch names the last holder. One of an
// earlier epoch may lack a later claim, whose holder acts until its lease has expired.
func (e storeEpoch) openFrom(row dutyRow, t Timing) time.Duration {
	if row.Epoch == e.number {
		return 0
	}
	return e.since + t.Lease + t.Margin
}

// fencedEpochs is the number of restores of the store after which a transaction that is
// performed late is still known to fail.
const fencedEpochs = 3

// fence returns checks that fail once a duty was claimed in a later epoch. The version of a duty's
// row does not show that, since a restored store gives its numbers out again.
func (e storeEpoch) fence() []platform.Check {
	if !e.stated {
		return nil
	}
	var checks []platform.Check
	for n := range uint64(fencedEpochs) {
		checks = append(checks, platform.Check{Key: epochKey(e.number + 1 + n)})
	}
	return checks
}

// claimTxn returns the part of a claim that concerns the epoch: it fails like fence, and makes
// transactions of earlier epochs fail.
func (e storeEpoch) claimTxn() platform.Txn {
	if !e.stated {
		return platform.Txn{}
	}
	return platform.Txn{Checks: e.fence(), Writes: []platform.Write{{Key: epochKey(e.number), Value: []byte("{}")}}}
}

// setEpoch applies the store's epoch. With a new one this instance gives up its duties, of which
// it cannot prove that it still holds them, and continues as the given holder.
func (c *core) setEpoch(now Reading, e storeepoch.Epoch, self func() Holder) {
	if e.SeenAt.IsZero() {
		return
	}
	c.epoch.stated = e.Stated
	if c.epoch.seen && e.Number <= c.epoch.number {
		return
	}
	first := !c.epoch.seen
	c.epoch = storeEpoch{number: e.Number, stated: e.Stated, seen: true, since: now.Mono}
	if !first {
		c.endIncarnation("the store was restored from an older copy", self())
	}
}
