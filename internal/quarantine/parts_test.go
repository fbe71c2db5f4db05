package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetDay is load before instances that share their notices, and what crashes servers.
type fleetDay struct {
	name        string
	instances   int
	servers     int
	rate        float64       // requests per second of all kinds
	prefixes    int           // first parts, each shared by many requests
	sessions    int           // second parts of sound requests
	deadly      []uint64      // parts that crash servers
	share       float64       // of the requests that hold one of them
	samePrefix  bool          // all of these have the same first part
	flapping    float64       // other crashes per second
	noticeDelay time.Duration // until all instances know of a notice
	lateAfter   time.Duration // the last instance starts then; 0 is at once
	skew        time.Duration // of the clocks of a third of the instances

	// shared is a sound part that deadly requests hold as well, or 0. A part of them,
	// unshared, lacks it. It is held by a fifth of the sound requests from sharedFrom on.
	shared     uint64
	unshared   float64
	sharedFrom time.Duration
	sharedLast bool // shared comes after the deadly part
}

// Times and bounds of a day. The bounds are those that the router's users state.
const (
	dayStep       = 10 * time.Millisecond
	dayLength     = 25 * time.Second
	serverDown    = 3300 * time.Millisecond
	runTime       = time.Second            // of a sound request
	deadlyRunTime = 500 * time.Millisecond // until the server crashes
	maxRuns       = 2
	contactTime   = 3 * time.Second // from the fifth crash, a part must be known
	maxLateRuns   = 3               // requests with the part that may reach servers after it
	minSoundShare = 0.95            // of the sound requests that must run at their first attempt
)

const (
	firstPrefix  = 100
	firstSession = 1000
)

// fleetRequest is a request of a day.
type fleetRequest struct {
	Request
	deadly   bool
	part     uint64 // that crashes servers, of a deadly request
	instance int
	runs     int
}

// fleetRun is a request that runs on a server.
type fleetRun struct {
	*fleetRequest
	run    *Run
	server int
	ends   time.Time
}

// pendingNotice is a notice on its way to the other instances.
type pendingNotice struct {
	notice Notice
	from   int
	due    time.Time
}

// fleetSimulation plays a day.
type fleetSimulation struct {
	day      fleetDay
	random   *rand.Rand
	now      time.Time
	trackers []*Tracker
	upAt     []time.Time // when each server accepts requests
	running  []fleetRun
	notices  []pendingNotice
	next     uint64 // fingerprint

	crashes                  map[uint64][]time.Time // by deadly part
	lateRuns                 map[uint64]int         // by deadly part
	sound, soundRefused      int                    // sent later than twice contactTime after the fifth crash of each part
	deadlyRefused, deadlyRun int
	shared, sharedRefused    int       // the same for sound requests with the shared part
	claimedUntil             time.Time // no other trial may run before
}

// fleetClaims are claims of trials in a table service without delay.
type fleetClaims struct{ s *fleetSimulation }

func (c fleetClaims) Acquire() bool {
	if c.s.now.Before(c.s.claimedUntil) {
		return false
	}
	c.s.claimedUntil = c.s.now.Add(maxTrialTime)
	return true
}

func (c fleetClaims) Release() { c.s.claimedUntil = c.s.now.Add(claimReleaseDelay) }

func newFleetSimulation(d fleetDay, seed uint64) *fleetSimulation {
	s := &fleetSimulation{day: d, random: rand.New(rand.NewPCG(seed, 0)), now: start, upAt: make([]time.Time, d.servers), crashes: map[uint64][]time.Time{}, lateRuns: map[uint64]int{}}
	for i := range d.instances {
		s.trackers = append(s.trackers, New(Options{
			Instance: fmt.Sprint(i), Claims: fleetClaims{s},
			Notify: func(n Notice) { s.notices = append(s.notices, pendingNotice{n, i, s.now.Add(d.noticeDelay)}) },
		}))
	}
	return s
}

// clock returns the time of day as an instance sees it.
func (s *fleetSimulation) clock(instance int) time.Time {
	if instance%3 == 0 {
		return s.now.Add(s.day.skew)
	}
	return s.now
}

// isUp reports whether the instance has started.
func (s *fleetSimulation) isUp(instance int) bool {
	return instance < s.day.instances-1 || s.now.Sub(start) >= s.day.lateAfter
}

func (s *fleetSimulation) play() {
	for s.now.Sub(start) < dayLength {
		s.now = s.now.Add(dayStep)
		s.deliver()
		s.endRuns()
		for due := s.day.rate * dayStep.Seconds(); s.random.Float64() < due; due-- {
			s.send(s.newRequest())
		}
		if s.random.Float64() < s.day.flapping*dayStep.Seconds() {
			s.crash(s.random.IntN(s.day.servers))
		}
		if late := s.day.instances - 1; s.day.lateAfter > 0 && s.now.Sub(start) == s.day.lateAfter {
			for _, n := range s.trackers[0].Notices(s.clock(late)) {
				s.trackers[late].Apply(n, s.clock(late))
			}
		}
	}
}

func (s *fleetSimulation) deliver() {
	for len(s.notices) > 0 && !s.notices[0].due.After(s.now) {
		p := s.notices[0]
		s.notices = s.notices[1:]
		for i, t := range s.trackers {
			if i != p.from && s.isUp(i) {
				t.Apply(p.notice, s.clock(i))
			}
		}
	}
}

func (s *fleetSimulation) newRequest() *fleetRequest {
	s.next++
	r := &fleetRequest{instance: s.random.IntN(s.day.instances)}
	for !s.isUp(r.instance) {
		r.instance = s.random.IntN(s.day.instances)
	}
	r.Fingerprint = s.next
	r.Parts = []uint64{firstPrefix + s.random.Uint64N(uint64(s.day.prefixes)), firstSession + s.random.Uint64N(uint64(s.day.sessions))}
	if len(s.day.deadly) > 0 && s.random.Float64() < s.day.share {
		r.deadly = true
		r.part = s.day.deadly[s.random.IntN(len(s.day.deadly))]
		if s.day.samePrefix {
			r.Parts[0] = firstPrefix
		}
	}
	r.Parts = s.day.prompt(r, s.random, s.now.Sub(start))
	return r
}

// prompt returns the parts of a request, given those that a sound one has without the
// shared part.
func (d *fleetDay) prompt(r *fleetRequest, random *rand.Rand, at time.Duration) []uint64 {
	prefix, session := r.Parts[0], r.Parts[1]
	switch {
	case r.deadly && d.shared == 0:
		return []uint64{prefix, r.part}
	case r.deadly && random.Float64() < d.unshared:
		return []uint64{prefix, r.part, session}
	case r.deadly && d.sharedLast:
		return []uint64{prefix, r.part, d.shared}
	case r.deadly:
		return []uint64{prefix, d.shared, r.part}
	case d.shared != 0 && at >= d.sharedFrom && random.Float64() < 0.2:
		return []uint64{prefix, d.shared}
	}
	return r.Parts
}

// bounded reports whether the time is later than d after the fifth crash of a part.
func (s *fleetSimulation) bounded(part uint64, d time.Duration) bool {
	crashes := s.crashes[part]
	return len(crashes) >= 5 && s.now.Sub(crashes[4]) > d
}

// settled reports whether the time is later than twice contactTime after the fifth
// crash, or the last one if there were fewer, of each part.
func (s *fleetSimulation) settled() bool {
	return !slices.ContainsFunc(s.day.deadly, func(part uint64) bool {
		crashes := s.crashes[part]
		return len(crashes) == 0 || s.now.Sub(crashes[min(len(crashes), 5)-1]) <= 2*contactTime
	})
}

// send starts a request on a server that is up, unless its instance refuses it.
func (s *fleetSimulation) send(r *fleetRequest) {
	server := s.random.IntN(s.day.servers)
	for s.upAt[server].After(s.now) {
		server = s.random.IntN(s.day.servers)
	}
	run, ok := s.trackers[r.instance].Start(r.Request, fmt.Sprint(server), 0, s.clock(r.instance))
	s.count(r, ok)
	if !ok {
		return
	}
	r.runs++
	length := runTime/2 + time.Duration(s.random.Int64N(int64(runTime)))
	if r.deadly {
		length = deadlyRunTime
	}
	s.running = append(s.running, fleetRun{r, run, server, s.now.Add(length)})
}

// count counts a request that is sent or refused.
func (s *fleetSimulation) count(r *fleetRequest, sent bool) {
	switch {
	case r.deadly && sent:
		s.deadlyRun++
		if s.bounded(r.part, contactTime) {
			s.lateRuns[r.part]++
		}
	case r.deadly:
		s.deadlyRefused++
	case r.runs == 0 && s.settled() && (!s.day.samePrefix || r.Parts[0] == firstPrefix):
		s.sound++
		if !sent {
			s.soundRefused++
		}
		if s.day.shared == 0 || r.Parts[1] != s.day.shared {
			return
		}
		s.shared++
		if !sent {
			s.sharedRefused++
		}
	}
}

func (s *fleetSimulation) endRuns() {
	var ended []fleetRun
	s.running = slices.DeleteFunc(s.running, func(r fleetRun) bool {
		if r.ends.After(s.now) {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		if !r.deadly {
			r.run.Ended(true, s.clock(r.instance))
			continue
		}
		s.crashes[r.part] = append(s.crashes[r.part], s.now)
		s.running = append(s.running, r)
		s.crash(r.server)
	}
}

// crash ends all runs on a server. Each is repeated once on another one.
func (s *fleetSimulation) crash(server int) {
	s.upAt[server] = s.now.Add(serverDown)
	var lost []fleetRun
	s.running = slices.DeleteFunc(s.running, func(r fleetRun) bool {
		if r.server != server {
			return false
		}
		lost = append(lost, r)
		return true
	})
	for _, r := range lost {
		r.run.Crashed(s.clock(r.instance))
	}
	for _, r := range lost {
		if r.runs < maxRuns && s.isUp(r.instance) {
			s.send(r.fleetRequest)
		}
	}
}

// refusedParts returns the parts that any instance refuses, sorted.
func (s *fleetSimulation) refusedParts() []uint64 {
	var refused []uint64
	for i, t := range s.trackers {
		for _, r := range t.assess(s.clock(i)).parts.refusals {
			refused = appendMissing(refused, r.parts)
		}
	}
	slices.Sort(refused)
	return refused
}

var fleetDays = []fleetDay{
	{name: "few instances", instances: 7, servers: 18, rate: 48, prefixes: 10, sessions: 60, deadly: []uint64{7}, share: 0.02, noticeDelay: 250 * time.Millisecond},
	{name: "many instances", instances: 91, servers: 90, rate: 275, prefixes: 24, sessions: 400, deadly: []uint64{7}, share: 0.02, noticeDelay: 650 * time.Millisecond},
	{name: "three parts", instances: 7, servers: 30, rate: 60, prefixes: 10, sessions: 60, deadly: []uint64{7, 8, 9}, share: 0.05, noticeDelay: 250 * time.Millisecond},
	{name: "few sound requests with the same first part", instances: 8, servers: 18, rate: 48, prefixes: 100, sessions: 60, deadly: []uint64{7}, share: 0.02, samePrefix: true, noticeDelay: 250 * time.Millisecond},
	{name: "late instance", instances: 4, servers: 18, rate: 48, prefixes: 10, sessions: 60, deadly: []uint64{7}, share: 0.02, noticeDelay: 250 * time.Millisecond, lateAfter: 15 * time.Second},
	{name: "clocks that differ", instances: 7, servers: 18, rate: 48, prefixes: 10, sessions: 60, deadly: []uint64{7}, share: 0.02, noticeDelay: 250 * time.Millisecond, skew: 2 * time.Second},
	{name: "clocks that differ, behind", instances: 7, servers: 18, rate: 48, prefixes: 10, sessions: 60, deadly: []uint64{7}, share: 0.02, noticeDelay: 250 * time.Millisecond, skew: -2 * time.Second},
	{name: "other crashes besides", instances: 7, servers: 18, rate: 48, prefixes: 10, sessions: 60, deadly: []uint64{7}, share: 0.02, flapping: 1, noticeDelay: 250 * time.Millisecond},
}

// TestDeadlyPartAmongSoundRequests guards against requests that crash one server after
// the other because one part of their prompts does, and against a quarantine of sound
// requests that share their other parts.
func TestDeadlyPartAmongSoundRequests(t *testing.T) {
	for _, day := range fleetDays {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", day.name, seed), func(t *testing.T) {
				is := is.New(t)
				s := newFleetSimulation(day, seed)
				s.play()
				for _, part := range day.deadly {
					t.Logf("part %d: %d crashes, %d late runs", part, len(s.crashes[part]), s.lateRuns[part])
					is.True(s.lateRuns[part] <= maxLateRuns)
				}
				t.Logf("deadly: %d sent, %d refused; sound: %d, %d refused", s.deadlyRun, s.deadlyRefused, s.sound, s.soundRefused)
				is.True(s.deadlyRefused > 0)
				is.True(s.sound > 0)
				is.True(float64(s.soundRefused) <= (1-minSoundShare)*float64(s.sound))
				is.Equal(s.refusedParts(), day.deadly)
			})
		}
	}
}

// sharedDays are days on which the deadly part and a sound one cannot be told apart by the
// first crashes.
var sharedDays = []fleetDay{
	{name: "deadly part first", sharedLast: true, instances: 7},
	{name: "deadly part last", instances: 7},
	{name: "two instances", sharedLast: true, instances: 2},
	{name: "many instances", sharedLast: true, instances: 91},
	{name: "sound part seen late", sharedLast: true, instances: 7, sharedFrom: 14 * time.Second},
	{name: "also without the sound part", sharedLast: true, instances: 7, unshared: 0.3},
	{name: "also without the sound part, many instances", sharedLast: true, instances: 91, unshared: 0.3},
	{name: "two deadly parts", sharedLast: true, instances: 7, deadly: []uint64{7, 8}},
	{name: "two deadly parts, also without the sound one", instances: 7, deadly: []uint64{7, 8}, unshared: 0.3},
	{name: "two deadly parts, many instances", sharedLast: true, instances: 91, deadly: []uint64{7, 8}, unshared: 0.3},
}

const (
	// minSharedShare is the share of the sound requests with the shared part that must run.
	minSharedShare = 0.5
	// minSharedRequests is their number from which it is checked.
	minSharedRequests = 20
)

// checkShared checks the bounds on crashes, and on refusals of sound requests with and
// without the shared part.
func (s *fleetSimulation) checkShared(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, part := range s.day.deadly {
		t.Logf("part %d: %d crashes, %d late runs", part, len(s.crashes[part]), s.lateRuns[part])
		is.True(s.lateRuns[part] <= maxLateRuns)
	}
	t.Logf("sound: %d, %d refused; with the shared part: %d, %d refused", s.sound, s.soundRefused, s.shared, s.sharedRefused)
	if s.shared >= minSharedRequests {
		is.True(float64(s.sharedRefused) <= (1-minSharedShare)*float64(s.shared))
	}
	is.True(float64(s.soundRefused-s.sharedRefused) <= (1-minSoundShare)*float64(s.sound-s.shared))
}

// TestSoundPartBesideDeadlyOne guards against the refusal of a sound part because all
// requests that crashed servers held it, and against more crashes to find that out than
// the router's users allow.
func TestSoundPartBesideDeadlyOne(t *testing.T) {
	for _, day := range sharedDays {
		day.servers, day.rate, day.prefixes, day.sessions, day.share, day.noticeDelay, day.shared = 30, 48, 10, 60, 0.04, 250*time.Millisecond, 5
		if day.instances > 50 {
			day.servers, day.rate, day.sessions, day.noticeDelay = 90, 200, 400, 650*time.Millisecond
		}
		if day.deadly == nil {
			day.deadly = []uint64{7}
		}
		if day.sharedFrom == 0 {
			day.sharedFrom = 6 * time.Second
		}
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", day.name, seed), func(t *testing.T) {
				is := is.New(t)
				s := newFleetSimulation(day, seed)
				s.play()
				is.True(s.shared >= minSharedRequests)
				s.checkShared(t)
			})
		}
	}
}

// TestDeeperPartIsRefused guards against the refusal of all requests with a first part
// because those with one second part crash servers: of parts that were always in flight
// together, the deeper one is refused.
func TestDeeperPartIsRefused(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	now := start
	for n := range maxPartCrashes {
		now = now.Add(time.Second)
		r := Request{Fingerprint: uint64(n + 1), Parts: []uint64{100, 7}}
		run, ok := tr.Start(r, fmt.Sprint(n), 0, now)
		is.True(ok)
		run.Crashed(now)
		is.True(!tr.Refused(Request{Parts: []uint64{7}}, now))
	}
	now = now.Add(partSettleTime)
	is.True(tr.Refused(Request{Parts: []uint64{100, 7}}, now))
	is.True(!tr.Refused(Request{Parts: []uint64{100, 8}}, now))
	is.True(!tr.Refused(Request{Parts: []uint64{100}}, now))
}

// TestEstablishedPartStaysInUse guards against a sound part that is refused at all
// instances, so that no answer can clear it any more: an instance that has completed
// answers on it goes on.
func TestEstablishedPartStaysInUse(t *testing.T) {
	is := is.New(t)
	tr := New(Options{Instance: "a"})
	run, _ := tr.Start(Request{Fingerprint: 1, Parts: []uint64{100}}, "s", 0, start)
	run.Ended(true, start)
	now := start.Add(time.Minute)
	crash := func() {
		now = now.Add(time.Second)
		tr.Apply(Notice{Reporter: "b", Server: fmt.Sprint(now), UnixMillis: now.UnixMilli(), Parts: []Part{{ID: 100}}}, now)
	}
	for range establishedPartCrashes - 1 {
		crash()
	}
	is.True(!tr.Refused(Request{Parts: []uint64{100}}, now.Add(partSettleTime)))
	crash()
	is.True(tr.Refused(Request{Parts: []uint64{100}}, now.Add(partSettleTime)))
}

// TestCrashesWithoutDeadlyPart guards against sound parts that are refused because
// servers crash for other reasons.
func TestCrashesWithoutDeadlyPart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newFleetSimulation(fleetDay{
			instances: 7, servers: 18, rate: 48, prefixes: 10, sessions: 200, flapping: 3, noticeDelay: 250 * time.Millisecond,
		}, seed)
		s.play()
		is.True(float64(s.soundRefused) <= (1-minSoundShare)*float64(s.sound))
		is.Equal(s.refusedParts(), nil)
	}
}

// randomSharedDay returns a day with random load and up to two deadly parts beside a sound
// one.
func randomSharedDay(seed uint64) fleetDay {
	random := rand.New(rand.NewPCG(seed, 1))
	d := fleetDay{
		instances: 2 + random.IntN(12), servers: 20 + random.IntN(30), rate: 30 + 60*random.Float64(),
		prefixes: 2 + random.IntN(20), sessions: 20 + random.IntN(100), deadly: []uint64{7}, share: 0.02 + 0.04*random.Float64(),
		noticeDelay: time.Duration(50+random.IntN(400)) * time.Millisecond, skew: time.Duration(random.IntN(500)-250) * time.Millisecond,
		shared: 5, unshared: 0.5 * random.Float64(), sharedLast: random.IntN(2) == 0,
		sharedFrom: time.Duration(random.IntN(16)) * time.Second,
	}
	if random.IntN(2) == 0 {
		d.deadly = append(d.deadly, 8)
	}
	return d
}

// TestRandomSharedDays checks the bounds of TestSoundPartBesideDeadlyOne on random days.
func TestRandomSharedDays(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			day := randomSharedDay(seed)
			t.Logf("%+v", day)
			s := newFleetSimulation(day, seed)
			s.play()
			s.checkShared(t)
		})
	}
}
