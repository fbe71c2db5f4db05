package quarantine

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxNoticeFingerprints = 4096
	maxNoticeNesting      = 4
	maxNoticeFields       = 32
)

// Notice tells other instances of one crash, or of a fingerprint that ran whole.
type Notice struct {
	// Reporter names the instance that saw it.
	Reporter string `cbor:"1,keyasint"`
	// Server is the backend server that crashed.
	Server string `cbor:"2,keyasint,omitempty"`
	// Epoch of the server before the crash; 0 if unknown.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
	// UnixMillis is when it was seen.
	UnixMillis int64 `cbor:"4,keyasint"`
	// Fingerprints were in flight on the server through the reporter.
	Fingerprints []uint64 `cbor:"5,keyasint,omitempty"`
	// Cleared is a fingerprint whose request ran whole; 0 if none did.
	Cleared uint64 `cbor:"6,keyasint,omitempty"`
	// SinceMillis is when the last of the fingerprints began to run; the crash
	// happened after it.
	SinceMillis int64 `cbor:"7,keyasint,omitempty"`
}

func (n *Notice) since() time.Time { return time.UnixMilli(n.SinceMillis) }

func (n *Notice) at() time.Time { return time.UnixMilli(n.UnixMillis) }

// Encode returns the notice as CBOR.
func (n Notice) Encode() ([]byte, error) {
	data, err := cbor.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode crash notice: %w", err)
	}
	return data, nil
}

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNoticeNesting,
		MaxArrayElements: maxNoticeFingerprints,
		MaxMapPairs:      maxNoticeFields,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode reads what Encode wrote. Unknown fields are ignored.
func Decode(data []byte) (Notice, error) {
	var n Notice
	if err := decoding.Unmarshal(data, &n); err != nil {
		return Notice{}, fmt.Errorf("decode crash notice of %d bytes: %w", len(data), err)
	}
	return n, nil
}
