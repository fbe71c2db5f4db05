package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// The rank is updated from the members added and removed. It must equal the
// rank computed from the whole list.
func TestIncrementalRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMembership("i0", Timing{})
		o := newOwnership(start, m, "s", 1)
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			now = now.Add(time.Second)
			names := rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) string {
				return fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "name"))
			}), rapid.ID[string]).Draw(t, "names")
			change := m.Update(names, now)
			o.apply(now, m, change, "s", 1)
			if o.rank != m.rank("s") || o.members != m.Size() {
				t.Fatalf("rank %d of %d, want %d of %d", o.rank, o.members, m.rank("s"), m.Size())
			}
		}
	})
}

// read applies the same list of members every second for the given time and
// returns the end.
func read(s *Store, from time.Time, d time.Duration, names ...string) time.Time {
	end := from.Add(d)
	for now := from; !now.After(end); now = now.Add(time.Second) {
		s.SetMembers(now, names, now)
	}
	return end
}

func TestColdSlotsNeedFreshMembership(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	l := s.Live("s00000")
	now := read(s, start, testSettle+testDeadline+time.Second, "i0")
	is.Equal(l.Slots(now, s.Members), 1)
	is.Equal(l.Slots(now.Add(DefaultFreshFor+1), s.Members), 0) // the list is no longer fresh
	s.SetMembers(now, []string{"i1"}, now)
	is.Equal(l.Slots(now, s.Members), 0) // the list does not contain it
	s.SetMembers(now, []string{"i0"}, now.Add(time.Second))
	is.Equal(l.Slots(now.Add(time.Second), s.Members), 0) // others may have used the slot in the meantime
}

func TestGainedColdSlotWaitsForFormerOwner(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	l := s.Live("s00000")
	other := "i1"
	for n := 1; !s.Members.before(l.name, other); n++ {
		other = fmt.Sprintf("i%d", n)
	}
	now := read(s, start, time.Minute, "i0", other)
	is.Equal(l.Slots(now, s.Members), 0)
	now = read(s, now, testSettle+time.Second, "i0")
	is.Equal(l.Slots(now, s.Members), 0) // the former owner's requests may still run
	now = read(s, now, testDeadline, "i0")
	is.Equal(l.Slots(now, s.Members), 1)
}

func TestIdleReportReleasesGainedColdSlot(t *testing.T) {
	is := is.New(t)
	s := newStore(modelConfig(1, 32), 1)
	l := s.Live("s00000")
	now := read(s, start, testSettle+maxClockSkew+time.Second, "i0")
	is.Equal(l.Slots(now, s.Members), 0)
	l.ApplyReport(now, engineapi.LoadReport{Epoch: 1, Running: 1, UnixMillis: now.UnixMilli(), ColdRemaining: 5})
	is.Equal(l.Slots(now, s.Members), 0) // a request of another instance is running
	l.ApplyReport(now, engineapi.LoadReport{Epoch: 1, UnixMillis: now.UnixMilli(), ColdRemaining: 5})
	is.Equal(l.Slots(now, s.Members), 1)
}
