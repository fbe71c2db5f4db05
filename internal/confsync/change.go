package confsync

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Values of ChangeKind. They are stable, because instances of two releases share the log.
const (
	ChangeText        ChangeKind = 1
	ChangeKeyGrant    ChangeKind = 2
	ChangeKeyWithdraw ChangeKind = 3
	ChangeZone        ChangeKind = 4
)

// Change is one entry of the change log. Applying entries in order of version
// to an older state yields the newer state.
type Change struct {
	Version      uint64           `cbor:"1,keyasint"`
	ID           string           `cbor:"2,keyasint"` // unique per commit attempt; identifies the winner after a lost reply
	Kind         ChangeKind       `cbor:"3,keyasint"`
	Splice       *Splice          `cbor:"4,keyasint,omitempty"` // for ChangeText
	Key          config.KeyDigest `cbor:"5,keyasint,omitempty"` // for ChangeKeyGrant and ChangeKeyWithdraw
	Organisation string           `cbor:"6,keyasint,omitempty"` // for ChangeKeyGrant
	Zone         string           `cbor:"7,keyasint,omitempty"` // for ChangeZone
	Drained      bool             `cbor:"8,keyasint,omitempty"` // for ChangeZone
}

// Splice replaces one range of the operators' text.
type Splice struct {
	At     int    `cbor:"1,keyasint"` // offset in bytes
	Remove int    `cbor:"2,keyasint"` // bytes removed at the offset
	Insert string `cbor:"3,keyasint"`
	Sum    uint64 `cbor:"4,keyasint"` // xxHash64 of the resulting text
}

// NewSplice returns the splice that turns before into after.
func NewSplice(before, after string) Splice {
	prefix := commonPrefix(before, after)
	suffix := commonSuffix(before[prefix:], after[prefix:])
	return Splice{
		At:     prefix,
		Remove: len(before) - prefix - suffix,
		Insert: after[prefix : len(after)-suffix],
		Sum:    xxhash.Sum64String(after),
	}
}

// Apply returns the text with the splice applied. It returns an error if the
// splice was made for another text.
func (s Splice) Apply(text string) (string, error) {
	if s.At < 0 || s.Remove < 0 || s.At > len(text) || s.Remove > len(text)-s.At {
		return "", fmt.Errorf("splice removes %d bytes at offset %d, beyond the end of a text of %d bytes", s.Remove, s.At, len(text))
	}
	after := text[:s.At] + s.Insert + text[s.At+s.Remove:]
	if sum := xxhash.Sum64String(after); sum != s.Sum {
		return "", fmt.Errorf("spliced text has checksum %016x, want %016x", sum, s.Sum)
	}
	return after, nil
}

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

const (
	maxNestedLevels  = 8
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
