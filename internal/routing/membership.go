package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing bounds how far the lists of members of different instances may lag.
type Timing struct {
	// FreshFor is how long a list may be used for cold servers, counted from
	// just before it was requested. Zero means DefaultFreshFor.
	FreshFor time.Duration
	// ListLag bounds the age of the platform's list when it is returned. Zero
	// means DefaultListLag.
	ListLag time.Duration
}

// Defaults of Timing.
const (
	DefaultFreshFor = 4 * time.Second
	DefaultListLag  = 6 * time.Second
)

// settleTime is how long an instance must have owned a slot of a cold server
// before it uses the slot. Within half of that time the former owner either
// reads a list in which it no longer owns the slot, or its list is no longer
// fresh and it stops using the slot. The other half covers a list that one of
// the two never read.
func (t Timing) settleTime() time.Duration { return 2 * (t.FreshFor + t.ListLag) }

func (t Timing) withDefaults() Timing {
	if t.FreshFor <= 0 {
		t.FreshFor = DefaultFreshFor
	}
	if t.ListLag <= 0 {
		t.ListLag = DefaultListLag
	}
	return t
}

// Membership is this instance's view of which instances share the backend
// servers. The list of members must contain every instance that may still send
// requests. An instance that is not in its own list uses no slots of cold
// servers.
type Membership struct {
	timing Timing
	self   string
	names  []string // sorted; includes self
	listed bool     // the last list contained self
	asOf   time.Time
}

// NewMembership returns the view of an instance that has not read a list yet.
// Its only member is self, and it is not fresh.
func NewMembership(self string, timing Timing) *Membership {
	return &Membership{timing: timing.withDefaults(), self: self, names: []string{self}}
}

// MembershipChange lists the members that one update added and removed.
type MembershipChange struct {
	Added, Removed []string
	// Rejoined is true if this instance was absent from the previous list, or
	// if that list was no longer fresh: other instances may have used its slots
	// in the meantime.
	Rejoined bool
}

// Empty reports whether the update changed nothing.
func (c MembershipChange) Empty() bool {
	return len(c.Added) == 0 && len(c.Removed) == 0 && !c.Rejoined
}

// Update replaces the list of members. asOf is the local time just before the
// list was requested. A list older than the last one is ignored.
func (m *Membership) Update(names []string, asOf time.Time) MembershipChange {
	if asOf.Before(m.asOf) {
		return MembershipChange{}
	}
	returned := !m.listed || asOf.Sub(m.asOf) > m.timing.FreshFor
	m.asOf = asOf
	next := slices.Clone(names)
	m.listed = slices.Contains(next, m.self)
	if !m.listed {
		next = append(next, m.self)
	}
	slices.Sort(next)
	next = slices.Compact(next)
	change := MembershipChange{
		Added:    difference(next, m.names),
		Removed:  difference(m.names, next),
		Rejoined: m.listed && returned,
	}
	m.names = next
	return change
}

// difference returns the elements of a that are not in b; both are sorted.
func difference(a, b []string) []string {
	var out []string
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			out = append(out, name)
		}
	}
	return out
}

// Fresh reports whether the list may be used for cold servers.
func (m *Membership) Fresh(now time.Time) bool {
	return m.listed && now.Sub(m.asOf) <= m.timing.FreshFor
}

// Size returns the number of members, at least 1.
func (m *Membership) Size() int { return len(m.names) }

// rank returns the number of members ranked before this instance for a server
// by rendezvous hashing.
func (m *Membership) rank(server string) int {
	rank := 0
	for _, name := range m.names {
		if m.before(server, name) {
			rank++
		}
	}
	return rank
}

// before reports whether a member is ranked before this instance for a server.
func (m *Membership) before(server, name string) bool {
	if name == m.self {
		return false
	}
	own, other := rendezvousWeight(server, m.self), rendezvousWeight(server, name)
	return other > own || other == own && name > m.self
}

func rendezvousWeight(server, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(server)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return h.Sum64()
}
