package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// coldSim simulates one cold server used by several instances whose lists of
// members lag by different times.
type coldSim struct {
	t         *rapid.T
	now       time.Time
	members   []memberList // actual lists of members, oldest first
	instances []*coldInstance
	running   int // requests in flight on the server
}

type memberList struct {
	from  time.Time
	names []string
}

type coldInstance struct {
	name      string
	store     *Store
	connected bool // false while the list is unreachable
	endTimes  []time.Time
}

// listed returns the actual list as it was at the given time.
func (s *coldSim) listed(at time.Time) []string {
	names := s.members[0].names
	for _, m := range s.members {
		if !m.from.After(at) {
			names = m.names
		}
	}
	return names
}

// changeMembers adds an instance to the actual list or removes one from it.
func (s *coldSim) changeMembers() {
	present := s.listed(s.now)
	changed := rapid.SampledFrom(s.instances).Draw(s.t, "changed").name
	next := difference([]string{changed}, present)
	next = append(next, difference(present, []string{changed})...)
	s.members = append(s.members, memberList{from: s.now, names: next})
}

func (s *coldSim) read(i *coldInstance) {
	if !i.connected {
		return
	}
	lag := time.Duration(rapid.IntRange(0, int(DefaultListLag/time.Second)).Draw(s.t, "lag")) * time.Second
	i.store.SetMembers(s.now, s.listed(s.now.Add(-lag)), s.now)
}

// report applies a load report measured now.
func (s *coldSim) report(i *coldInstance) {
	i.store.Live("s00000").ApplyReport(s.now, engineapi.LoadReport{
		Epoch: 1, Running: s.running, UnixMillis: s.now.UnixMilli(), ColdRemaining: 100,
	})
}

// serve ends the requests that are due and starts new ones on every free slot.
func (s *coldSim) serve(i *coldInstance) {
	l := i.store.Live("s00000")
	pending := i.endTimes[:0]
	for _, end := range i.endTimes {
		if end.After(s.now) {
			pending = append(pending, end)
			continue
		}
		l.EndAttempt(false)
		s.running--
	}
	i.endTimes = pending
	for l.Free(s.now, i.store.Members) > 0 {
		l.StartAttempt(s.now)
		s.running++
		length := time.Duration(rapid.IntRange(1, int(testDeadline/time.Second)).Draw(s.t, "length")) * time.Second
		i.endTimes = append(i.endTimes, s.now.Add(length))
	}
}

// The cold limit would be exceeded if two instances considered themselves the
// owner of the same slot, for example because one of them reads an old list of
// members or cannot read it at all.
func TestColdLimitAcrossInstances(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		sim := &coldSim{t: t, now: start}
		var names []string
		for n := range rapid.IntRange(1, 5).Draw(t, "instances") {
			name := fmt.Sprintf("i%d", n)
			names = append(names, name)
			s := NewStore(name, Timing{})
			s.SetConfig(start, modelConfig(limit, 32))
			s.SetServers(start, newStoreServers())
			sim.instances = append(sim.instances, &coldInstance{name: name, store: s, connected: true})
		}
		sim.members = []memberList{{from: start.Add(-time.Hour), names: names}}
		for step := range 120 {
			sim.now = sim.now.Add(time.Second)
			if rapid.IntRange(0, 15).Draw(t, "change") == 0 {
				sim.changeMembers()
			}
			for _, i := range sim.instances {
				if rapid.IntRange(0, 30).Draw(t, "cut") == 0 {
					i.connected = !i.connected
				}
				sim.read(i)
				if rapid.Bool().Draw(t, "report") {
					sim.report(i)
				}
				sim.serve(i)
				if sim.running > limit {
					t.Fatalf("second %d: %d requests in flight on a server with cold limit %d", step, sim.running, limit)
				}
				served += len(i.endTimes)
			}
		}
	})
	if served == 0 {
		t.Error("no instance ever used the cold server")
	}
}
