package fanout

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// wireRow encodes a tablefeed.Row between instances.
type wireRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
}

// wirePage encodes a tablefeed.Page between instances.
type wirePage struct {
	Rows    []wireRow     `cbor:"1,keyasint,omitempty"`
	Version uint64        `cbor:"2,keyasint"`
	Clock   time.Duration `cbor:"3,keyasint"` // the store's steady clock when the page was made
	Age     time.Duration `cbor:"4,keyasint"` // age of the data when the page was made
}

func toWire(p tablefeed.Page) wirePage {
	w := wirePage{Version: p.Version, Clock: p.Clock, Age: p.Age}
	for _, r := range p.Rows {
		w.Rows = append(w.Rows, wireRow(r))
	}
	return w
}

func (w wirePage) page() tablefeed.Page {
	p := tablefeed.Page{Version: w.Version, Clock: w.Clock, Age: w.Age}
	for _, r := range w.Rows {
		p.Rows = append(p.Rows, tablefeed.Row(r))
	}
	return p
}

// wireResult encodes the outcome of a write between instances.
type wireResult struct {
	Version  uint64 `cbor:"1,keyasint,omitempty"`
	Conflict bool   `cbor:"2,keyasint,omitempty"` // the check failed; Version is the row's current version
}
