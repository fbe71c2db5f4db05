package confsync

import (
	"fmt"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Keys of the rows in the table service.
const (
	headKey    = "config/head"
	textKey    = "config/text"
	keyPrefix  = "config/key/"
	zonePrefix = "config/zone/"
	logPrefix  = "config/log/"
)

// headRow holds the version of the newest change.
type headRow struct {
	Version uint64 `cbor:"1,keyasint"`
}

// textRow holds the complete text and the version that last changed it.
type textRow struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    string `cbor:"2,keyasint"`
}

// keyRow holds the state of one key.
type keyRow struct {
	Version      uint64 `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Withdrawn    bool   `cbor:"3,keyasint,omitempty"`
}

// zoneRow records whether operators drained an availability zone.
type zoneRow struct {
	Version uint64 `cbor:"1,keyasint"`
	Drained bool   `cbor:"2,keyasint"`
}

func keyRowKey(d config.KeyDigest) string { return keyPrefix + string(d) }
func zoneRowKey(zone string) string       { return zonePrefix + zone }
func logRowKey(version uint64) string     { return fmt.Sprintf("%s%020d", logPrefix, version) }

func digestOf(row platform.Row) config.KeyDigest {
	return config.KeyDigest(strings.TrimPrefix(row.Key, keyPrefix))
}

func zoneOf(row platform.Row) string { return strings.TrimPrefix(row.Key, zonePrefix) }

// decodeRow decodes a row. If the row does not exist, v is unchanged.
func decodeRow(row platform.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := decoding.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return nil
}

func encodeWrite(key string, v any) (platform.Write, error) {
	value, err := encoding.Marshal(v)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode row %q: %w", key, err)
	}
	return platform.Write{Key: key, Value: value}, nil
}
