package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// versionTest records streams of a checker's versions.
type versionTest struct {
	*Checker
	started time.Time
}

func newVersionTest() versionTest {
	c := NewChecker(revocation)
	for server, version := range []int{1, 1, 2, 2} {
		c.RecordVersion(server, version)
	}
	return versionTest{c, time.Now()}
}

// run records a run of a request from a server of a version and returns its pieces.
func (t versionTest) run(id string, version, from, to int) []Piece {
	name := RunName("server-"+id, version, int64(from))
	t.RecordStreamRun(id, name, from-1)
	return pieces(name, from, to)
}

// request records a request for a stream of 10 pieces. A resumption names the origin.
func (t versionTest) request(id, origin string, after int, list []Piece) {
	sent := t.started.Add(time.Minute)
	o := Outcome{ID: id, Idempotent: true, Instance: "a", Sent: sent, Ended: sent.Add(time.Second), Resumable: true, Origin: origin, After: after}
	if list != nil {
		o.Stream, o.Status = &Stream{Pieces: list, Length: 10, Resumable: true}, 200
	}
	t.RecordOutcome(o)
}

// takeUps records streams of version 1, and as many resumptions, of which some went on.
func (t versionTest) takeUps(count, goneOn int) {
	for n := range count {
		id := fmt.Sprint("s", n)
		t.request(id, "", 0, t.run(id, 1, 1, 3))
		var rest []Piece
		if n < goneOn {
			rest = t.run(id+"-1", 1, 4, 10)
		}
		t.request(id+"-1", id, 3, rest)
	}
}

func TestCheckerComparesVersions(t *testing.T) {
	for name, c := range map[string]struct {
		happened func(versionTest)
		found    string // "" if nothing
	}{
		"one version": {func(t versionTest) {
			t.request("x", "", 0, join(t.run("x", 1, 1, 2), t.run("x", 1, 3, 4)))
			t.request("x-1", "x", 4, t.run("x-1", 1, 5, 10))
		}, ""},
		"two versions in one answer": {func(t versionTest) {
			t.request("x", "", 0, join(t.run("x", 1, 1, 2), t.run("x", 2, 3, 10)))
		}, "stream x: pieces of two versions within one answer: x at a pieces 1 to 2 of v1, x at a pieces 3 to 10 of v2"},
		"two versions in two answers": {func(t versionTest) {
			t.request("x", "", 0, t.run("x", 1, 1, 2))
			t.request("x-1", "x", 2, nil)
			t.request("x-2", "x", 2, t.run("x-2", 2, 3, 10))
		}, "stream x: pieces of two versions over tries: x at a pieces 1 to 2 of v1, x-2 at a pieces 3 to 10 of v2"},
		"two versions in the answer to a take-up": {func(t versionTest) {
			t.request("x", "", 0, t.run("x", 1, 1, 2))
			t.request("x-1", "x", 2, join(t.run("x-1", 1, 3, 4), t.run("x-1", 2, 5, 10)))
		}, "stream x: pieces of two versions within one answer: x at"},
		"two versions before and after a kill": {func(t versionTest) {
			t.request("x", "", 0, t.run("x", 1, 1, 2))
			t.versions.kills = []time.Time{t.started.Add(time.Minute + time.Second)}
			t.started = t.started.Add(2 * time.Second)
			t.request("x-1", "x", 2, t.run("x-1", 2, 3, 10))
		}, "over tries and over a kill of all instances: x at"},
		"both": {func(t versionTest) {
			t.request("x", "", 0, join(t.run("x", 1, 1, 2), t.run("x", 2, 3, 4)))
			t.request("x-1", "x", 4, t.run("x-1", 1, 5, 10))
		}, "of two versions within one answer and over tries"},
		"piece missing between two answers": {func(t versionTest) {
			t.request("x", "", 0, t.run("x", 1, 1, 2))
			t.request("x-1", "x", 2, t.run("x-1", 1, 4, 10))
		}, "stream x-1: pieces are missing between 2 and 4"},
		"piece twice in two answers": {func(t versionTest) {
			t.request("x", "", 0, t.run("x", 1, 1, 2))
			t.request("x-1", "x", 2, t.run("x-1", 1, 2, 10))
		}, "stream x-1: piece 2 comes after piece 2, so again"},
		"half of the take-ups": {func(t versionTest) { t.takeUps(minTakeUps, minTakeUps/2) }, ""},
		"fewer than half": {func(t versionTest) { t.takeUps(minTakeUps, minTakeUps/2-1) },
			"only 5 of 12 streams went on that were taken up while servers of their version served, and 12 of 12 new ones began"},
		"few new streams begin": {func(t versionTest) {
			t.takeUps(minTakeUps, minTakeUps/2-1)
			for n := range minTakeUps {
				t.request(fmt.Sprint("refused", n), "", 0, nil)
			}
		}, ""},
		"too few take-ups": {func(t versionTest) { t.takeUps(minTakeUps-1, 0) }, ""},
		"a server of the version has ended": {func(t versionTest) {
			t.RecordServerEnd(0)
			t.takeUps(minTakeUps, 0)
		}, ""},
		"a server of the version has started with another": {func(t versionTest) {
			t.RecordServerEnd(0)
			t.RecordVersion(0, 2)
			t.takeUps(minTakeUps, 0)
		}, ""},
		"a server of the version has started again": {func(t versionTest) {
			t.RecordServerEnd(0)
			t.RecordVersion(0, 1)
			t.takeUps(minTakeUps, 0)
		}, "only 0 of 12 streams went on"},
		"a server of the version refused requests": {func(t versionTest) {
			t.RecordServerFault(0, t.started, t.started.Add(time.Hour))
			t.takeUps(minTakeUps, 0)
		}, ""},
		"a server of another version refused requests": {func(t versionTest) {
			t.RecordServerFault(2, t.started, t.started.Add(time.Hour))
			t.takeUps(minTakeUps, 0)
		}, "only 0 of 12 streams went on"},
		"the instance was without the store": {func(t versionTest) {
			t.RecordStale("a", t.started, t.started.Add(time.Hour))
			t.takeUps(minTakeUps, 0)
		}, ""},
		"another instance was killed": {func(t versionTest) {
			t.RecordFault("b", t.started, t.started.Add(time.Hour))
			t.takeUps(minTakeUps, 0)
		}, "only 0 of 12 streams went on"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test := newVersionTest()
			c.happened(test)
			violations := finish(test.Checker)
			if c.found == "" {
				is.Equal(violations, nil)
				return
			}
			is.Equal(len(violations), 1)
			is.True(strings.Contains(violations[0], c.found))
		})
	}
}

func TestVersionPlan(t *testing.T) {
	is := is.New(t)
	is.Equal(VersionPlan(3, time.Minute, 6), VersionPlan(3, time.Minute, 6))
	releases, kills, whole := 0, 0, 0
	for seed := range uint64(20) {
		for _, fault := range VersionPlan(seed, time.Minute, 6) {
			is.True(fault.At >= quietStart && fault.At < time.Minute-quietEnd)
			if fault.Kind == AllKilled {
				kills++
				is.True(fault.Duration >= minKillTime && fault.Duration < maxKillTime)
				continue
			}
			releases++
			is.True(len(fault.Release.Servers) > 0)
			if len(fault.Release.Servers) == 6 {
				whole++
			}
		}
	}
	is.True(kills > releases/3 && kills < releases)
	is.True(whole > 0 && whole < releases/2)
}

func TestVersionsLeaveOtherFaults(t *testing.T) {
	is := is.New(t)
	o := Options{Seed: 3, Length: time.Minute, Instances: 3, Servers: 6}
	without := o.plan()
	o.Versions = true
	is.Equal(o.plan()[:len(without)], without)
	is.True(len(o.plan()) > len(without))
}

// TestCheckerAllowsUnrecordedStreams checks that only a stream that needs a record, at an instance
// that may not reach the store, may be lost for want of it.
func TestCheckerAllowsUnrecordedStreams(t *testing.T) {
	two := func(c *Checker) { c.RecordVersion(1, 1); c.RecordVersion(2, 2) }
	for name, test := range map[string]struct {
		resumable bool
		instance  string // that may not reach the store
		happened  func(*Checker)
		violation bool
	}{
		"two versions":                 {true, "i", two, false},
		"a restore":                    {true, "", (*Checker).RecordRestored, false},
		"one version":                  {true, "i", func(c *Checker) { c.RecordVersion(1, 1); c.RecordVersion(2, 1) }, true},
		"another instance":             {true, "j", two, true},
		"a request that is no stream":  {false, "i", two, true},
		"the store is away, no record": {true, "i", func(*Checker) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			c := NewChecker(time.Second)
			c.RecordStale(test.instance, now, now.Add(time.Minute))
			c.RecordRun("x")
			c.RecordSound("x", 1, true, now)
			test.happened(c)
			c.RecordOutcome(Outcome{ID: "x", Instance: "i", Resumable: test.resumable, Sent: now, Ended: now.Add(time.Second)})
			for range 100 {
				c.RecordOutcome(Outcome{ID: "good", Idempotent: true, Sent: now, Status: 200})
			}
			_, violations := c.Finish(now.Add(-time.Minute))
			is.Equal(len(violations) > 0, test.violation)
		})
	}
}
