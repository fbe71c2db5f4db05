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

// view is a rank among a number of members, in force from a time on.
type view struct {
	from          time.Time
	rank, members int
}

// Ownership is this instance's part of one server's slots. Slots lost by a
// change of members are lost at once; gained ones of a cold server count only
// after the settling time.
type Ownership struct {
	views []view // oldest first; the last is in force
	// coldSince is when the part of the cold limit last grew; zero when none is owned.
	coldSince time.Time
}

// newOwnership computes the part for a server that was not known before.
func newOwnership(now time.Time, m *Membership, server string, coldLimit int) Ownership {
	o := Ownership{views: []view{{from: now, rank: m.rank(server), members: m.Size()}}}
	if o.Current(coldLimit) > 0 {
		o.coldSince = now
	}
	return o
}

// apply moves the part on by a change of members that m already contains.
func (o *Ownership) apply(now time.Time, m *Membership, c Change, server string, coldLimit int) {
	last := o.views[len(o.views)-1]
	rank := last.rank
	for _, name := range c.Added {
		if m.before(server, name) {
			rank++
		}
	}
	for _, name := range c.Removed {
		if m.before(server, name) {
			rank--
		}
	}
	before := o.Current(coldLimit)
	if c.Returned {
		o.views = o.views[:0]
		before = 0
	}
	o.forget(now.Add(-m.timing.settle()))
	o.views = append(o.views, view{from: now, rank: rank, members: m.Size()})
	switch after := o.Current(coldLimit); {
	case after == 0:
		o.coldSince = time.Time{}
	case after > before:
		o.coldSince = now
	}
}

// forget drops the views that ended before start.
func (o *Ownership) forget(start time.Time) {
	keep := 0
	for keep+1 < len(o.views) && !o.views[keep+1].from.After(start) {
		keep++
	}
	o.views = append(o.views[:0], o.views[keep:]...)
}

// Current returns this instance's part of total slots by the newest view.
func (o *Ownership) Current(total int) int {
	v := o.views[len(o.views)-1]
	return share(total, v.rank, v.members)
}

// Settled returns the smallest part of total slots that any view since start gave
// this instance, 0 when its views do not reach back that far.
func (o *Ownership) Settled(start time.Time, total int) int {
	if o.views[0].from.After(start) {
		return 0
	}
	least := total
	for i, v := range o.views {
		if i+1 < len(o.views) && !o.views[i+1].from.After(start) {
			continue
		}
		least = min(least, share(total, v.rank, v.members))
	}
	return least
}
