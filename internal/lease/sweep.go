package lease

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// sweepDuty deletes the heartbeat rows of incarnations that ended without it.
const sweepDuty = "lease-sweep"

const (
	sweepInterval = 5 * time.Minute // longer than a lease and the margin
	sweepPage     = 200             // rows
)

// sweep deletes heartbeat rows that did not change between two scans.
func (m *Manager) sweep(ctx context.Context, g Guard) error {
	before := make(map[string]uint64)
	for wait.For(ctx, sweepInterval) == nil {
		after, err := m.scanAlive(ctx)
		if err != nil {
			return err
		}
		for key, version := range after {
			if before[key] != version {
				continue
			}
			if err := m.deleteAlive(g.Context(ctx), key, version); err != nil {
				return err
			}
		}
		before = after
	}
	return nil
}

// scanAlive returns the versions of all heartbeat rows.
func (m *Manager) scanAlive(ctx context.Context) (map[string]uint64, error) {
	versions := make(map[string]uint64)
	after := ""
	for {
		rows, err := m.options.Table.List(ctx, alivePrefix, after, sweepPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			versions[row.Key] = row.Version
			after = row.Key
		}
		if len(rows) < sweepPage {
			return versions, nil
		}
	}
}

// deleteAlive deletes a heartbeat row unless it was renewed meanwhile.
func (m *Manager) deleteAlive(ctx context.Context, key string, version uint64) error {
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
