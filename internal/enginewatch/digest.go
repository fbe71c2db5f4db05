package enginewatch

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Limits of one digest.
const (
	maxRecords  = 4096
	maxPrefixes = 4096 // in one cache record
)

// serverID identifies a server in digests.
type serverID uint32

func idOf(server string) serverID { return serverID(xxhash.Sum64String(server)) }

// loadRecord is one load report as exchanged between instances.
type loadRecord struct {
	ID      serverID
	Epoch   uint64
	Stamp   int64         // time of the measurement by the engine's clock, Unix milliseconds
	Age     time.Duration // time from the measurement to the sending of the digest
	Running int
	Waiting int
	Use     float64 // share of the KV cache in use, 0 to 1
	Tokens  float64 // tokens per second
	Cold    int
}

// cacheRecord contains the changes of an engine's cache between two positions
// in its sequence of events.
type cacheRecord struct {
	ID      serverID `cbor:"1,keyasint"`
	Epoch   uint64   `cbor:"2,keyasint"`
	From    uint64   `cbor:"3,keyasint,omitempty"` // events up to this one were sent before
	To      uint64   `cbor:"4,keyasint"`
	Clear   bool     `cbor:"5,keyasint,omitempty"` // the receiver must discard what was sent before
	Stored  []uint64 `cbor:"6,keyasint,omitempty"` // prefixes that are now cached
	Evicted []uint64 `cbor:"7,keyasint,omitempty"` // prefixes that are no longer cached
}

// digest is the body of a message of kind peer.KindLoadDigest. Load records are
// stored by column. A column that is omitted reads as zeros; the sender omits
// Waiting and Cold if all their values are zero.
type digest struct {
	Sent    int64         `cbor:"1,keyasint"`            // sender's clock, Unix milliseconds
	IDs     []serverID    `cbor:"2,keyasint,omitempty"`  // one per load record
	Epochs  []uint64      `cbor:"3,keyasint,omitempty"`  //
	Stamps  []int64       `cbor:"4,keyasint,omitempty"`  // milliseconds after Sent, mostly negative
	Ages    []uint32      `cbor:"5,keyasint,omitempty"`  // milliseconds
	Running []uint32      `cbor:"6,keyasint,omitempty"`  //
	Waiting []uint32      `cbor:"7,keyasint,omitempty"`  //
	Use     []byte        `cbor:"8,keyasint,omitempty"`  // 255 means that the whole KV cache is in use
	Tokens  []uint32      `cbor:"9,keyasint,omitempty"`  // tokens per second
	Cold    []uint32      `cbor:"10,keyasint,omitempty"` //
	Cache   []cacheRecord `cbor:"11,keyasint,omitempty"`
}

const fullUse = 255

// newDigest encodes the records into columns.
func newDigest(sent time.Time, load []loadRecord, cache []cacheRecord) digest {
	d := digest{Sent: sent.UnixMilli(), Cache: cache}
	for _, r := range load {
		d.IDs = append(d.IDs, r.ID)
		d.Epochs = append(d.Epochs, r.Epoch)
		d.Stamps = append(d.Stamps, r.Stamp-d.Sent)
		d.Ages = append(d.Ages, uint32(r.Age.Milliseconds()))
		d.Running = append(d.Running, uint32(r.Running))
		d.Waiting = append(d.Waiting, uint32(r.Waiting))
		d.Use = append(d.Use, byte(fullUse*min(max(r.Use, 0), 1)))
		d.Tokens = append(d.Tokens, uint32(max(r.Tokens, 0)))
		d.Cold = append(d.Cold, uint32(r.Cold))
	}
	d.Waiting, d.Cold = dropZeros(d.Waiting), dropZeros(d.Cold)
	return d
}

func dropZeros(column []uint32) []uint32 {
	for _, v := range column {
		if v != 0 {
			return column
		}
	}
	return nil
}

// loads decodes the load records.
func (d *digest) loads() []loadRecord {
	list := make([]loadRecord, len(d.IDs))
	for i := range list {
		list[i] = loadRecord{
			ID:      d.IDs[i],
			Epoch:   at(d.Epochs, i),
			Stamp:   d.Sent + at(d.Stamps, i),
			Age:     time.Duration(at(d.Ages, i)) * time.Millisecond,
			Running: int(at(d.Running, i)),
			Waiting: int(at(d.Waiting, i)),
			Use:     float64(at(d.Use, i)) / fullUse,
			Tokens:  float64(at(d.Tokens, i)),
			Cold:    int(at(d.Cold, i)),
		}
	}
	return list
}

// at returns an element of a column, or zero if the column was omitted.
func at[T any](column []T, i int) T {
	if len(column) == 0 {
		var zero T
		return zero
	}
	return column[i]
}

// check returns an error if columns differ in length or a cache record's range
// is invalid.
func (d *digest) check() error {
	n := len(d.IDs)
	for _, length := range []int{
		len(d.Epochs), len(d.Stamps), len(d.Ages), len(d.Running), len(d.Waiting),
		len(d.Use), len(d.Tokens), len(d.Cold),
	} {
		if length != 0 && length != n {
			return fmt.Errorf("digest has a column of %d values for %d load records", length, n)
		}
	}
	for _, c := range d.Cache {
		if c.From > c.To {
			return fmt.Errorf("cache record of server %d goes from event %d to %d", c.ID, c.From, c.To)
		}
	}
	return nil
}

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  4,
		MaxArrayElements: max(maxRecords, maxPrefixes),
		MaxMapPairs:      32,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the message body.
func (d *digest) encode() ([]byte, error) { return cbor.Marshal(d) }

// decodeDigest decodes a message body. Unknown fields are ignored, so that
// newer releases can add some.
func decodeDigest(body []byte) (digest, error) {
	var d digest
	if err := decoding.Unmarshal(body, &d); err != nil {
		return digest{}, fmt.Errorf("decode digest of %d bytes: %w", len(body), err)
	}
	return d, d.check()
}
