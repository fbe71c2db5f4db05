package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// rowPrefix is the prefix of record keys in the table service and of answer
// names in the object store.
const rowPrefix = "ledger/"

// Key identifies a request that may run at most once.
type Key struct {
	Organisation   string
	IdempotencyKey string
}

// Record returns the digest of the key, as used in timeline events.
func (k Key) Record() string { return digest(k.Organisation, k.IdempotencyKey) }

// RequestDigest returns a digest of the request. It distinguishes requests under
// one key.
func RequestDigest(method, path, rawQuery string, body []byte) string {
	return digest(method, path, rawQuery, string(body))
}

// digest hashes the parts together with their lengths, so that different lists
// of parts never produce the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// state is the progress of a record.
type state uint8

const (
	stateRunning  state = 1 // its attempt may be or has been dispatched
	stateAnswered state = 2
	stateUnknown  state = 3 // its attempt was sent and the answer is unknown
)

// record is the value of a row in the table service.
type record struct {
	State    state         `cbor:"1,keyasint"`
	Attempt  string        `cbor:"2,keyasint"`
	Digest   string        `cbor:"3,keyasint"`
	Inserted int64         `cbor:"4,keyasint"` // Unix milliseconds
	Deadline int64         `cbor:"5,keyasint"` // Unix milliseconds
	Answer   *storedAnswer `cbor:"6,keyasint,omitempty"`
}

func (r *record) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode idempotency record: %w", err)
	}
	return data, nil
}

func decodeRecord(data []byte) (*record, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode idempotency record of %d bytes: %w", len(data), err)
	}
	return &r, nil
}

// disposition is the meaning of a record for a request.
type disposition int

const (
	dispositionAbsent   disposition = iota // no record: the request may insert one
	dispositionOwn                         // the request inserted it
	dispositionMismatch                    // it belongs to a request with another digest
	dispositionRunning                     // its attempt may still be answered
	dispositionAnswered                    // it contains the answer
	dispositionLost                        // its attempt's outcome will never be known
)

// classify returns the disposition of a record for the request with the given
// attempt id and digest. A nil record is absent.
func classify(r *record, attempt, requestDigest string, now time.Time, lostAfter time.Duration) disposition {
	switch {
	case r == nil:
		return dispositionAbsent
	case r.Attempt == attempt:
		return dispositionOwn
	case r.Digest != requestDigest:
		return dispositionMismatch
	case r.State == stateAnswered:
		return dispositionAnswered
	case r.State == stateUnknown:
		return dispositionLost
	case now.After(time.UnixMilli(r.Deadline).Add(lostAfter)):
		return dispositionLost
	}
	return dispositionRunning
}
