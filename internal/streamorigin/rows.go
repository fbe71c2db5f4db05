package streamorigin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	basePrefix   = "base/"
	originPrefix = "origin/"
	// maxVersionBytes bounds the text of a version that can be recorded.
	maxVersionBytes = 256
	// maxOrdinals bounds the versions that one attempt may use before its first event.
	maxOrdinals = 64
)

// noEpoch is the epoch of a row that cannot be read. The store never has it.
const noEpoch = math.MaxUint64

// baseRow is the row with the base version of a service.
type baseRow struct {
	// Version is the version of each stream of the service that has no record.
	Version string `json:"version"`
	// Epoch is the store's epoch in which the row was written. The row is invalid in others.
	Epoch uint64 `json:"epoch"`
	// Closed means that no further stream may begin without a record, since the base is about
	// to move to another version.
	Closed bool `json:"closed,omitempty"`
}

// originRow is the record of a version that an attempt used.
type originRow struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Unknown is true if it is not certain which version began the stream.
	Unknown bool `json:"unknown,omitempty"`
	// Epoch is the store's epoch in which the record was handed to it.
	Epoch uint64 `json:"epoch,omitempty"`
}

// digest identifies an attempt whose id a caller has chosen.
type digest [16]byte

func digestOf(attempt string) digest {
	sum := sha256.Sum256([]byte(attempt))
	return digest(sum[:len(digest{})])
}

// originID identifies a record. ordinal counts the versions that the attempt used, from 0.
type originID struct {
	attempt digest
	ordinal uint8
}

func (d digest) prefix() string { return originPrefix + hex.EncodeToString(d[:]) + "/" }

// key has ordinals of equal width, so that keys sort by ordinal.
func (id originID) key() string { return fmt.Sprintf("%s%02d", id.attempt.prefix(), id.ordinal) }

// ordinalOf returns the ordinal in a key with the prefix.
func ordinalOf(key, prefix string) (int, bool) {
	text, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0
}

// lastOrigin returns the record with the highest ordinal of an attempt. The result is false if
// there is none.
func lastOrigin(rows []platform.Row, prefix string) (originRow, bool, error) {
	last, found := platform.Row{}, -1
	for _, r := range rows {
		if n, ok := ordinalOf(r.Key, prefix); ok && n > found {
			last, found = r, n
		}
	}
	if found < 0 {
		return originRow{}, false, nil
	}
	var o originRow
	if err := json.Unmarshal(last.Value, &o); err != nil {
		return originRow{}, false, fmt.Errorf("decode row %q: %w", last.Key, err)
	}
	return o, true, nil
}

// heldRow is a base row as the store has it. A version of zero means that it is absent.
type heldRow struct {
	version uint64
	row     baseRow
}

func decodeBase(r platform.Row) (heldRow, error) {
	h := heldRow{version: r.Version}
	if r.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(r.Value, &h.row); err != nil {
		return heldRow{}, fmt.Errorf("decode row %q: %w", r.Key, err)
	}
	return h, nil
}
