package streamorigin

// maxOwn bounds the streams that an instance remembers.
const maxOwn = 8192

// ownOrigins remembers the origins of the last streams that this instance began. It is not safe
// for concurrent use.
type ownOrigins struct {
	byAttempt map[digest]originRow
	order     []digest // ring, oldest at next
	next      int
}

func newOwnOrigins() *ownOrigins { return &ownOrigins{byAttempt: map[digest]originRow{}} }

// add remembers an origin, and forgets the oldest one if there are too many.
func (o *ownOrigins) add(d digest, origin originRow) {
	if _, known := o.byAttempt[d]; known {
		o.byAttempt[d] = origin
		return
	}
	if len(o.order) < maxOwn {
		o.order = append(o.order, d)
	} else {
		delete(o.byAttempt, o.order[o.next])
		o.order[o.next] = d
		o.next = (o.next + 1) % maxOwn
	}
	o.byAttempt[d] = origin
}

func (o *ownOrigins) get(d digest) (originRow, bool) {
	origin, ok := o.byAttempt[d]
	return origin, ok
}
