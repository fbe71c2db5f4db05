package tally

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// frozenPrefix is the key prefix of the frozen windows.
	frozenPrefix = "usage/frozen/"
	// frozenEpochPrefix is the key prefix of the epochs of the store in which the windows were
	// frozen. A frozen window without one was written by an instance that stores none.
	frozenEpochPrefix = "usage/frozen-epoch/"
)

// frozenWindow is a frozen window in the store. The zero value is that of a window that is not
// frozen.
type frozenWindow struct {
	counts  Counts
	version uint64 // of the row; 0 if there is none
	epoch   uint64 // in which it was frozen; see dated
	dated   bool   // epoch is known
}

// frozenKey zero-pads the number, so that keys sort by window.
func frozenKey(window int64) string { return frozenPrefix + fmt.Sprintf("%016d", window) }

// frozenEpochKey is the key of the epoch in which a window was frozen.
func frozenEpochKey(window int64) string { return frozenEpochPrefix + fmt.Sprintf("%016d", window) }

// readFrozen returns the next window as an earlier holder or attempt froze it.
func (c *Closer) readFrozen(ctx context.Context) (frozenWindow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.options.Table.Get(ctx, frozenKey(c.next), frozenEpochKey(c.next))
	if err != nil {
		return frozenWindow{}, fmt.Errorf("read the frozen window: %w", err)
	}
	if rows[0].Version == 0 {
		return frozenWindow{}, nil
	}
	w := frozenWindow{version: rows[0].Version, dated: rows[1].Version > 0}
	if err := json.Unmarshal(rows[0].Value, &w.counts); err != nil {
		return frozenWindow{}, fmt.Errorf("decode the frozen window: %w", err)
	}
	if !w.dated {
		return w, nil
	}
	if err := json.Unmarshal(rows[1].Value, &w.epoch); err != nil {
		return frozenWindow{}, fmt.Errorf("decode the epoch of the frozen window: %w", err)
	}
	return w, nil
}

// frozenWrites returns the writes that freeze the next window and delete the one past its retention.
func (c *Closer) frozenWrites(counts Counts) ([]platform.Write, error) {
	data, err := json.Marshal(counts)
	if err != nil {
		return nil, fmt.Errorf("encode the window: %w", err)
	}
	epoch, err := json.Marshal(c.epoch.epoch)
	if err != nil {
		return nil, fmt.Errorf("encode the epoch of the window: %w", err)
	}
	ended := c.next - retentionWindows
	return []platform.Write{
		{Key: frozenKey(c.next), Value: data},
		{Key: frozenEpochKey(c.next), Value: epoch},
		{Key: frozenKey(ended), Delete: true},
		{Key: frozenEpochKey(ended), Delete: true},
	}, nil
}
