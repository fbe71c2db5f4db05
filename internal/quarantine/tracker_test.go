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

// requestOf returns a request without parts.
func requestOf(fingerprint uint64) Request { return Request{Fingerprint: fingerprint} }

func startRun(t *testing.T, tr *Tracker, fingerprint uint64, server string, epoch uint64, now time.Time) *Run {
	t.Helper()
	r, ok := tr.Start(requestOf(fingerprint), server, epoch, now)
	if !ok {
		t.Fatalf("fingerprint %d may not run on %s", fingerprint, server)
	}
	return r
}

// After its second crash, a fingerprint is refused until Retention has passed.
// Fingerprints that were in flight at the same crashes must not be refused.
func TestCulpritRefused(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	bystander := startRun(t, tr, 2, "s1", 1, start)
	startRun(t, tr, 1, "s1", 1, start).Crashed(start)
	bystander.Crashed(start) // second report of the same crash
	is.True(!tr.Refused(requestOf(1), later) && !tr.Refused(requestOf(2), later))

	culprit := startRun(t, tr, 1, "s2", 1, later)
	is.True(!tr.MayRun(requestOf(2), "s2", later)) // suspects do not share a server
	is.True(tr.MayRun(requestOf(3), "s2", later))  // a fingerprint without a crash may run anywhere
	fresh := startRun(t, tr, 3, "s2", 1, later)
	culprit.Crashed(later)
	fresh.Crashed(later)
	settled := later.Add(maxReportDelay)
	is.True(tr.Refused(requestOf(1), settled))
	is.True(!tr.MayRun(requestOf(1), "s9", settled))
	is.True(!tr.Refused(requestOf(2), settled) && !tr.Refused(requestOf(3), settled))
	is.True(tr.MayRun(requestOf(2), "s3", settled)) // the other suspects are cleared
	startRun(t, tr, 3, "s3", 1, settled)
	is.True(tr.MayRun(requestOf(2), "s3", settled))
	is.True(!tr.Refused(requestOf(1), settled.Add(defaultRetention))) // the refusal expires
}

// A suspect that completes is cleared, and other instances are notified. A
// later crash must not count as its second.
func TestCompletedRunClearsSuspect(t *testing.T) {
	is := is.New(t)
	var sent []Notice
	tr := New(Options{Instance: "a", Notify: func(n Notice) { sent = append(sent, n) }})
	startRun(t, tr, 2, "s1", 1, start).Crashed(start)
	startRun(t, tr, 2, "s2", 1, later).Ended(true, later)
	is.Equal(sent[1].Cleared, uint64(2))
	startRun(t, tr, 2, "s3", 1, later).Crashed(later)
	is.True(!tr.Refused(requestOf(2), later.Add(time.Minute))) // crashes before and after the clearing do not add up
}

// A run that was cancelled proves nothing and must not clear a suspect.
func TestCancelledRunKeepsSuspect(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	startRun(t, tr, 1, "s1", 1, start).Crashed(start)
	startRun(t, tr, 1, "s2", 1, later).Ended(false, later)
	startRun(t, tr, 1, "s3", 1, later).Crashed(later)
	is.True(tr.Refused(requestOf(1), later.Add(time.Minute)))
}

// Two crashes of one server within maxClockSkew must count as two if the same
// instance reports both.
func TestCrashesOfRestartedServer(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	startRun(t, tr, 1, "only", 1, start).Crashed(start)
	onRestarted := startRun(t, tr, 9, "only", 2, start)
	again := start.Add(maxClockSkew / 4)
	startRun(t, tr, 1, "only", 2, again).Crashed(again)
	is.True(tr.Refused(requestOf(1), later)) // two crashes, although close together
	is.True(!tr.Refused(requestOf(9), later))
	onRestarted.Ended(true, later)
}

// A run that started after the restart must not become a suspect of the crash
// before it.
func TestRunOnRestartedServer(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	before := startRun(t, tr, 1, "s1", 1, start)
	startRun(t, tr, 2, "s1", 2, start)
	before.Crashed(start)
	is.True(tr.MayRun(requestOf(1), "s2", start))
	startRun(t, tr, 1, "s2", 1, start)
	is.True(tr.MayRun(requestOf(2), "s2", start)) // a suspect could not share the server
}

// A crash notice that arrives after the suspect was cleared must not make it a
// suspect again.
func TestLateNoticeOfClearedSuspect(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Instance: "a"})
	crash := Notice{Reporter: "b", Server: "s1", SinceMillis: start.UnixMilli(), UnixMillis: start.UnixMilli(), Fingerprints: []uint64{2}}
	tr.Apply(crash, start)
	startRun(t, tr, 2, "s2", 1, later).Ended(true, later)
	tr.Apply(crash, later)
	crash.Reporter = "c" // a late report of the same crash
	tr.Apply(crash, later)
	startRun(t, tr, 2, "s3", 1, later).Crashed(later)
	is.True(!tr.Refused(requestOf(2), later.Add(time.Minute)))
}

// A server crashes for another reason while one harmless request runs there. A
// notice of this crash that is delivered twice must count once.
func TestDuplicateNotice(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	crash := Notice{Reporter: "b", Server: "s1", SinceMillis: start.UnixMilli(), UnixMillis: start.UnixMilli(), Fingerprints: []uint64{2}}
	tr.Apply(crash, start)
	tr.Apply(crash, later)
	is.True(!tr.Refused(requestOf(2), later.Add(time.Minute)))
	is.Equal(len(tr.Notices(later)), 1)
}

// One crash that two instances report must count once. An instance that starts
// later must reach the same result from the stored notices.
func TestCrashReportedByTwoInstances(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	onA, onB := startRun(t, a, 1, "s1", 1, start), startRun(t, b, 1, "s1", 0, start)
	onA.Crashed(start)
	onB.Crashed(start.Add(time.Second))
	is.True(!a.Refused(requestOf(1), later) && !b.Refused(requestOf(1), later))
	startRun(t, a, 1, "s2", 1, later).Crashed(later)
	is.True(b.Refused(requestOf(1), later.Add(time.Minute))) // b received the notices of a
	late := New(Options{Instance: "c"})
	for _, n := range a.Notices(later) {
		late.Apply(n, later)
		late.Apply(n, later)
	}
	is.True(late.Refused(requestOf(1), later.Add(time.Minute)))
}

// Two suspects can run on one server only if two instances start them. Such a
// crash does not identify the culprit; the next one does.
func TestSuspectsOnSameServer(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	bystander := startRun(t, a, 2, "s1", 1, start)
	startRun(t, a, 1, "s1", 1, start).Crashed(start)
	bystander.Crashed(start)
	culprit, other := startRun(t, a, 1, "s2", 1, later), startRun(t, b, 2, "s2", 1, later)
	culprit.Crashed(later)
	is.True(!a.Refused(requestOf(1), later)) // other instances may still report suspects
	is.True(!a.MayRun(requestOf(1), "s3", later))
	other.Crashed(later)
	settled := later.Add(time.Minute)
	is.True(!a.Refused(requestOf(1), settled) && !a.Refused(requestOf(2), settled))
	startRun(t, b, 1, "s3", 1, settled).Crashed(settled)
	end := settled.Add(time.Minute)
	is.True(a.Refused(requestOf(1), end) && b.Refused(requestOf(1), end))
	is.True(!a.Refused(requestOf(2), end) && !b.Refused(requestOf(2), end))
}

func TestNoticeRoundTrip(t *testing.T) {
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
		tr.Apply(n, start)
		tr.Refused(requestOf(1), start)
	})
}

// connect delivers the notices of each tracker to the other.
func connect(a, b *Tracker) {
	a.options.Notify = func(n Notice) { b.Apply(n, n.at()) }
	b.options.Notify = func(n Notice) { a.Apply(n, n.at()) }
}

// One request that crashes servers and many harmless ones are sent repeatedly,
// through two instances and to random servers. It may crash at most two
// servers, and no harmless request may be refused.
func TestCulpritAmongBystanders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		s := newSimulation(random, rapid.IntRange(1, 5).Draw(rt, "servers"))
		for range 400 {
			if violation := s.step(); violation != "" {
				rt.Fatal(violation)
			}
		}
		if s.crashes > refusalCrashCount {
			rt.Fatalf("%d servers crashed", s.crashes)
		}
	})
}

const (
	culpritFingerprint = 1
	maxFingerprint     = 30
	restartDuration    = time.Second
)

// activeRun is a run in flight on a server.
type activeRun struct {
	run    *Run
	server int
}

// simulation is a set of servers; a server crashes when the culprit's run on it
// ends.
type simulation struct {
	random      *rand.Rand
	trackers    []*Tracker
	epochs      []uint64
	availableAt []time.Time // when each server accepts requests again
	running     []activeRun
	now         time.Time
	crashes     int
}

func newSimulation(random *rand.Rand, servers int) *simulation {
	a, b := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	connect(a, b)
	s := &simulation{
		random: random, trackers: []*Tracker{a, b}, epochs: make([]uint64, servers),
		availableAt: make([]time.Time, servers),
		now:         start,
	}
	for i := range s.epochs {
		s.epochs[i] = 1
	}
	return s
}

func (s *simulation) step() (violation string) {
	if s.random.IntN(4) > 0 { // otherwise a run may start and end in the same millisecond
		s.now = s.now.Add(time.Duration(s.random.IntN(int(time.Second))))
	}
	s.resendNotices()
	if s.random.IntN(2) == 0 {
		return s.startRandomRun()
	}
	if len(s.running) > 0 {
		s.endRun(s.random.IntN(len(s.running)))
	}
	return ""
}

// resendNotices applies all notices of one instance to another again, like the
// recovery of lost notices.
func (s *simulation) resendNotices() {
	from, to := s.trackers[s.random.IntN(len(s.trackers))], s.trackers[s.random.IntN(len(s.trackers))]
	for _, n := range from.Notices(s.now) {
		to.Apply(n, s.now)
	}
}

func (s *simulation) startRandomRun() (violation string) {
	t := s.trackers[s.random.IntN(len(s.trackers))]
	fingerprint := uint64(1 + s.random.IntN(maxFingerprint))
	server := s.random.IntN(len(s.epochs))
	if t.Refused(requestOf(fingerprint), s.now) {
		if fingerprint != culpritFingerprint {
			return fmt.Sprintf("bystander %d refused", fingerprint)
		}
		return ""
	}
	if fingerprint == culpritFingerprint && s.isCulpritRunning() {
		return ""
	}
	if s.now.Before(s.availableAt[server]) || s.isSuspectElsewhere(fingerprint, server) {
		return "" // at most one instance runs suspects on a server
	}
	if r, ok := t.Start(requestOf(fingerprint), serverName(server), s.epochs[server], s.now); ok {
		s.running = append(s.running, activeRun{r, server})
	}
	return ""
}

// isSuspectElsewhere reports whether another instance runs a suspect on the
// server. In production two instances exclude this only after their notices
// have arrived.
func (s *simulation) isSuspectElsewhere(fingerprint uint64, server int) bool {
	for _, t := range s.trackers {
		if !t.MayRun(requestOf(fingerprint), serverName(server), s.now) {
			return true
		}
	}
	return false
}

func (s *simulation) endRun(at int) {
	ended := s.running[at]
	s.running = slices.Delete(s.running, at, at+1)
	if ended.run.request.Fingerprint != culpritFingerprint {
		ended.run.Ended(true, s.now)
		return
	}
	s.crashes++
	s.epochs[ended.server]++
	s.availableAt[ended.server] = s.now.Add(restartDuration)
	ended.run.Crashed(s.now)
	for _, other := range s.running {
		if other.server == ended.server {
			other.run.Crashed(s.now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(p activeRun) bool { return p.server == ended.server })
}

// isCulpritRunning reports whether the culprit is in flight. Its caller sends
// it again only after it has failed.
func (s *simulation) isCulpritRunning() bool {
	return slices.ContainsFunc(s.running, func(p activeRun) bool { return p.run.request.Fingerprint == culpritFingerprint })
}

func serverName(server int) string { return fmt.Sprintf("s%d", server) }
