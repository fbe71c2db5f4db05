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

// rowPrefix starts the keys of records in the table service and the names of
// their answers in the object store.
const rowPrefix = "ledger/"

// Key identifies what may run at most once.
type Key struct {
	Organisation   string
	IdempotencyKey string
}

// Record is the digest of the key, as time line events bear it.
func (k Key) Record() string { return digest(k.Organisation, k.IdempotencyKey) }

// BodyDigest tells requests under one key apart.
func BodyDigest(method, path, rawQuery string, body []byte) string {
	return digest(method, path, rawQuery, string(body))
}

// digest hashes the parts with their lengths, so that no two lists of parts
// give the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// state tells how far a record is.
type state uint8

const (
	stateRunning  state = 1 // its attempt may be dispatched, or was
	stateAnswered state = 2
	stateUnknown  state = 3 // its attempt was sent and the answer was lost
)

// record is the value of a row.
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

// verdict says what a record means to a request.
type verdict int

const (
	verdictAbsent   verdict = iota // no record: the request may insert one
	verdictOwn                     // the request inserted it
	verdictMismatch                // it belongs to a request with another body
	verdictRunning                 // its attempt may still be answered
	verdictAnswered                // it holds the answer
	verdictLost                    // its attempt's outcome is unknown for good
)

// judge decides what a record means to the request with the attempt id and the
// body digest. A nil record is absent.
func judge(r *record, attempt, bodyDigest string, now time.Time, lostAfter time.Duration) verdict {
	switch {
	case r == nil:
		return verdictAbsent
	case r.Attempt == attempt:
		return verdictOwn
	case r.Digest != bodyDigest:
		return verdictMismatch
	case r.State == stateAnswered:
		return verdictAnswered
	case r.State == stateUnknown:
		return verdictLost
	case now.After(time.UnixMilli(r.Deadline).Add(lostAfter)):
		return verdictLost
	}
	return verdictRunning
}
