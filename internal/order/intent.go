package order

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Key prefixes of the rows in the table service.
const (
	intentPrefix = "order/intent/"
	drainPrefix  = "order/drain/"
)

func intentKey(id string) string { return intentPrefix + id }

func drainKey(server string) string { return drainPrefix + server }

// EngineOrder is an order to the engine on one backend server.
type EngineOrder struct {
	Server  string          `json:"server"`
	Address string          `json:"address"` // IP and port
	Order   engineapi.Order `json:"order"`
}

// intent is the value of an intent row. It is written before the order is sent and
// deleted once the outcome is known. Exactly one field is set.
type intent struct {
	Platform *platform.Order `json:"platform,omitempty"`
	Engine   *EngineOrder    `json:"engine,omitempty"`
}

// id returns the order's idempotency id.
func (i intent) id() string {
	if i.Engine != nil {
		return i.Engine.Order.ID
	}
	return i.Platform.ID
}

// drainRow is the value of a drain row.
type drainRow struct {
	Since time.Time `json:"since"`
}

// rowValue is the set of types that rows can hold.
type rowValue interface{ intent | drainRow }

func writeOf[T rowValue](key string, value T) (platform.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode row %q: %w", key, err)
	}
	return platform.Write{Key: key, Value: data}, nil
}

func decodeRow[T rowValue](row platform.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return value, nil
}
