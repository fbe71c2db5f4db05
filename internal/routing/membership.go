package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing bounds how far the members' lists of different instances may differ.
type Timing struct {
	// FreshFor is how long a list may be used for cold servers, counted from
	// before it was asked for. Zero means DefaultFreshFor.
	FreshFor time.Duration
	// ListLag bounds how old the platform's list is when it is handed out. Zero
	// means DefaultListLag.
	ListLag time.Duration
}

// Defaults of Timing.
const (
	DefaultFreshFor = 4 * time.Second
	DefaultListLag  = 6 * time.Second
)

// settle is how long an instance must have owned a slot of a cold server before
// it uses it. In half of that time the former owner reads a list that takes the
// slot from it, or has no fresh list and uses none; the other half keeps a list
// that one of them never saw from counting.
func (t Timing) settle() time.Duration { return 2 * (t.FreshFor + t.ListLag) }

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
// servers. Members must contain every instance that may still send; an instance
// that does not find itself in its list uses no slot of a cold server.
type Membership struct {
	timing  Timing
	self    string
	names   []string // sorted; includes self
	present bool     // self was in the list
	asOf    time.Time
}

// NewMembership returns the view of an instance that knows of no other yet. It
// is not fresh.
func NewMembership(self string, timing Timing) *Membership {
	return &Membership{timing: timing.withDefaults(), self: self, names: []string{self}}
}

// Change lists the members that one update added and removed.
type Change struct {
	Added, Removed []string
	// Returned is true when this instance was absent from the last list, or had
	// no fresh one: others may have taken its slots meanwhile.
	Returned bool
}

// Empty reports whether the update changed nothing.
func (c Change) Empty() bool {
	return len(c.Added) == 0 && len(c.Removed) == 0 && !c.Returned
}

// Update takes a list of members. asOf is the local time just before the list
// was asked for; an older one than the last is ignored.
func (m *Membership) Update(names []string, asOf time.Time) Change {
	if asOf.Before(m.asOf) {
		return Change{}
	}
	returned := !m.present || asOf.Sub(m.asOf) > m.timing.FreshFor
	m.asOf = asOf
	next := slices.Clone(names)
	m.present = slices.Contains(next, m.self)
	if !m.present {
		next = append(next, m.self)
	}
	slices.Sort(next)
	next = slices.Compact(next)
	change := Change{
		Added:    missing(next, m.names),
		Removed:  missing(m.names, next),
		Returned: m.present && returned,
	}
	m.names = next
	return change
}

// missing returns the elements of a that are not in b; both are sorted.
func missing(a, b []string) []string {
	var out []string
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			out = append(out, name)
		}
	}
	return out
}

// Fresh reports whether the view may be used for cold servers.
func (m *Membership) Fresh(now time.Time) bool {
	return m.present && now.Sub(m.asOf) <= m.timing.FreshFor
}

// Size returns the number of members, at least 1.
func (m *Membership) Size() int { return len(m.names) }

// rank is the number of members that come before this instance for a server, by
// rendezvous hashing.
func (m *Membership) rank(server string) int {
	rank := 0
	for _, name := range m.names {
		if m.before(server, name) {
			rank++
		}
	}
	return rank
}

// before reports whether a member comes before this instance for a server.
func (m *Membership) before(server, name string) bool {
	if name == m.self {
		return false
	}
	own, other := affinity(server, m.self), affinity(server, name)
	return other > own || other == own && name > m.self
}

func affinity(server, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(server)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return h.Sum64()
}
