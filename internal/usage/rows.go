package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Keys of the rows.
const (
	cursorPrefix = "usage/cursor/"
	batchPrefix  = "usage/batch/"
	frozenPrefix = "usage/frozen/"
	frontierKey  = "usage/frontier"
)

func cursorKey(o Origin) string { return cursorPrefix + o.Instance + "/" + o.Incarnation }

func windowPrefix(window string) string { return batchPrefix + window + "/" }

func frozenKey(window string) string { return frozenPrefix + window }

func batchKey(window string, o Origin, from uint64) string {
	return fmt.Sprintf("%s%s/%s/%016d", windowPrefix(window), o.Instance, o.Incarnation, from)
}

// cursorRow tells which batches of an origin are in the table service.
type cursorRow struct {
	Through uint64 `cbor:"1,keyasint"`
	Window  string `cbor:"2,keyasint"` // current one at the last flush
}

// frontierRow parts the windows that take usage from those that do not.
type frontierRow struct {
	Open   string `cbor:"1,keyasint"` // first window that still takes usage
	Frozen string `cbor:"2,keyasint"` // first window whose figures are not frozen
}

// linesRow is the value of a batch row and of a frozen row.
type linesRow struct {
	Lines []Line `cbor:"1,keyasint"`
}

// rowValue is what a row may hold.
type rowValue interface {
	cursorRow | frontierRow | linesRow
}

// writeOf returns the write of a value.
func writeOf[T rowValue](key string, value T) (platform.Write, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode row %q: %w", key, err)
	}
	return platform.Write{Key: key, Value: data}, nil
}

// decodeRow returns the zero value for an absent row.
func decodeRow[T rowValue](row platform.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return value, nil
}
