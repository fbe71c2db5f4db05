package tally

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

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
	// epochKey is the key of the row that a closer writes with the first window that it
	// freezes in an epoch.
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
	openFrom int64  // first window that no earlier epoch can have frozen
	written  bool   // the row states openFrom
	version  uint64 // of the row
}

// firstOpen returns the first window that no earlier epoch can have frozen: a window is frozen at
// the earliest minCloseDelay after its end, and in an earlier epoch before this instance learned of
// the present one.
func firstOpen(since time.Time, window time.Duration) int64 {
	return WindowAt(since.Add(maxClockSkew-minCloseDelay), window)
}

// learnEpoch reads which windows an earlier epoch of the store may have frozen. The frozen counts
// may have been reported, and be lost.
func (c *Closer) learnEpoch(ctx context.Context) error {
	if c.epoch.known {
		return nil
	}
	var e StoreEpoch
	if c.options.Epoch != nil {
		e = c.options.Epoch()
	}
	if !e.Stated {
		c.epoch = epochState{known: true, openFrom: math.MinInt64, written: true}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.options.Table.Get(ctx, epochKey)
	if err != nil {
		return fmt.Errorf("read the epoch of the windows: %w", err)
	}
	var row epochRow
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return fmt.Errorf("decode the epoch of the windows: %w", err)
		}
	}
	c.epoch = epochState{known: true, epoch: e.Number, version: rows[0].Version}
	if rows[0].Version > 0 && row.Epoch == e.Number {
		c.epoch.openFrom, c.epoch.written = row.OpenFrom, true
		return nil
	}
	c.epoch.openFrom = firstOpen(e.Since, c.options.Window)
	return nil
}

// markEpoch adds the row of the epoch to the first transaction that freezes a window in it.
func (c *Closer) markEpoch(txn *platform.Txn) error {
	if c.epoch.written {
		return nil
	}
	data, err := json.Marshal(epochRow{Epoch: c.epoch.epoch, OpenFrom: c.epoch.openFrom})
	if err != nil {
		return fmt.Errorf("encode the epoch of the windows: %w", err)
	}
	txn.Checks = append(txn.Checks, platform.Check{Key: epochKey, Version: c.epoch.version})
	txn.Writes = append(txn.Writes, platform.Write{Key: epochKey, Value: data})
	return nil
}
