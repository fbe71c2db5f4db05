package lease

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// sweepDuty is the duty of deleting the heartbeat rows of incarnations that ended without
// deleting them.
const sweepDuty = "lease-sweep"

const (
	sweepInterval = 5 * time.Minute // must exceed Lease + Margin
	sweepPageSize = 200             // in rows
)

// sweep deletes heartbeat rows that have not changed between two scans.
func (m *Manager) sweep(ctx context.Context, g Guard) error {
	before := make(map[string]uint64)
	for wait.For(ctx, sweepInterval) == nil {
		after, err := m.listHeartbeats(ctx)
		if err != nil {
			return err
		}
		for key, version := range after {
			if before[key] != version {
				continue
			}
			if err := m.deleteHeartbeat(g.Context(ctx), key, version); err != nil {
				return err
			}
		}
		before = after
	}
	return nil
}

// listHeartbeats returns the versions of all heartbeat rows by key.
func (m *Manager) listHeartbeats(ctx context.Context) (map[string]uint64, error) {
	versions := make(map[string]uint64)
	after := ""
	for {
		rows, err := m.options.Table.List(ctx, heartbeatPrefix, after, sweepPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			versions[row.Key] = row.Version
			after = row.Key
		}
		if len(rows) < sweepPageSize {
			return versions, nil
		}
	}
}

// deleteHeartbeat deletes a heartbeat row unless it was renewed in the meantime.
func (m *Manager) deleteHeartbeat(ctx context.Context, key string, version uint64) error {
	_, err := m.commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Delete: true}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
