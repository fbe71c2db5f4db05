package lease

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Token is a fencing token. It increases with each acquisition of a duty.
type Token uint64

// tokenEpochShift is the number of bits by which the store's epoch is shifted in a token, so
// that tokens rise over its restores. An epoch has that many tokens for each duty.
const tokenEpochShift = 20

// nextToken returns the token that follows a row's token in an epoch of the store.
func nextToken(before Token, epoch uint64) Token {
	return max(before, Token(epoch)<<tokenEpochShift) + 1
}

// Key prefixes of the rows in the table service.
const (
	heartbeatPrefix = "lease/alive/"
	dutyPrefix      = "lease/duty/"
	epochPrefix     = "lease/epoch/"
)

// epochKey returns the key of the row that exists once a duty was claimed in an epoch. Its value
// has no meaning.
func epochKey(epoch uint64) string { return epochPrefix + strconv.FormatUint(epoch, 10) }

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
	// Epoch is the store's epoch in which the row was written.
	Epoch uint64 `json:"epoch,omitempty"`
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
