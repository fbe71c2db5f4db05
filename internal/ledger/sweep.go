package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Sweep deletes the expired records among up to limit rows after the cursor. It
// returns the next cursor, which is empty after the last row. Any instance may
// call it, also concurrently with others.
func (l *Ledger) Sweep(ctx context.Context, cursor string, limit int) (next string, deleted int, err error) {
	rows, err := l.table.List(ctx, rowPrefix, cursor, limit)
	if err != nil {
		return cursor, 0, err
	}
	for _, row := range rows {
		expired, err := l.expireRow(ctx, row, time.Now())
		if err != nil {
			return cursor, deleted, err
		}
		if expired {
			deleted++
		}
		cursor = row.Key
	}
	if len(rows) < limit {
		return "", deleted, nil
	}
	return cursor, deleted, nil
}

// expireRow deletes a row that is older than Retention and reports whether it
// did. The answer is deleted first, so that no object is orphaned.
func (l *Ledger) expireRow(ctx context.Context, row platform.Row, now time.Time) (bool, error) {
	r, err := decodeRecord(row.Value)
	if err != nil || now.Sub(time.UnixMilli(r.Inserted)) < Retention {
		return false, nil
	}
	if r.Answer != nil && r.Answer.Object != "" {
		if err := l.objects.Delete(ctx, r.Answer.Object); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return false, err
		}
	}
	_, err = l.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: row.Key, Version: row.Version}},
		Writes: []platform.Write{{Key: row.Key, Delete: true}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}
