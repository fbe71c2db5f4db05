package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

// later is a time at which all reports of a crash at start have settled.
var later = start.Add(time.Minute)

func run(t *testing.T, tr *Tracker, fingerprint uint64, server string, epoch uint64, now time.Time) *Run {
	t.Helper()
	r, ok := tr.Start(fingerprint, server, epoch, now)
	if !ok {
		t.Fatalf("fingerprint %d may not run on %s", fingerprint, server)
	}
	return r
}

func TestCulpritIsRefusedAfterSecondCrash(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	bystander := run(t, tr, 2, "s1", 1, start)
	run(t, tr, 1, "s1", 1, start).Crashed(start)
	bystander.Crashed(start) // the same crash, seen once more
	is.True(!tr.Refused(1, later) && !tr.Refused(2, later))

	culprit := run(t, tr, 1, "s2", 1, later)
	is.True(!tr.MayRun(2, "s2", later)) // suspects are kept apart
	is.True(tr.MayRun(3, "s2", later))  // whoever is no suspect runs anywhere
	fresh := run(t, tr, 3, "s2", 1, later)
	culprit.Crashed(later)
	fresh.Crashed(later)
	settled := later.Add(settleTime)
	is.True(tr.Refused(1, settled))
	is.True(!tr.MayRun(1, "s9", settled))
	is.True(!tr.Refused(2, settled) && !tr.Refused(3, settled))
	is.True(tr.MayRun(2, "s3", settled)) // and they are no suspects any more
	run(t, tr, 3, "s3", 1, settled)
	is.True(tr.MayRun(2, "s3", settled))
	is.True(!tr.Refused(1, settled.Add(defaultKeep))) // for a time
}

func TestWholeAnswerClearsSuspect(t *testing.T) {
	is := is.New(t)
	var sent []Notice
	tr := New(Options{Instance: "a", Notify: func(n Notice) { sent = append(sent, n) }})
	run(t, tr, 2, "s1", 1, start).Crashed(start)
	run(t, tr, 2, "s2", 1, later).Ended(true, later)
	is.Equal(sent[1].Cleared, uint64(2))
	run(t, tr, 2, "s3", 1, later).Crashed(later)
	is.True(!tr.Refused(2, later.Add(time.Minute))) // crashes before and after do not add up
}

func TestCancelledRunClearsNobody(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	run(t, tr, 1, "s1", 1, start).Crashed(start)
	run(t, tr, 1, "s2", 1, later).Ended(false, later)
	run(t, tr, 1, "s3", 1, later).Crashed(later)
	is.True(tr.Refused(1, later.Add(time.Minute)))
}

func TestRestartedServerCrashesAgain(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	run(t, tr, 1, "only", 1, start).Crashed(start)
	onRestarted := run(t, tr, 9, "only", 2, start)
	again := start.Add(clockTolerance / 4)
	run(t, tr, 1, "only", 2, again).Crashed(again)
	is.True(tr.Refused(1, later)) // two crashes, although close together
	is.True(!tr.Refused(9, later))
	onRestarted.Ended(true, later)
}

func TestRunOnRestartedServerIsNoSuspect(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	before := run(t, tr, 1, "s1", 1, start)
	run(t, tr, 2, "s1", 2, start)
	before.Crashed(start)
	is.True(tr.MayRun(1, "s2", start))
	run(t, tr, 1, "s2", 1, start)
	is.True(tr.MayRun(2, "s2", start)) // would be kept apart if it were one
}

func TestClearedFingerprintStaysClear(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Instance: "a"})
	crash := Notice{Reporter: "b", Server: "s1", SinceMillis: start.UnixMilli(), UnixMillis: start.UnixMilli(), Fingerprints: []uint64{2}}
	tr.Learn(crash, start)
	run(t, tr, 2, "s2", 1, later).Ended(true, later)
	tr.Learn(crash, later)
	crash.Reporter = "c" // its report of the same crash comes late
	tr.Learn(crash, later)
	run(t, tr, 2, "s3", 1, later).Crashed(later)
	is.True(!tr.Refused(2, later.Add(time.Minute)))
}

// A server dies of something else while one harmless request runs there.
func TestRepeatedNoticeCountsOnce(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	crash := Notice{Reporter: "b", Server: "s1", SinceMillis: start.UnixMilli(), UnixMillis: start.UnixMilli(), Fingerprints: []uint64{2}}
	tr.Learn(crash, start)
	tr.Learn(crash, later)
	is.True(!tr.Refused(2, later.Add(time.Minute)))
	is.Equal(len(tr.Notices(later)), 1)
}

func TestOneCrashSeenByTwoInstancesCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	onA, onB := run(t, a, 1, "s1", 1, start), run(t, b, 1, "s1", 0, start)
	onA.Crashed(start)
	onB.Crashed(start.Add(time.Second))
	is.True(!a.Refused(1, later) && !b.Refused(1, later))
	run(t, a, 1, "s2", 1, later).Crashed(later)
	is.True(b.Refused(1, later.Add(time.Minute))) // instances tell each other
	late := New(Options{Instance: "c"})
	for _, n := range a.Notices(later) {
		late.Learn(n, later)
		late.Learn(n, later)
	}
	is.True(late.Refused(1, later.Add(time.Minute)))
}

// Two suspects can meet on one server only through two instances. Such a crash
// names neither; the next one does.
func TestSuspectsThatMeetAreNotConfused(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	bystander := run(t, a, 2, "s1", 1, start)
	run(t, a, 1, "s1", 1, start).Crashed(start)
	bystander.Crashed(start)
	culprit, other := run(t, a, 1, "s2", 1, later), run(t, b, 2, "s2", 1, later)
	culprit.Crashed(later)
	is.True(!a.Refused(1, later)) // other instances may still name members
	is.True(!a.MayRun(1, "s3", later))
	other.Crashed(later)
	settled := later.Add(time.Minute)
	is.True(!a.Refused(1, settled) && !a.Refused(2, settled))
	run(t, b, 1, "s3", 1, settled).Crashed(settled)
	end := settled.Add(time.Minute)
	is.True(a.Refused(1, end) && b.Refused(1, end))
	is.True(!a.Refused(2, end) && !b.Refused(2, end))
}

func TestNoticeSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	n := Notice{Reporter: "a", Server: "s", Epoch: 3, UnixMillis: 5, Fingerprints: []uint64{1, 1 << 63}}
	data, err := n.Encode()
	is.NoErr(err)
	decoded, err := Decode(data)
	is.NoErr(err)
	is.Equal(decoded, n)
}

func FuzzDecode(f *testing.F) {
	data, err := Notice{Reporter: "a", Server: "s", Fingerprints: []uint64{1}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := Decode(data)
		if err != nil {
			return
		}
		tr := New(Options{})
		tr.Learn(n, start)
		tr.Refused(1, start)
	})
}

// connect makes two trackers tell each other.
func connect(a, b *Tracker) {
	a.options.Notify = func(n Notice) { b.Learn(n, n.at()) }
	b.options.Notify = func(n Notice) { a.Learn(n, n.at()) }
}

// One culprit and many bystanders are sent again and again, through two
// instances and to any server that takes them. The culprit crashes at most two
// servers and no bystander is ever refused.
func TestOneCulpritAmongBystanders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		w := newWorld(random, rapid.IntRange(1, 5).Draw(rt, "servers"))
		for range 400 {
			if fault := w.step(); fault != "" {
				rt.Fatal(fault)
			}
		}
		if w.crashes > convictingCrashes {
			rt.Fatalf("%d servers crashed", w.crashes)
		}
	})
}

const (
	culpritPrint = 1
	lastPrint    = 30
	restartTime  = time.Second
)

// placed is a run on a server.
type placed struct {
	run    *Run
	server int
}

// world is a set of servers that crash when the culprit's run ends.
type world struct {
	random   *rand.Rand
	trackers []*Tracker
	epochs   []uint64
	up       []time.Time // when each server takes work again
	running  []placed
	now      time.Time
	crashes  int
}

func newWorld(random *rand.Rand, servers int) *world {
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	w := &world{
		random: random, trackers: []*Tracker{a, b}, epochs: make([]uint64, servers),
		up:  make([]time.Time, servers),
		now: start,
	}
	for i := range w.epochs {
		w.epochs[i] = 1
	}
	return w
}

func (w *world) step() (fault string) {
	if w.random.IntN(4) > 0 { // else a run begins and ends in the same millisecond
		w.now = w.now.Add(time.Duration(w.random.IntN(int(time.Second))))
	}
	w.sync()
	if w.random.IntN(2) == 0 {
		return w.begin()
	}
	if len(w.running) > 0 {
		w.end(w.random.IntN(len(w.running)))
	}
	return ""
}

// sync tells all instances all kept notices again, as the repair of lost ones does.
func (w *world) sync() {
	from, to := w.trackers[w.random.IntN(len(w.trackers))], w.trackers[w.random.IntN(len(w.trackers))]
	for _, n := range from.Notices(w.now) {
		to.Learn(n, w.now)
	}
}

func (w *world) begin() (fault string) {
	t := w.trackers[w.random.IntN(len(w.trackers))]
	fingerprint := uint64(1 + w.random.IntN(lastPrint))
	server := w.random.IntN(len(w.epochs))
	if t.Refused(fingerprint, w.now) {
		if fingerprint != culpritPrint {
			return fmt.Sprintf("bystander %d refused", fingerprint)
		}
		return ""
	}
	if fingerprint == culpritPrint && w.culpritRuns() {
		return ""
	}
	if w.now.Before(w.up[server]) || w.suspectElsewhere(fingerprint, server) {
		return "" // only one instance at a time runs suspects on a server here
	}
	if r, ok := t.Start(fingerprint, name(server), w.epochs[server], w.now); ok {
		w.running = append(w.running, placed{r, server})
	}
	return ""
}

// suspectElsewhere reports whether another instance runs a suspect on the
// server; two instances exclude that only up to their notices' delay.
func (w *world) suspectElsewhere(fingerprint uint64, server int) bool {
	for _, t := range w.trackers {
		if !t.MayRun(fingerprint, name(server), w.now) {
			return true
		}
	}
	return false
}

func (w *world) end(at int) {
	ended := w.running[at]
	w.running = slices.Delete(w.running, at, at+1)
	if ended.run.fingerprint != culpritPrint {
		ended.run.Ended(true, w.now)
		return
	}
	w.crashes++
	w.epochs[ended.server]++
	w.up[ended.server] = w.now.Add(restartTime)
	ended.run.Crashed(w.now)
	for _, other := range w.running {
		if other.server == ended.server {
			other.run.Crashed(w.now)
		}
	}
	w.running = slices.DeleteFunc(w.running, func(p placed) bool { return p.server == ended.server })
}

// culpritRuns reports whether the culprit is in flight; its caller sends it
// again only when it has failed.
func (w *world) culpritRuns() bool {
	return slices.ContainsFunc(w.running, func(p placed) bool { return p.run.fingerprint == culpritPrint })
}

func name(server int) string { return fmt.Sprintf("s%d", server) }
