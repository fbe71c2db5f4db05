// Package demand sums up what all instances ask of each model, for the scaler.
package demand

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Line is what one instance asks of one model for one class.
type Line struct {
	Model   string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Queued  int    `cbor:"3,keyasint,omitempty"`
	Running int    `cbor:"4,keyasint,omitempty"`
	// Answered counts the recent requests that ended, InTime those of them that
	// met the class's target.
	Answered int64 `cbor:"5,keyasint,omitempty"`
	InTime   int64 `cbor:"6,keyasint,omitempty"`
}

// ServerLoad is the number of requests that one instance has in flight on a
// backend server.
type ServerLoad struct {
	Server  string `cbor:"1,keyasint"`
	Running int    `cbor:"2,keyasint"`
}

// Report is the demand that one instance sees. Lines and loads of zero are absent.
type Report struct {
	Lines   []Line       `cbor:"1,keyasint,omitempty"`
	Servers []ServerLoad `cbor:"2,keyasint,omitempty"`
}

// Encode returns the report as CBOR.
func (r Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode demand report: %w", err)
	}
	return data, nil
}

// Decode reads what Encode wrote. Unknown fields are ignored.
func Decode(data []byte) (Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Report{}, fmt.Errorf("decode demand report of %d bytes: %w", len(data), err)
	}
	return r, nil
}
