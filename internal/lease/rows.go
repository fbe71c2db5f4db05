package lease

import (
	"encoding/json"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Token is a fencing token. It increases with each acquisition of a duty.
type Token uint64

// Key prefixes of the rows in the table service.
const (
	heartbeatPrefix = "lease/alive/"
	dutyPrefix      = "lease/duty/"
)

// Holder identifies one run of an instance. A process that was declared dead continues
// under a new incarnation.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// heartbeatKey returns the key of the holder's heartbeat row.
func (h Holder) heartbeatKey() string { return heartbeatPrefix + h.Instance + "/" + h.Incarnation }

// heartbeatRow is the value of a heartbeat row.
type heartbeatRow struct {
	Sequence uint64 `json:"sequence"` // sequence number of the renewal that wrote it
}

// dutyRow is the value of a duty's row. It is written when the duty changes hands, not
// at renewals.
type dutyRow struct {
	Holder Holder `json:"holder"` // zero: the duty is free
	Token  Token  `json:"token"`
}

func dutyKey(duty string) string { return dutyPrefix + duty }

// encode returns the JSON encoding of a row value. The types always encode without error.
func encode[T heartbeatRow | dutyRow](value T) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return data
}

// decode decodes the value of a row. It returns the zero value for an absent row.
func decode[T heartbeatRow | dutyRow](row platform.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return value, nil
}
