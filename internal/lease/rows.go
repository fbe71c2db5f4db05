package lease

import (
	"encoding/json"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Token is a fencing token; it rises each time a duty is acquired.
type Token uint64

// Prefixes of the rows.
const (
	alivePrefix = "lease/alive/"
	dutyPrefix  = "lease/duty/"
)

// Holder identifies one run of one instance. A process that was declared dead
// continues under a new incarnation.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// aliveKey is the key of the holder's heartbeat row.
func (h Holder) aliveKey() string { return alivePrefix + h.Instance + "/" + h.Incarnation }

// aliveRow is the value of a heartbeat row.
type aliveRow struct {
	Sequence uint64 `json:"sequence"` // number of the renewal that wrote it
}

// dutyRow is the value of a duty's row. It is written when the duty changes
// hands, not at renewals.
type dutyRow struct {
	Holder Holder `json:"holder"` // zero: released
	Token  Token  `json:"token"`
}

func dutyKey(duty string) string { return dutyPrefix + duty }

// encode returns the JSON form of a row value, which always has one.
func encode[T aliveRow | dutyRow](value T) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return data
}

// decode returns the zero value for an absent row.
func decode[T aliveRow | dutyRow](row platform.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return value, nil
}
