package streamorigin

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// maxOwn bounds the streams that an instance remembers.
const maxOwn = 8192

// ownOrigin is the origin of a stream that this instance began.
type ownOrigin struct {
	origin originRow
	// ordinal is that of its record, or the one that its record would have.
	ordinal int
	// epoch is the epoch of the store that has the record, or in which the stream needed none.
	// It is noEpoch if that is not known.
	epoch uint64
	began boottime.Instant
}

// ownOrigins remembers the origins of the last streams that this instance began. It is not safe
// for concurrent use.
type ownOrigins struct {
	byAttempt map[digest]ownOrigin
	order     []digest // ring, oldest at next
	next      int
}

func newOwnOrigins() *ownOrigins { return &ownOrigins{byAttempt: map[digest]ownOrigin{}} }

// add remembers an origin, and forgets the oldest one if there are too many.
func (o *ownOrigins) add(d digest, own ownOrigin) {
	if _, known := o.byAttempt[d]; known {
		o.byAttempt[d] = own
		return
	}
	if len(o.order) < maxOwn {
		o.order = append(o.order, d)
	} else {
		delete(o.byAttempt, o.order[o.next])
		o.order[o.next] = d
		o.next = (o.next + 1) % maxOwn
	}
	o.byAttempt[d] = own
}

func (o *ownOrigins) get(d digest) (originRow, bool) {
	own, ok := o.byAttempt[d]
	return own.origin, ok
}

// lostBefore returns the streams that began less than life ago, and that a store restored to
// epoch may not know how to resume, the latest ones first.
func (o *ownOrigins) lostBefore(epoch uint64, now boottime.Instant, life time.Duration) []digest {
	var lost []digest
	for i := range o.order {
		d := o.order[(o.next+len(o.order)-1-i)%len(o.order)]
		if own := o.byAttempt[d]; own.epoch != epoch && now.Sub(own.began) <= life {
			lost = append(lost, d)
		}
	}
	return lost
}
