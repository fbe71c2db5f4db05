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

// Notice informs other instances of one crash, or of a suspect whose request was
// completed.
type Notice struct {
	// Reporter is the name of the instance that reports.
	Reporter string `cbor:"1,keyasint"`
	// Server is the backend server that crashed; empty in a notice that only
	// clears suspects.
	Server string `cbor:"2,keyasint,omitempty"`
	// Epoch is the server's restart epoch before the crash; 0 if unknown.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
	// UnixMillis is the time at which the reporter observed the event.
	UnixMillis int64 `cbor:"4,keyasint"`
	// Fingerprints are the requests that the reporter had in flight on the
	// server.
	Fingerprints []uint64 `cbor:"5,keyasint,omitempty"`
	// Cleared is the fingerprint of a request that was completed; 0 if none.
	Cleared uint64 `cbor:"6,keyasint,omitempty"`
	// SinceMillis is the time at which the last of the fingerprints started to
	// run. The crash happened after it.
	SinceMillis int64 `cbor:"7,keyasint,omitempty"`
	// Parts are the shared parts of the prompts of these requests.
	Parts []Part `cbor:"8,keyasint,omitempty"`
	// ClearedParts are shared parts of the prompt of a request that was completed.
	ClearedParts []uint64 `cbor:"9,keyasint,omitempty"`
	// Trial is true if one of the requests ran as a trial.
	Trial bool `cbor:"10,keyasint,omitempty"`
}

// Part is a shared part of a prompt.
type Part struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Depth is the number of parts before it. Fewer requests share a deeper part.
	Depth int
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

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
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

// Decode decodes a notice encoded by Encode. Unknown fields are ignored.
func Decode(data []byte) (Notice, error) {
	var n Notice
	if err := decMode.Unmarshal(data, &n); err != nil {
		return Notice{}, fmt.Errorf("decode crash notice of %d bytes: %w", len(data), err)
	}
	return n, nil
}
