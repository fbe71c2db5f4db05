package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Keys of the rows in the table service.
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

// cursorRow records which batches of an origin are in the table service.
type cursorRow struct {
	Through uint64 `cbor:"1,keyasint"`
	Window  string `cbor:"2,keyasint"` // current window at the last flush
}

// frontierRow separates the windows that still receive usage from the closed ones.
type frontierRow struct {
	Open   string `cbor:"1,keyasint"` // first window that still receives usage
	Frozen string `cbor:"2,keyasint"` // first window whose figures are not frozen
}

// linesRow is the value of a batch row and of a frozen row.
type linesRow struct {
	Lines []Line `cbor:"1,keyasint"`
}

// rowValue is the set of types that rows can hold.
type rowValue interface {
	cursorRow | frontierRow | linesRow
}

// writeOf returns the write of a row with an encoded value.
func writeOf[T rowValue](key string, value T) (platform.Write, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode row %q: %w", key, err)
	}
	return platform.Write{Key: key, Value: data}, nil
}

// decodeRow decodes the value of a row. It returns the zero value for an absent row.
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
