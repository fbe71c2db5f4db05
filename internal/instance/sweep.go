package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
)

const (
	// sweepDuty is the duty that deletes expired idempotency records.
	sweepDuty = "ledger-sweep"
	// sweepPageRows is the number of rows per page.
	sweepPageRows = 200
	// sweepPageInterval is the pause between pages. It limits the load on the
	// table service.
	sweepPageInterval = 2 * time.Second
	// sweepPassInterval is the pause between passes over all records.
	sweepPassInterval = 10 * time.Minute
)

// sweepRecords deletes expired idempotency records page by page until ctx ends.
func (i *Instance) sweepRecords(ctx context.Context, _ lease.Guard) error {
	cursor := ""
	for {
		next, deleted, err := i.ledger.Sweep(ctx, cursor, sweepPageRows)
		if err != nil {
			i.logger.Debug("idempotency records not swept; retrying this page", "error", err)
			next = cursor
		}
		if deleted > 0 {
			i.logger.Info("expired idempotency records deleted", "count", deleted)
		}
		cursor = next
		wait := sweepPageInterval
		if cursor == "" {
			wait = sweepPassInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}
