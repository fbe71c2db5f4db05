package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

const (
	// ProbeInterval is the interval between two probes of the same instance.
	ProbeInterval = time.Second
	// suspectAfterProbes is the number of consecutive failed probes after
	// which an instance becomes suspect.
	suspectAfterProbes = 2
	// suspectTimeout is how long a suspect has to refute the suspicion.
	suspectTimeout = 3 * time.Second
	// downRetryInterval is the interval between probes of instances that are
	// down but still listed, one at a time. These probes detect the end of a
	// partition.
	downRetryInterval = 5 * time.Second
	// downMemberTTL is how long an instance that is down and not listed is
	// kept.
	downMemberTTL = time.Minute
	// maxRecentMembers bounds the recent changes in a probe. A change is
	// included for recentTTL.
	maxRecentMembers = 4
	recentTTL        = 10 * time.Second
)

// entry is the state of another instance.
type entry struct {
	Member
	stateSince   time.Time // when the state was received
	failedProbes int       // consecutive failed probes
	listed       bool      // on the platform's list
}

// Tracker is the membership as seen by one instance. It does no I/O and is not
// safe for concurrent use.
type Tracker struct {
	self            Member
	entries         map[string]*entry
	recent          []string // names of the latest state changes, newest first
	view            spread.View
	listRead        bool   // the platform's list was read at least once
	revision        uint64 // increases when members, states or addresses change
	lastDownProbeAt time.Time
	lastDownProbed  string // last instance in state Down that was probed
}

// NewTracker returns a tracker that knows only its own instance. The
// incarnation must be higher than any that an earlier process of the same name
// used.
func NewTracker(self Member) *Tracker {
	t := &Tracker{self: self, entries: make(map[string]*entry)}
	t.rebuild()
	return t
}

// Self returns this instance.
func (t *Tracker) Self() Member { return t.self }

// Leave marks this instance as leaving and returns the update to broadcast.
func (t *Tracker) Leave() Member {
	t.self.State = Leaving
	return t.self
}

// SetListed applies the platform's list. New members start as alive.
func (t *Tracker) SetListed(instances []platform.Instance, now time.Time) {
	changed := !t.listRead
	t.listRead = true
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		if i.Name != t.self.Name {
			listed[i.Name] = true
			changed = t.list(i, now) || changed
		}
	}
	for name, e := range t.entries {
		changed = changed || e.listed != listed[name]
		e.listed = listed[name]
		if !e.listed && e.State == Down && now.Sub(e.stateSince) > downMemberTTL {
			delete(t.entries, name)
		}
	}
	if changed {
		t.rebuild()
	}
}

// list applies one entry of the platform's list and reports whether it changed
// the member.
func (t *Tracker) list(i platform.Instance, now time.Time) bool {
	e, ok := t.entries[i.Name]
	if !ok {
		e = &entry{stateSince: now}
		t.entries[i.Name] = e
	}
	before := e.Member
	if e.Incarnation == 0 { // no message received yet: the list is the only source
		e.Name, e.Zone, e.Peer = i.Name, i.Zone, i.Peer
	}
	if i.Draining && e.State < Leaving {
		e.State = Leaving
		e.stateSince = now
	}
	return e.Member != before
}

// Merge applies updates from another instance and returns those that were new.
// A wrong update about this instance is refuted.
func (t *Tracker) Merge(members []Member, now time.Time) []Member {
	var updates []Member
	for _, m := range members {
		if m.Name == t.self.Name {
			updates = append(updates, t.refute(m)...)
			continue
		}
		e, ok := t.entries[m.Name]
		if ok && !m.Supersedes(e.Member) {
			continue
		}
		if !ok {
			e = &entry{}
			t.entries[m.Name] = e
		}
		t.set(e, m, now)
		updates = append(updates, m)
	}
	return updates
}

func (t *Tracker) refute(m Member) []Member {
	known := m.Incarnation == t.self.Incarnation && m.State == t.self.State
	if known || m.Incarnation < t.self.Incarnation {
		return nil
	}
	t.self.Incarnation = m.Incarnation + 1
	return []Member{t.self}
}

func (t *Tracker) set(e *entry, m Member, now time.Time) {
	before := e.Member
	before.Incarnation = m.Incarnation
	changed := before != m
	e.Member = m
	e.stateSince = now
	e.failedProbes = 0
	t.recent = slices.DeleteFunc(t.recent, func(name string) bool { return name == m.Name })
	t.recent = slices.Insert(t.recent, 0, m.Name)
	t.recent = t.recent[:min(len(t.recent), maxRecentMembers)]
	if changed {
		t.rebuild()
	}
}

// Targets returns the instances to probe now. It must be called once per
// ProbeInterval.
func (t *Tracker) Targets(now time.Time) []string {
	targets := spread.Graph{}.Successors(t.view, t.self.Name)
	if now.Sub(t.lastDownProbeAt) >= downRetryInterval {
		t.lastDownProbeAt = now
		if name := t.nextDown(); name != "" {
			targets = append(targets, name)
		}
	}
	return targets
}

// nextDown returns the next instance, by name, that is listed and down, or ""
// if there is none.
func (t *Tracker) nextDown() string {
	var down []string
	for name, e := range t.entries {
		if e.listed && e.State == Down {
			down = append(down, name)
		}
	}
	if len(down) == 0 {
		return ""
	}
	slices.Sort(down)
	at, _ := slices.BinarySearch(down, t.lastDownProbed+"\x00")
	t.lastDownProbed = down[at%len(down)]
	return t.lastDownProbed
}

// ProbeFor returns the probe for the named instance. If that instance is
// suspect or down, the probe includes its own entry, so that it can refute it.
func (t *Tracker) ProbeFor(name string, now time.Time) Probe {
	p := Probe{Self: t.self}
	if e := t.entries[name]; e != nil && (e.State == Suspect || e.State == Down) {
		p.Updates = append(p.Updates, e.Member)
	}
	for _, other := range t.recent {
		if e := t.entries[other]; e != nil && other != name && now.Sub(e.stateSince) < recentTTL {
			p.Updates = append(p.Updates, e.Member)
		}
	}
	return p
}

// ProbeFailed records a failed probe and returns the updates to broadcast.
func (t *Tracker) ProbeFailed(name string, now time.Time) []Member {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	e.failedProbes++
	if e.failedProbes < suspectAfterProbes || (e.State != Alive && e.State != Leaving) {
		return nil
	}
	m := e.Member
	m.State = Suspect
	if e.State == Leaving {
		m.State = Down // it had announced that it leaves
	}
	t.set(e, m, now)
	return []Member{m}
}

// ProbeSucceeded records an answered probe.
func (t *Tracker) ProbeSucceeded(name string) {
	if e := t.entries[name]; e != nil {
		e.failedProbes = 0
	}
}

// Expire marks suspects as down after suspectTimeout and returns the updates
// to broadcast.
func (t *Tracker) Expire(now time.Time) []Member {
	var updates []Member
	for _, e := range t.entries {
		if e.State == Suspect && now.Sub(e.stateSince) >= suspectTimeout {
			m := e.Member
			m.State = Down
			t.set(e, m, now)
			updates = append(updates, m)
		}
	}
	return updates
}

// Revision returns a number that increases when members, states or addresses
// change.
func (t *Tracker) Revision() uint64 { return t.revision }

// rebuild recomputes the view from the instances that are not down.
func (t *Tracker) rebuild() {
	t.revision++
	members := []spread.Member{{Name: t.self.Name, Zone: t.self.Zone}}
	for name, e := range t.entries {
		if e.State != Down {
			members = append(members, spread.Member{Name: name, Zone: e.Zone})
		}
	}
	t.view = spread.NewView(members)
}

// View returns all instances that are not down, including this one.
func (t *Tracker) View() spread.View { return t.view }

// Members returns all known instances, ordered by name, including this one.
func (t *Tracker) Members() []Member {
	members := []Member{t.self}
	for _, e := range t.entries {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Roster returns the names of all instances that count for a quorum: this one,
// those on the platform's list, and those that are not down. It is empty
// before the list has been read, because an instance that knows no others must
// not count itself as a majority.
func (t *Tracker) Roster() []string {
	if !t.listRead {
		return nil
	}
	names := []string{t.self.Name}
	for name, e := range t.entries {
		if e.listed || e.State != Down {
			names = append(names, name)
		}
	}
	return slices.Sorted(slices.Values(names))
}

// Addresses returns the peer addresses of the other instances.
func (t *Tracker) Addresses() []platform.Instance {
	instances := make([]platform.Instance, 0, len(t.entries))
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[name]
		instances = append(instances, platform.Instance{Name: name, Zone: e.Zone, Peer: e.Peer})
	}
	return instances
}
