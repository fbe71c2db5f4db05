package fanout

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Table writes single rows through a source while one is available, so that rows of
// several instances are joined in one transaction. All other calls go directly to the
// store. All fields but Writer are required.
type Table struct {
	// Table is the table of the store itself.
	platform.Table
	// Name identifies the table in calls between instances.
	Name string
	// Group selects the source.
	Group *Group
	// Client calls it.
	Client *Client
	// Writer batches rows while this instance is a source. Required if it may become one.
	Writer *Writer
}

var _ platform.Table = (*Table)(nil)

// Commit implements platform.Table. A row without a check is written in the background
// if it goes through a Writer; its version is then reported as 0.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	e, single := singleEntry(txn)
	if !single {
		return t.Table.Commit(ctx, txn)
	}
	source, ok := t.Group.Source()
	switch {
	case !ok && t.Group.IsSource():
		return singleVersion(t.Writer.Write(ctx, e))
	case !ok:
		return t.Table.Commit(ctx, txn)
	}
	version, err := t.Client.write(ctx, source, t.Name, e)
	var conflict *platform.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return singleVersion(version, err)
	}
	t.Group.ReportFailure(source, err)
	if errors.Is(err, errNotSource) || !e.Checked {
		return t.Table.Commit(ctx, txn) // nothing was written, or a second write is harmless
	}
	return nil, errors.Join(platform.ErrUnavailable, err)
}

func singleVersion(version uint64, err error) ([]uint64, error) {
	if err != nil {
		return nil, err
	}
	return []uint64{version}, nil
}

// singleEntry returns the row of a transaction that writes exactly one row and checks
// at most that row; false for any other transaction.
func singleEntry(txn platform.Txn) (Entry, bool) {
	if len(txn.Writes) != 1 || txn.Writes[0].Delete || len(txn.Checks) > 1 {
		return Entry{}, false
	}
	e := Entry{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value}
	if len(txn.Checks) == 1 {
		if txn.Checks[0].Key != e.Key {
			return Entry{}, false
		}
		e.Checked, e.Version = true, txn.Checks[0].Version
	}
	return e, true
}
