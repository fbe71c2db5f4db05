package usage

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	sweepInterval = time.Hour      // also the time from a tenure's start to its first sweep
	cursorTTL     = 24 * time.Hour // since the last flush of an incarnation
)

// sweep deletes the cursor rows of incarnations that ended long ago. It runs only after
// the duty has been held for sweepInterval, so that after a long outage every instance
// that still holds batches has flushed them first.
func (c *Closer) sweep(ctx context.Context) error {
	oldest := WindowAt(c.options.Now().Add(-cursorTTL))
	return c.forEachPage(ctx, cursorPrefix, func(rows []platform.Row) error {
		for _, row := range rows {
			cursor, err := decodeRow[cursorRow](row)
			if err != nil {
				return err
			}
			if cursor.Window >= oldest {
				continue
			}
			if err := c.deleteCursor(ctx, row); err != nil {
				return err
			}
		}
		return nil
	})
}

// deleteCursor deletes a cursor row unless it was advanced in the meantime.
func (c *Closer) deleteCursor(ctx context.Context, row platform.Row) error {
	err := c.commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: row.Key, Version: row.Version}},
		Writes: []platform.Write{{Key: row.Key, Delete: true}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
