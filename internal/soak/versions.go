package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of FaultKind of VersionPlan.
const (
	ServersReleased FaultKind = "backend servers are replaced by others of a software version"
	AllKilled       FaultKind = "all instances are killed at once"
)

// Release replaces backend servers by others of a software version, one after the other.
type Release struct {
	Servers []int
	Version int
	// NewID is true if the new servers have ids of their own. Otherwise they have the old ones.
	NewID bool
	Away  time.Duration // time without a server, for each of them
	Gap   time.Duration // time between the ends of two servers
}

// String returns the line about the release in the output.
func (r Release) String() string {
	ids := "under their ids"
	if r.NewID {
		ids = "under new ids"
	}
	return fmt.Sprintf("       servers %v get version %s %s, each after %.2fs, %.2fs apart", r.Servers, versionName(r.Version), ids, r.Away.Seconds(), r.Gap.Seconds())
}

const (
	// meanReleaseInterval is the mean time between two releases, and minReleaseInterval the
	// shortest.
	meanReleaseInterval = 4 * time.Second
	minReleaseInterval  = 1500 * time.Millisecond
	maxReleaseAway      = 300 * time.Millisecond
	maxReleaseGap       = 400 * time.Millisecond
	// Of killShare of the releases, all instances are killed at most maxKillDelay after the
	// start, and start again after minKillTime to maxKillTime.
	killShare    = 0.6
	maxKillDelay = 2500 * time.Millisecond
	minKillTime  = 500 * time.Millisecond
	maxKillTime  = 2500 * time.Millisecond
	// newerShare is the share of the releases with a version that has not been in service.
	newerShare = 0.7
)

// VersionPlan generates the releases of a run and the kills of all its instances from its
// seed, in order of time. Their random numbers are not those of NewPlan.
func VersionPlan(seed uint64, length time.Duration, servers int) []Fault {
	random := rand.New(rand.NewPCG(seed+1, ^seed))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Float64() * float64(limit)) }
	var faults []Fault
	version := 1
	for at := quietStart + upTo(minReleaseInterval); at < length-quietEnd; {
		if version == 1 || random.Float64() < newerShare {
			version++
		}
		release := Release{
			Servers: random.Perm(servers)[:1+random.IntN(servers)], Version: version, NewID: random.IntN(2) == 0,
			Away: upTo(maxReleaseAway), Gap: upTo(maxReleaseGap),
		}
		if random.IntN(2) == 0 {
			release.Gap = 0
		}
		duration := release.Away + time.Duration(len(release.Servers)-1)*release.Gap
		faults = append(faults, Fault{At: at, Duration: duration, Kind: ServersReleased, Release: &release})
		killAt := at + upTo(maxKillDelay)
		if random.Float64() < killShare && killAt < length-quietEnd {
			faults = append(faults, Fault{At: killAt, Duration: minKillTime + upTo(maxKillTime-minKillTime), Kind: AllKilled})
		}
		at += minReleaseInterval + time.Duration(random.ExpFloat64()*float64(meanReleaseInterval-minReleaseInterval))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// release replaces backend servers by others of a version.
func (r *run) release(ctx context.Context, release Release) {
	if r.options.Out != nil {
		fmt.Fprintln(r.options.Out, release)
	}
	var tasks sync.WaitGroup
	for n, server := range release.Servers {
		tasks.Go(func() {
			sleep(ctx, time.Duration(n)*release.Gap)
			r.site.SetVersion(server, release.Version)
			r.site.Crash(server)
			sleep(ctx, release.Away)
			r.site.Return(server, release.NewID)
		})
	}
	tasks.Wait()
}

// killAll kills all instances, and starts them again after d.
func (r *run) killAll(ctx context.Context, d time.Duration) {
	for _, p := range r.processes {
		p.Signal(syscall.SIGKILL)
	}
	r.options.Checker.RecordAllKilled()
	sleep(ctx, d)
	for _, p := range r.processes {
		r.restart(p)
	}
}

// RunName returns the name of run number n of a backend server of a software version. The
// pieces of a stream hold it.
func RunName(server string, version int, n int64) string {
	return fmt.Sprintf("%s/%d@%s", server, n, versionName(version))
}

func versionName(version int) string { return fmt.Sprint("v", version) }

// versionOf returns the version of the server that generated a piece, or "" if its run has none.
func versionOf(p Piece) string {
	_, version, _ := strings.Cut(p.Run, "@")
	return version
}

// versions are the versions in service. The checker's mutex protects it.
type versions struct {
	serving []serving
	faults  []serverEnd // of backend servers and their links
	kills   []time.Time // of all instances at once
	// restoredAt is when the store first came back from an older copy. Zero means never.
	restoredAt time.Time
}

// serving is the start of an incarnation of a backend server.
type serving struct {
	server  int
	version string
	from    time.Time
}

// RecordVersion records that a backend server starts with a software version.
func (c *Checker) RecordVersion(server, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.serving = append(c.versions.serving, serving{server, versionName(version), time.Now()})
}

// RecordServerFault records a fault, or a statement, because of which a backend server may
// not have served.
func (c *Checker) RecordServerFault(server int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.faults = append(c.versions.faults, serverEnd{server, from, to})
}

// RecordRestored records that the store comes back from an older copy, so that instances may not
// know the versions of streams without a record.
func (c *Checker) RecordRestored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions.restoredAt.IsZero() {
		c.versions.restoredAt = time.Now()
	}
}

// unrecorded reports whether the version that begins a stream could not be recorded, so that the
// stream had to begin elsewhere: it needs a record while versions differ and after a restore of
// the store, and the instance may not have reached the store.
func (c *Checker) unrecorded(o Outcome) bool {
	if !o.Resumable || !c.staleWithin(o.Instance, o.Sent, o.Ended) {
		return false
	}
	restored := !c.versions.restoredAt.IsZero() && c.versions.restoredAt.Before(o.Ended)
	differ := slices.ContainsFunc(c.versions.serving, func(s serving) bool {
		return s.version != c.versions.serving[0].version && s.from.Before(o.Ended)
	})
	return restored || differ
}

// RecordAllKilled records that all instances have been killed.
func (c *Checker) RecordAllKilled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.kills = append(c.versions.kills, time.Now())
}

// VersionSummary counts streams that may be resumed, and what became of them.
type VersionSummary struct {
	// TakeUps are requests for the rest of a stream. GoneOn are those that brought a piece.
	TakeUps, GoneOn int
	// JoinedWithin are streams with pieces of servers of two versions in one answer, and
	// JoinedOver those with such pieces in two answers. JoinedOverKill are those of the latter
	// with one answer from before and one from after a kill of all instances.
	JoinedWithin, JoinedOver, JoinedOverKill int
	// Begin and Continue count what minContinued compares.
	Begin, Continue Share
}

// Share is a count of requests, and of those that brought a piece.
type Share struct{ All, Brought int }

func (s *Share) add(o Outcome) {
	s.All++
	if o.brought() {
		s.Brought++
	}
}

// brought reports whether the answer brought a piece.
func (o Outcome) brought() bool { return o.Stream != nil && len(o.Stream.Pieces) > 0 }

// span is a row of pieces of servers of one version in one answer.
type span struct {
	outcome  Outcome
	version  string
	from, to int // numbers of its pieces
}

func (s span) String() string {
	return fmt.Sprintf("%s at %s pieces %d to %d of %s", s.outcome.ID, s.outcome.Instance, s.from, s.to, s.version)
}

// spans returns the spans of an answer.
func (o Outcome) spans() []span {
	var list []span
	for _, p := range o.Stream.Pieces {
		if len(list) == 0 || list[len(list)-1].version != versionOf(p) {
			list = append(list, span{o, versionOf(p), p.Number, p.Number})
		}
		list[len(list)-1].to = p.Number
	}
	return list
}

// checkVersions finds streams with pieces of servers of two versions, and whether streams
// that were resumed went on.
func (c *Checker) checkVersions(s *VersionSummary) {
	streams := map[string][]span{} // by the request that brought the first piece
	var order []string
	for _, o := range c.outcomes {
		if o.Origin != "" {
			s.TakeUps++
		}
		if !o.brought() {
			continue
		}
		origin := o.ID
		if o.Origin != "" {
			s.GoneOn++
			origin = o.Origin
		}
		if streams[origin] == nil {
			order = append(order, origin)
		}
		streams[origin] = append(streams[origin], o.spans()...)
	}
	for _, origin := range order {
		c.checkJoined(streams[origin], s)
	}
	c.checkContinued(streams, s)
}

// checkJoined finds a change of the version in a stream.
func (c *Checker) checkJoined(spans []span, s *VersionSummary) {
	var within, over, kill bool
	lines := []string{spans[0].String()}
	for i, next := range spans[1:] {
		lines = append(lines, next.String())
		if next.version == spans[i].version {
			continue
		}
		if next.outcome.ID == spans[i].outcome.ID {
			within = true
		} else {
			over = true
			kill = kill || c.killedBetween(spans[i].outcome, next.outcome)
		}
	}
	var how []string
	if within {
		s.JoinedWithin++
		how = append(how, "within one answer")
	}
	if over {
		s.JoinedOver++
		how = append(how, "over tries")
	}
	if kill {
		s.JoinedOverKill++
		how = append(how, "over a kill of all instances")
	}
	if len(how) > 0 {
		c.addViolation("stream %s: pieces of two versions %s: %s", spans[0].outcome.ID, strings.Join(how, " and "), strings.Join(lines, ", "))
	}
}

// killedBetween reports whether all instances were killed between the starts of two requests.
func (c *Checker) killedBetween(before, after Outcome) bool {
	return slices.ContainsFunc(c.versions.kills, func(at time.Time) bool { return at.After(before.Sent) && at.Before(after.Sent) })
}

const (
	// Of minTakeUps or more streams that are resumed while minServing servers of their
	// version serve, the share that goes on must be at least minContinued of the share of new
	// streams that begin.
	minTakeUps   = 12
	minServing   = 2
	minContinued = 0.5
)

// checkContinued compares the share of the streams that went on with that of new ones.
func (c *Checker) checkContinued(streams map[string][]span, s *VersionSummary) {
	for _, o := range c.outcomes {
		if !o.Resumable || !c.withdrawn[o.Key].IsZero() || c.outOfTouch(o) {
			continue
		}
		if o.Origin == "" {
			s.Begin.add(o)
		} else if begun := streams[o.Origin]; begun != nil && c.servers(begun[0].version, o) >= minServing {
			s.Continue.add(o)
		}
	}
	if s.Continue.All < minTakeUps || s.Begin.All == 0 {
		return
	}
	if float64(s.Continue.Brought)/float64(s.Continue.All) < minContinued*float64(s.Begin.Brought)/float64(s.Begin.All) {
		c.addViolation("only %d of %d streams went on that were taken up while servers of their version served, and %d of %d new ones began",
			s.Continue.Brought, s.Continue.All, s.Begin.Brought, s.Begin.All)
	}
}

// outOfTouch reports whether the instance of a request was faulty, stopped or without the
// store while the request was in flight.
func (c *Checker) outOfTouch(o Outcome) bool {
	overlaps := func(i interval) bool { return i.overlaps(o) }
	return c.instanceFailed(o) || slices.ContainsFunc(c.stops, overlaps) || slices.ContainsFunc(c.ran.stale, overlaps)
}

// servers returns the number of backend servers of a version that served from tableDelay
// before a request was sent until it ended.
func (c *Checker) servers(version string, o Outcome) int {
	count := 0
	for _, s := range c.versions.serving {
		from := o.Sent.Add(-tableDelay)
		ended := func(e serverEnd) bool { return e.server == s.server && e.from.After(s.from) && e.from.Before(o.Ended) }
		faulty := func(e serverEnd) bool { return e.server == s.server && e.from.Before(o.Ended) && e.to.After(from) }
		if s.version == version && s.from.Before(from) && !slices.ContainsFunc(c.ran.ends, ended) && !slices.ContainsFunc(c.versions.faults, faulty) {
			count++
		}
	}
	return count
}
