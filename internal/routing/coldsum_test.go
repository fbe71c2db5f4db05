package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// coldWorld is one cold server before several instances whose lists of members
// lag by different times.
type coldWorld struct {
	t         *rapid.T
	now       time.Time
	members   []memberState // true list of members, oldest first
	instances []*coldInstance
	running   int // requests in flight on the server
}

type memberState struct {
	from  time.Time
	names []string
}

type coldInstance struct {
	name  string
	store *Store
	reads bool // false while cut off from the list
	ends  []time.Time
}

// listed returns the true list as it was at a time.
func (w *coldWorld) listed(at time.Time) []string {
	names := w.members[0].names
	for _, m := range w.members {
		if !m.from.After(at) {
			names = m.names
		}
	}
	return names
}

// changeMembers adds or removes an instance in the true list.
func (w *coldWorld) changeMembers() {
	present := w.listed(w.now)
	changed := rapid.SampledFrom(w.instances).Draw(w.t, "changed").name
	next := missing([]string{changed}, present)
	next = append(next, missing(present, []string{changed})...)
	w.members = append(w.members, memberState{from: w.now, names: next})
}

func (w *coldWorld) read(i *coldInstance) {
	if !i.reads {
		return
	}
	lag := time.Duration(rapid.IntRange(0, int(DefaultListLag/time.Second)).Draw(w.t, "lag")) * time.Second
	i.store.SetMembers(w.now, w.listed(w.now.Add(-lag)), w.now)
}

// report gives an instance a load report that is up to three seconds old.
func (w *coldWorld) report(i *coldInstance) {
	i.store.Live("s00000").Report(w.now, engineapi.LoadReport{
		Epoch: 1, Running: w.running, UnixMillis: w.now.UnixMilli(), ColdRemaining: 100,
	})
}

// serve ends due requests and starts new ones on every slot.
func (w *coldWorld) serve(i *coldInstance) {
	l := i.store.Live("s00000")
	kept := i.ends[:0]
	for _, end := range i.ends {
		if end.After(w.now) {
			kept = append(kept, end)
			continue
		}
		l.Ended()
		w.running--
	}
	i.ends = kept
	for l.Free(w.now, i.store.Members) > 0 {
		l.Started(w.now)
		w.running++
		length := time.Duration(rapid.IntRange(1, int(testDeadline/time.Second)).Draw(w.t, "length")) * time.Second
		i.ends = append(i.ends, w.now.Add(length))
	}
}

func TestColdServerGetsNoMoreThanItsLimitFromAllInstances(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		w := &coldWorld{t: t, now: start}
		var names []string
		for n := range rapid.IntRange(1, 5).Draw(t, "instances") {
			name := fmt.Sprintf("i%d", n)
			names = append(names, name)
			s := NewStore(name, Timing{})
			s.SetConfig(start, modelConfig(limit, 32))
			s.SetServers(start, newStoreServers())
			w.instances = append(w.instances, &coldInstance{name: name, store: s, reads: true})
		}
		w.members = []memberState{{from: start.Add(-time.Hour), names: names}}
		for step := range 120 {
			w.now = w.now.Add(time.Second)
			if rapid.IntRange(0, 15).Draw(t, "change") == 0 {
				w.changeMembers()
			}
			for _, i := range w.instances {
				if rapid.IntRange(0, 30).Draw(t, "cut") == 0 {
					i.reads = !i.reads
				}
				w.read(i)
				if rapid.Bool().Draw(t, "report") {
					w.report(i)
				}
				w.serve(i)
				if w.running > limit {
					t.Fatalf("second %d: %d requests in flight on a server that bears %d", step, w.running, limit)
				}
				served += len(i.ends)
			}
		}
	})
	if served == 0 {
		t.Error("no instance ever used the cold server")
	}
}
