package routing

import "time"

// share returns how many of total slots belong to the member with the rank among
// members. The shares of all members sum to total, and a larger total never
// takes a slot away.
func share(total, rank, members int) int {
	n := total / members
	if rank < total%members {
		n++
	}
	return n
}

// Ownership is this instance's part of one server's slots. Slots lost by a
// change of members are lost at once; gained ones of a cold server count only
// after the settling time (see Ramp.clear).
type Ownership struct {
	rank, members int
	// coldSince is when the part of the cold limit last grew; zero when none is owned.
	coldSince time.Time
}

// newOwnership computes the part for a server that was not known before.
func newOwnership(now time.Time, m *Membership, server string, coldLimit int) Ownership {
	o := Ownership{rank: m.rank(server), members: m.Size()}
	if o.Current(coldLimit) > 0 {
		o.coldSince = now
	}
	return o
}

// apply moves the part on by a change of members that m already contains.
func (o *Ownership) apply(now time.Time, m *Membership, c Change, server string, coldLimit int) {
	before := o.Current(coldLimit)
	if c.Returned {
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
	switch after := o.Current(coldLimit); {
	case after == 0:
		o.coldSince = time.Time{}
	case after > before:
		o.coldSince = now
	}
}

// Current returns this instance's part of total slots.
func (o *Ownership) Current(total int) int { return share(total, o.rank, o.members) }
