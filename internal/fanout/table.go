package fanout

import (
	"context"
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Table writes single rows through a source while there is one, so that rows of
// several instances become one transaction. All else goes to the store itself.
type Table struct {
	// Table is the store's own.
	platform.Table
	// Name of the table among instances.
	Name string
	// Group tells which source to ask.
	Group *Group
	// Client asks it.
	Client *Client
	// Writer joins rows when this instance is a source.
	Writer *Writer
}

var _ platform.Table = (*Table)(nil)

// Commit implements platform.Table. The version of a row without a check is 0.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	e, single := entryOf(txn)
	if !single {
		return t.Table.Commit(ctx, txn)
	}
	source, ok := t.Group.Source()
	switch {
	case !ok && t.Group.Serves():
		return versionOf(t.Writer.Write(ctx, e))
	case !ok:
		return t.Table.Commit(ctx, txn)
	}
	version, err := t.Client.write(ctx, source, t.Name, e)
	var conflict *platform.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return versionOf(version, err)
	}
	t.Group.Failed(source, err)
	if errors.Is(err, errNotSource) || !e.Checked {
		return t.Table.Commit(ctx, txn) // not written, or harmless to write twice
	}
	return nil, errors.Join(platform.ErrUnavailable, err)
}

func versionOf(version uint64, err error) ([]uint64, error) {
	if err != nil {
		return nil, err
	}
	return []uint64{version}, nil
}

// entryOf returns the single row that a transaction writes, with no check but its
// own.
func entryOf(txn platform.Txn) (Entry, bool) {
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
