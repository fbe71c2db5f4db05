package instance

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
)

const (
	// sweepDuty deletes idempotency records that have expired.
	sweepDuty = "ledger-sweep"
	// sweepPage is the number of rows read at a time.
	sweepPage = 200
	// sweepPause is the time between two pages, which bounds the load on the
	// table service.
	sweepPause = 2 * time.Second
	// sweepRest is the time between two passes over all records.
	sweepRest = 10 * time.Minute
)

// sweepRecords deletes expired idempotency records page by page until ctx ends.
func (i *Instance) sweepRecords(ctx context.Context, _ lease.Guard) error {
	cursor := ""
	for {
		next, deleted, err := i.ledger.Sweep(ctx, cursor, sweepPage)
		if err != nil {
			i.logger.Debug("idempotency records not swept", "error", err)
			next = cursor
		}
		if deleted > 0 {
			i.logger.Info("idempotency records deleted", "count", deleted)
		}
		cursor = next
		wait := sweepPause
		if cursor == "" {
			wait = sweepRest
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}
