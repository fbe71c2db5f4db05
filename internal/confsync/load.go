package confsync

import (
	"context"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	logPageRows = 256
	rowPageRows = 1000
)

// readHead returns the head row and the version in it.
func readHead(ctx context.Context, table platform.Table) (platform.Row, uint64, error) {
	rows, err := table.Get(ctx, headKey)
	if err != nil {
		return platform.Row{}, 0, err
	}
	var head headRow
	if err := decodeRow(rows[0], &head); err != nil {
		return platform.Row{}, 0, err
	}
	return rows[0], head.Version, nil
}

// readChanges returns the changes above the version, at most one page.
func readChanges(ctx context.Context, table platform.Table, after uint64) ([]Change, error) {
	rows, err := table.List(ctx, logPrefix, logRowKey(after), logPageRows)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// loadAll reads all rows. Rows may be newer than the head row, which is read
// first. The version in each row prevents a log entry from being applied
// twice.
func loadAll(ctx context.Context, table platform.Table) (State, error) {
	rows, err := table.Get(ctx, headKey, textKey)
	if err != nil {
		return State{}, err
	}
	var head headRow
	if err := decodeRow(rows[0], &head); err != nil {
		return State{}, err
	}
	var text textRow
	if err := decodeRow(rows[1], &text); err != nil {
		return State{}, err
	}
	s := State{
		Version: head.Version, Text: text.Text, TextVersion: text.Version,
		keys: make(map[config.KeyDigest]keyRow), zones: make(map[string]zoneRow),
	}
	err = eachRow(ctx, table, keyPrefix, func(row platform.Row) error {
		var k keyRow
		err := decodeRow(row, &k)
		s.keys[digestOf(row)] = k
		return err
	})
	if err != nil {
		return State{}, err
	}
	err = eachRow(ctx, table, zonePrefix, func(row platform.Row) error {
		var z zoneRow
		err := decodeRow(row, &z)
		s.zones[zoneOf(row)] = z
		return err
	})
	if err != nil {
		return State{}, err
	}
	return s, nil
}

func eachRow(ctx context.Context, table platform.Table, prefix string, f func(platform.Row) error) error {
	after := ""
	for {
		rows, err := table.List(ctx, prefix, after, rowPageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := f(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < rowPageRows {
			return nil
		}
	}
}
