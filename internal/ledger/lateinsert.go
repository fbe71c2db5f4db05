package ledger

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	initialCleanupInterval = time.Second
	cleanupTimeout         = 2 * time.Minute
)

// removeLateInsert removes the record of a claim that was refused or released,
// if one of its inserts was not answered. Such an insert may take effect late,
// so the row is checked repeatedly, at growing intervals, until cleanupTimeout
// has passed. Nothing was and nothing will be dispatched for the claim.
func (o *Owned) removeLateInsert() {
	if !o.insertUncertain {
		return
	}
	l := o.ledger
	l.cleanups.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, cleanupTimeout)
		defer cancel()
		for interval := initialCleanupInterval; wait.For(ctx, interval) == nil; interval *= 2 {
			if err := o.removeRow(ctx); err != nil {
				l.options.Logger.Debug("idempotency record not removed; retrying", "record", o.record, "error", err)
			}
		}
	})
}
