package tally

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// StoreEpoch is the store's epoch, which counts its restores from older copies. The zero value is
// that of a store that is never restored.
type StoreEpoch struct {
	Number uint64
	Stated bool // the store states its epoch
	// Since is the true time at which this instance learned of the epoch.
	Since time.Time
}

const (
	// epochKey is the key of the row that the first closer in an epoch writes when its tenure
	// starts.
	epochKey = "usage/epoch"
	// maxClockSkew bounds how far the agreed time of day of two instances differs.
	maxClockSkew = 500 * time.Millisecond
)

// epochRow states which windows no earlier epoch can have frozen.
type epochRow struct {
	Epoch    uint64 `json:"epoch"`
	OpenFrom int64  `json:"open_from"` // the first such window
}

// epochState is what a closer knows of the present epoch.
type epochState struct {
	known    bool
	epoch    uint64
	openFrom int64 // first window that no earlier epoch can have frozen
}

// firstOpen returns the first window that no earlier epoch can have frozen: a window is frozen at
// the earliest minCloseDelay after its end, and in an earlier epoch before this instance learned of
// the present one.
func firstOpen(since time.Time, window time.Duration) int64 {
	return WindowAt(since.Add(maxClockSkew-minCloseDelay), window)
}

// learnEpoch learns which windows an earlier epoch of the store may have frozen. The frozen counts
// may have been reported, and be lost. The first closer in an epoch states them in a row, since one
// that starts later knows less. A store of epoch 0 was never restored.
func (c *Closer) learnEpoch(ctx context.Context, g lease.Guard) error {
	if c.epoch.known {
		return nil
	}
	var e StoreEpoch
	if c.options.Epoch != nil {
		e = c.options.Epoch()
	}
	if !e.Stated || e.Number == 0 {
		c.epoch = epochState{known: true, openFrom: math.MinInt64}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version, err := c.readEpochRow(ctx)
	if err != nil {
		return err
	}
	if version == 0 || row.Epoch != e.Number {
		row = epochRow{Epoch: e.Number, OpenFrom: firstOpen(e.Since, c.options.Window)}
		if err := c.writeEpochRow(ctx, g, row, version); err != nil {
			return err
		}
	}
	c.epoch = epochState{known: true, epoch: e.Number, openFrom: row.OpenFrom}
	return nil
}

// readEpochRow returns the row of the epoch and its version, which is zero if there is none.
func (c *Closer) readEpochRow(ctx context.Context) (epochRow, uint64, error) {
	rows, err := c.options.Table.Get(ctx, epochKey)
	if err != nil {
		return epochRow{}, 0, fmt.Errorf("read the epoch of the windows: %w", err)
	}
	if rows[0].Version == 0 {
		return epochRow{}, 0, nil
	}
	var row epochRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return epochRow{}, 0, fmt.Errorf("decode the epoch of the windows: %w", err)
	}
	return row, rows[0].Version, nil
}

// writeEpochRow writes the row of the epoch in place of a version, fenced by the duty's row.
func (c *Closer) writeEpochRow(ctx context.Context, g lease.Guard, row epochRow, version uint64) error {
	data, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode the epoch of the windows: %w", err)
	}
	txn := platform.Txn{
		Checks: []platform.Check{g.Fence(), {Key: epochKey, Version: version}},
		Writes: []platform.Write{{Key: epochKey, Value: data}},
	}
	if _, err := c.options.Table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("write the epoch of the windows: %w", err)
	}
	return nil
}
