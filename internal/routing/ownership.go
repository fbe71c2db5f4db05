package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

// Ownership is this instance's share of one server's slots. Slots lost by a
// membership change are lost immediately. Slots gained on a cold server count
// only after the settle time (see Ramp.clear).
type Ownership struct {
	rank, members int
	// coldSince is when the share of the cold limit last grew. It is zero if
	// the share is zero.
	coldSince time.Time
}

// newOwnership computes the share of a newly listed server. The members have
// not changed since the given time, so the server's owners have not changed
// either.
func newOwnership(since time.Time, m *Membership, server string, coldLimit int) Ownership {
	o := Ownership{rank: m.rank(server), members: m.Size()}
	if o.Share(coldLimit) > 0 {
		o.coldSince = since
	}
	return o
}

// apply updates the share after a membership change that m already contains.
func (o *Ownership) apply(now time.Time, m *Membership, c MembershipChange, server string, coldLimit int) {
	before := o.Share(coldLimit)
	if c.Rejoined {
		before = 0
	}
	for _, name := range c.Added {
		if m.before(server, name) {
			o.rank++
		}
	}
	for _, name := range c.Removed {
		if m.before(server, name) {
			o.rank--
		}
	}
	o.members = m.Size()
	switch after := o.Share(coldLimit); {
	case after == 0:
		o.coldSince = time.Time{}
	case after > before:
		o.coldSince = now
	}
}

// Share returns this instance's share of total slots.
func (o *Ownership) Share(total int) int { return sharedlimit.Share(total, o.rank, o.members) }
