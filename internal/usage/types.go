// Package usage meters the usage of each organisation, protects it against the loss of
// an instance, and reports the figures of each window once:
//
//	Meter --batches--> peer (replica)
//	  |                  |  if the instance becomes silent
//	  +-----> rows <-----+ --> Closer --> report
//
// An instance collects its usage in numbered batches, replicates them to a peer in
// another availability zone and flushes them to the table service from time to time.
// Whichever of them flushes advances a cursor row in the same transaction, so that each
// batch is written once. One instance closes the windows: it advances a frontier row,
// after which no flush can add to an earlier window, and then freezes and reports the
// figures.
package usage

import (
	"cmp"
	"context"
	"time"
)

// WindowLength is the length of a usage window, which has one report.
const WindowLength = 5 * time.Minute

// windowFormat is the format of window ids. It makes them sort by time.
const windowFormat = "20060102T150405Z"

// WindowAt returns the id of the window that contains t.
func WindowAt(t time.Time) string { return t.UTC().Truncate(WindowLength).Format(windowFormat) }

// windowStart returns the start of a window, or the zero time for an invalid id.
func windowStart(id string) time.Time {
	start, err := time.Parse(windowFormat, id)
	if err != nil {
		return time.Time{}
	}
	return start
}

// Key is the set of dimensions by which usage is summed.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Class        string `cbor:"2,keyasint"`
	Model        string `cbor:"3,keyasint"`
	Late         string `cbor:"4,keyasint,omitempty"` // the closed window that the usage belongs to; empty if it is not late
}

// compare defines the order of lines in reports.
func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Late, o.Late),
		cmp.Compare(k.Organisation, o.Organisation),
		cmp.Compare(k.Class, o.Class),
		cmp.Compare(k.Model, o.Model),
	)
}

// Amount is an amount of usage.
type Amount struct {
	Requests int64 `cbor:"1,keyasint"`
	Input    int64 `cbor:"2,keyasint"` // tokens
	Output   int64 `cbor:"3,keyasint"` // tokens
}

func (a Amount) add(o Amount) Amount {
	return Amount{a.Requests + o.Requests, a.Input + o.Input, a.Output + o.Output}
}

// Line is the usage of one key.
type Line struct {
	Key    Key    `cbor:"1,keyasint"`
	Amount Amount `cbor:"2,keyasint"`
}

// Origin identifies one run of one instance.
type Origin struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Batch is the usage of one window since the origin's last batch for it.
type Batch struct {
	Origin   Origin `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // increases by one per batch of the origin
	Window   string `cbor:"3,keyasint"`
	Lines    []Line `cbor:"4,keyasint"`
	// Flushed is the highest sequence known to be in the table service.
	Flushed uint64 `cbor:"5,keyasint,omitempty"`
}

// Replicator replicates batches to a peer, preferably in another availability zone.
type Replicator interface {
	// Replicate returns the name of the peer that now holds the batches. When the peer
	// differs from the previous one, the Meter sends it all unflushed batches.
	Replicate(ctx context.Context, batches []Batch) (peer string, err error)
}
