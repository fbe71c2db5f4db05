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
	// ProbeInterval is the time between two probes of the same instance.
	ProbeInterval = time.Second
	// missedProbes in a row make an instance suspect.
	missedProbes = 2
	// suspectTimeout is how long a suspect may refute the suspicion.
	suspectTimeout = 3 * time.Second
	// downRetryInterval is the time between probes of instances that are down
	// but listed, one at a time; they end a partition.
	downRetryInterval = 5 * time.Second
	// forgetAfter is how long an instance that is down and not listed is kept.
	forgetAfter = time.Minute
	// recentMembers is how many recent changes a probe carries, and recentFor
	// how long after the change.
	recentMembers = 4
	recentFor     = 10 * time.Second
)

// entry is what a tracker keeps of another instance.
type entry struct {
	Member
	since  time.Time // when the state was learned
	missed int       // probes in a row without an answer
	listed bool      // on the platform's list
}

// Tracker is the membership as one instance knows it. It is pure and not safe
// for concurrent use.
type Tracker struct {
	self      Member
	entries   map[string]*entry
	recent    []string // names whose state changed last, newest first
	view      spread.View
	listRead  bool   // the platform's list was read once
	revision  uint64 // rises when members, states or addresses change
	retryDown time.Time
	retried   string // the instance that was down and was probed last
}

// NewTracker returns a tracker that knows its own instance only. The
// incarnation must be higher than any that an earlier process of the same name
// used.
func NewTracker(self Member) *Tracker {
	t := &Tracker{self: self, entries: make(map[string]*entry)}
	t.rebuild()
	return t
}

// Self returns the entry of the own instance.
func (t *Tracker) Self() Member { return t.self }

// Leave marks the own instance as leaving and returns the news to spread.
func (t *Tracker) Leave() Member {
	t.self.State = Leaving
	return t.self
}

// SetListed takes the platform's list. Members that are new start as alive.
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
		if !e.listed && e.State == Down && now.Sub(e.since) > forgetAfter {
			delete(t.entries, name)
		}
	}
	if changed {
		t.rebuild()
	}
}

// list takes one entry of the platform's list and reports whether it was news.
func (t *Tracker) list(i platform.Instance, now time.Time) bool {
	e, ok := t.entries[i.Name]
	if !ok {
		e = &entry{since: now}
		t.entries[i.Name] = e
	}
	before := e.Member
	if e.Incarnation == 0 { // never heard from: the list is all there is
		e.Name, e.Zone, e.Peer = i.Name, i.Zone, i.Peer
	}
	if i.Leaving && e.State < Leaving {
		e.State = Leaving
		e.since = now
	}
	return e.Member != before
}

// Learn takes knowledge from another instance and returns what is news here.
// News about the own instance that is not true is refuted.
func (t *Tracker) Learn(members []Member, now time.Time) []Member {
	var news []Member
	for _, m := range members {
		if m.Name == t.self.Name {
			news = append(news, t.refute(m)...)
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
		news = append(news, m)
	}
	return news
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
	e.since = now
	e.missed = 0
	t.recent = slices.DeleteFunc(t.recent, func(name string) bool { return name == m.Name })
	t.recent = slices.Insert(t.recent, 0, m.Name)
	t.recent = t.recent[:min(len(t.recent), recentMembers)]
	if changed {
		t.rebuild()
	}
}

// Targets returns the instances to probe now. It is called once per ProbeInterval.
func (t *Tracker) Targets(now time.Time) []string {
	targets := spread.Graph{}.Successors(t.view, t.self.Name)
	if now.Sub(t.retryDown) >= downRetryInterval {
		t.retryDown = now
		if name := t.nextDown(); name != "" {
			targets = append(targets, name)
		}
	}
	return targets
}

// nextDown returns the listed instance that is down and follows the one probed last.
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
	at, _ := slices.BinarySearch(down, t.retried+"\x00")
	t.retried = down[at%len(down)]
	return t.retried
}

// ProbeFor returns what to send to the named instance, "" meaning anyone. It
// tells an instance that is not thought alive what is thought of it.
func (t *Tracker) ProbeFor(name string, now time.Time) Probe {
	p := Probe{Self: t.self}
	if e := t.entries[name]; e != nil && (e.State == Suspect || e.State == Down) {
		p.About = append(p.About, e.Member)
	}
	for _, other := range t.recent {
		if e := t.entries[other]; e != nil && other != name && now.Sub(e.since) < recentFor {
			p.About = append(p.About, e.Member)
		}
	}
	return p
}

// Missed notes that a probe was not answered and returns the news to spread.
func (t *Tracker) Missed(name string, now time.Time) []Member {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	e.missed++
	if e.missed < missedProbes || (e.State != Alive && e.State != Leaving) {
		return nil
	}
	m := e.Member
	m.State = Suspect
	if e.State == Leaving {
		m.State = Down // it has left
	}
	t.set(e, m, now)
	return []Member{m}
}

// Answered notes that a probe was answered.
func (t *Tracker) Answered(name string) {
	if e := t.entries[name]; e != nil {
		e.missed = 0
	}
}

// Expire turns suspects that did not refute in time into instances that are
// down, and returns the news to spread.
func (t *Tracker) Expire(now time.Time) []Member {
	var news []Member
	for _, e := range t.entries {
		if e.State == Suspect && now.Sub(e.since) >= suspectTimeout {
			m := e.Member
			m.State = Down
			t.set(e, m, now)
			news = append(news, m)
		}
	}
	return news
}

// Revision returns a number that rises when members, states or addresses change.
func (t *Tracker) Revision() uint64 { return t.revision }

// rebuild computes the view of everyone that is not down.
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

// Members returns all known instances in order of name, including this one.
func (t *Tracker) Members() []Member {
	members := []Member{t.self}
	for _, e := range t.entries {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Roster returns the names of all instances that count for a quorum: those on
// the platform's list and this one, and those that are known to be up. It is
// empty before the list was read, because one instance that knows of no other
// must not take itself for a majority.
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

// Addresses returns where each other instance listens.
func (t *Tracker) Addresses() []platform.Instance {
	instances := make([]platform.Instance, 0, len(t.entries))
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[name]
		instances = append(instances, platform.Instance{Name: name, Zone: e.Zone, Peer: e.Peer})
	}
	return instances
}
