// Package usage meters what each organisation used, keeps it safe against the
// loss of an instance, and reports each window's figures once.
//
// An instance cuts its usage into numbered batches, copies them to a peer in
// another availability zone and flushes them to the table service from time to
// time. Whoever flushes, the instance or its peer, moves a cursor row in the
// same transaction, so that each batch is written once. One instance closes the
// windows: it moves a frontier row, after which no flush can add to an earlier
// window, and then freezes and reports the figures.
package usage

import (
	"cmp"
	"context"
	"time"
)

// WindowLength is the span of one report.
const WindowLength = 5 * time.Minute

// windowFormat makes window ids sort by time.
const windowFormat = "20060102T150405Z"

// WindowAt returns the id of the window that a time lies in.
func WindowAt(t time.Time) string { return t.UTC().Truncate(WindowLength).Format(windowFormat) }

// windowStart returns the start of a window; the zero time for a wrong id.
func windowStart(id string) time.Time {
	start, err := time.Parse(windowFormat, id)
	if err != nil {
		return time.Time{}
	}
	return start
}

// Key is what usage is summed by.
type Key struct {
	Organisation string `cbor:"1,keyasint"`
	Class        string `cbor:"2,keyasint"`
	Model        string `cbor:"3,keyasint"`
	Late         string `cbor:"4,keyasint,omitempty"` // earlier window that the usage belongs to
}

// compare orders keys for reports.
func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Late, o.Late),
		cmp.Compare(k.Organisation, o.Organisation),
		cmp.Compare(k.Class, o.Class),
		cmp.Compare(k.Model, o.Model),
	)
}

// Amount is how much was used.
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

// Origin is one run of one instance.
type Origin struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Batch is the usage of one window that an instance metered since its last batch.
type Batch struct {
	Origin   Origin `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // rises by one per batch of the origin
	Window   string `cbor:"3,keyasint"`
	Lines    []Line `cbor:"4,keyasint"`
	// Flushed is the highest sequence known to be in the table service.
	Flushed uint64 `cbor:"5,keyasint,omitempty"`
}

// Replicator copies batches to a peer, best in another availability zone.
type Replicator interface {
	// Replicate returns the name of the peer that now holds the batches. A peer
	// that takes over from another is sent all unflushed batches.
	Replicate(ctx context.Context, batches []Batch) (peer string, err error)
}
