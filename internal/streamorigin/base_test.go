package streamorigin

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const testStart = boottime.Instant(time.Hour)

// watched returns a watch that has seen lists of versions, one a second.
func watched(bootstrap bool, lists ...[]string) *watch {
	w := newWatch(testStart, bootstrap)
	now := testStart
	for _, list := range lists {
		now = now.Add(time.Second)
		w.observe(now, listOf(now, list...), maxWatchGap)
	}
	return w
}

func listOf(now boottime.Instant, versions ...string) View {
	servers := map[string]int{}
	for _, v := range versions {
		servers[v] = 1
	}
	return View{AsOf: now, Services: map[string]map[string]int{"s": servers}}
}

func repeat(n int, list ...string) [][]string {
	lists := make([][]string, n)
	for i := range lists {
		lists[i] = list
	}
	return lists
}

func TestNextBase(t *testing.T) {
	times := timesFor(10 * time.Second) // life 20 s, trust 60 s, quiet 120 s
	old := heldRow{version: 5, row: baseRow{Version: "v1", Epoch: 1}}
	held := heldRow{version: 5, row: baseRow{Version: "v1", Epoch: 2}}
	closed := heldRow{version: 6, row: baseRow{Version: "v1", Epoch: 2, Closed: true}}
	for name, c := range map[string]struct {
		held      heldRow
		bootstrap bool
		lists     [][]string
		epochAge  time.Duration // up to the last list; zero means that it is the first epoch
		closedFor time.Duration
		trusted   string
		servers   map[string]int // nil means one of each listed version
		want      baseRow
		changes   bool
	}{
		"first start, one version":                {bootstrap: true, lists: repeat(1, "v1"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
		"first start, two versions, at once":      {bootstrap: true, lists: repeat(2, "v1", "v2")},
		"first start, two versions, settled":      {bootstrap: true, lists: repeat(5, "v1", "v2"), servers: map[string]int{"v1": 1, "v2": 2}, want: baseRow{Version: "v2", Epoch: 2}, changes: true},
		"no row without bootstrap":                {lists: repeat(110, "v1", "v2")},
		"no row without bootstrap, after a while": {lists: repeat(122, "v1", "v2"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
		"no server":                                 {bootstrap: true, lists: repeat(100)},
		"base is listed":                            {held: held, lists: repeat(100, "v1", "v2")},
		"base is missing for a moment":              {held: held, lists: append(repeat(9, "v1", "v2"), repeat(9, "v2")...)},
		"base is missing":                           {held: held, lists: append(repeat(9, "v1", "v2"), repeat(12, "v2")...), want: baseRow{Version: "v1", Epoch: 2, Closed: true}, changes: true},
		"closed base is back":                       {held: closed, lists: repeat(3, "v1", "v2"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
		"closed and missing, not for long":          {held: closed, closedFor: 300 * time.Second, lists: repeat(110, "v2")},
		"missing for long, closed not":              {held: closed, closedFor: 110 * time.Second, lists: repeat(200, "v2")},
		"closed and missing for long":               {held: closed, closedFor: 122 * time.Second, lists: repeat(122, "v2"), want: baseRow{Version: "v2", Epoch: 2}, changes: true},
		"restore, alone since the first start":      {held: old, bootstrap: true, epochAge: 4 * time.Second, lists: repeat(10, "v1"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
		"restore, alone, servers are still missing": {held: old, bootstrap: true, epochAge: 2 * time.Second, lists: repeat(10, "v1")},
		"restore, alone for long":                   {held: old, epochAge: 4 * time.Second, lists: repeat(130, "v1"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
		"restore, alone for long, other base":       {held: old, epochAge: 4 * time.Second, lists: repeat(130, "v2")},
		"restore, alone for long, no row":           {epochAge: 4 * time.Second, lists: repeat(130, "v2"), want: baseRow{Version: "v2", Epoch: 2}, changes: true},
		"restore, alone not for long":               {held: old, epochAge: 4 * time.Second, lists: repeat(110, "v1")},
		"restore, trusted, streams may run":         {held: old, epochAge: 15 * time.Second, trusted: "v2", lists: repeat(50, "v1", "v2")},
		"restore, trusted":                          {held: old, epochAge: 21 * time.Second, trusted: "v2", lists: repeat(50, "v1", "v2"), want: baseRow{Version: "v2", Epoch: 2}, changes: true},
		"restore, nothing known":                    {held: old, epochAge: 110 * time.Second, lists: repeat(200, "v0", "v1")},
		"restore, nothing known, after a while":     {held: old, epochAge: 121 * time.Second, lists: repeat(200, "v0", "v1"), want: baseRow{Version: "v1", Epoch: 2}, changes: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := watched(c.bootstrap, c.lists...)
			in := baseInputs{
				service: "s", held: c.held, epoch: 2, servers: c.servers, watch: w, times: times, bootstrap: c.bootstrap && c.epochAge == 0,
				closedSeen: w.asOf.Add(-c.closedFor), trusted: c.trusted, isTrusted: c.trusted != "",
			}
			if in.servers == nil {
				in.servers = listOf(0, c.lists[len(c.lists)-1]...).Services["s"]
			}
			if c.epochAge > 0 {
				in.epochSeen = w.asOf.Add(-c.epochAge)
			}
			row, changes := nextBase(in)
			is.Equal(changes, c.changes)
			if changes {
				is.Equal(row, c.want)
			}
		})
	}
}

// TestInterruptedWatchKnowsNothing guards against a version that was listed unseen.
func TestInterruptedWatchKnowsNothing(t *testing.T) {
	is := is.New(t)
	w := watched(true, repeat(100, "v1")...)
	is.True(w.onlyFor("s", "v1", time.Hour))
	is.Equal(w.missingFor("s", "v2"), 99*time.Second)
	now := w.asOf.Add(maxWatchGap + time.Second)
	w.observe(now, listOf(now, "v1"), maxWatchGap)
	is.True(!w.onlyFor("s", "v1", time.Second))
	is.Equal(w.missingFor("s", "v2"), time.Duration(0))
}

// TestLateFirstListIsNotFromStart guards against an instance that could not read the list at the
// first start, and takes the first one that it reads for all that was listed.
func TestLateFirstListIsNotFromStart(t *testing.T) {
	is := is.New(t)
	w := newWatch(testStart, true)
	now := testStart.Add(settling + time.Second)
	w.observe(now, listOf(now, "v2"), maxWatchGap)
	is.True(!w.onlyFor("s", "v2", time.Second))
}

// TestManyVersionsAreBounded checks that the watch forgets versions, and claims nothing of them.
func TestManyVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	var lists [][]string
	for i := range 1000 {
		lists = append(lists, []string{"v" + strconv.Itoa(i)})
	}
	w := watched(true, lists...)
	is.True(len(w.services["s"]) <= maxWatched+1)
	is.True(w.missingFor("s", "v0") <= time.Second)
}

// TestOlderRowIsNotLearned guards against a read that ends after a newer row was learned.
func TestOlderRowIsNotLearned(t *testing.T) {
	is := is.New(t)
	k := newKnownBases()
	view := listOf(testStart, "v1", "v2")
	k.learn("s", heldRow{version: 6, row: baseRow{Version: "v1", Closed: true}}, 0, view)
	k.learn("s", heldRow{version: 5, row: baseRow{Version: "v1"}}, 0, view)
	is.True(!k.relied("s", "v1", 0))
	k.learn("s", heldRow{version: 3, row: baseRow{Version: "v2", Epoch: 1}}, 1, view) // of a restored store
	is.True(k.relied("s", "v2", 1))
	k.learn("s", heldRow{version: 9, row: baseRow{Version: "v1"}}, 0, view)
	is.True(k.relied("s", "v2", 1))
}

// TestListAfterGapIsNotTrusted guards against a base that moved and came back unseen.
func TestListAfterGapIsNotTrusted(t *testing.T) {
	is := is.New(t)
	k := newKnownBases()
	k.observe(listOf(testStart, "v1"), maxViewAge)
	k.learn("s", heldRow{version: 1, row: baseRow{Version: "v1"}}, 0, listOf(testStart, "v1"))
	is.True(k.relied("s", "v1", 0))
	k.observe(listOf(testStart.Add(maxViewAge), "v1"), maxViewAge)
	is.True(k.relied("s", "v1", 0))
	k.observe(listOf(testStart.Add(2*maxViewAge+1), "v1"), maxViewAge)
	is.True(!k.relied("s", "v1", 0))
}

func TestOwnOriginsAreBounded(t *testing.T) {
	is := is.New(t)
	o := newOwnOrigins()
	for i := range 3 * maxOwn {
		o.add(digestOf(strconv.Itoa(i)), ownOrigin{origin: originRow{Service: "s", Version: "v1"}})
	}
	is.Equal(len(o.byAttempt), maxOwn)
	is.Equal(len(o.order), maxOwn)
	_, ok := o.get(digestOf("0"))
	is.True(!ok)
	_, ok = o.get(digestOf(strconv.Itoa(3*maxOwn - 1)))
	is.True(ok)
}

// TestShareOfStore checks the rates and intervals of stated sites.
func TestShareOfStore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		instances int
		writes    float64
		rate      float64
		interval  time.Duration
	}{
		{8, 400, 120, 67 * time.Millisecond},
		{95, 1200, 360, 264 * time.Millisecond},
		{300, 3200, 600, 500 * time.Millisecond},
	} {
		rate := Rate(c.writes, 200, 4)
		is.Equal(rate, c.rate)
		is.Equal(writeInterval(c.instances, rate).Round(time.Millisecond), c.interval)
	}
}
