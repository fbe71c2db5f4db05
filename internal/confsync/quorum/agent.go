package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing of rounds.
const (
	RoundInterval    = time.Second
	echoDelayPerHop  = 15 * time.Millisecond
	echoUpdateDelay  = 20 * time.Millisecond // delay before a late answer is forwarded
	maxEchoDelay     = 300 * time.Millisecond
	rootTimeout      = 2500 * time.Millisecond // without a round for this long, an instance starts its own
	rootTimeoutStep  = 50 * time.Millisecond   // staggers the starts of the instances
	rootTimeoutSteps = 20
	maxRoots         = 4
	maxRosters       = 16
)

// LocalState is what this instance knows without its peers.
type LocalState struct {
	// InForce is the version in force on this instance.
	InForce uint64
	// Newest is the highest version on this instance, at least InForce.
	Newest uint64
	// Ready is true after this process has proved at least once that it is
	// current. Until then it does not count for a quorum: an earlier process
	// of the same name may have confirmed a change that this one has not
	// received.
	Ready bool
	// LastReadStart is when the last successful read of the table service
	// started.
	LastReadStart time.Time
	// ReadFailed is true if the last read failed.
	ReadFailed bool
}

// Outgoing is a message to send. Exactly one of Round and Echo is set.
type Outgoing struct {
	To    string
	Round *Round
	Echo  *Echo
}

// Proof states that no change above Version had been accepted at time At on
// this instance's clock.
type Proof struct {
	At      time.Time
	Version uint64
}

// Confirmation lists the instances that had a version in force in the last
// round.
type Confirmation struct {
	Version uint64
	Roster  Roster
	Holders Set
}

// Effects are what the caller must do after an event.
type Effects struct {
	Send          []Outgoing
	Proofs        []Proof
	Confirmations []Confirmation
	// FetchRoster is the digest of a member list to fetch from FetchFrom. Zero
	// means none.
	FetchRoster uint64
	FetchFrom   string
}

// Agent takes part in rounds on behalf of one instance. It is not safe for
// concurrent use.
type Agent struct {
	self         string
	roster       Roster
	rosters      map[uint64]Roster
	rosterOrder  []uint64 // digests of rosters, oldest first
	neighbours   []string
	roots        []string // designated roots; the first one is always active
	local        LocalState
	states       map[string]*rootState
	lastRoundAt  time.Time // when a round of another root was last received
	fallbackRoot bool      // starts rounds because no designated root does
	nextRoundAt  time.Time // when this instance starts its next round, if it is a root
	lastNumber   uint64    // of the newest own round
}

// NewAgent returns the agent of the named instance. Its rounds are numbered
// from first on, which must be higher than any number that an earlier process
// of the same name used.
func NewAgent(self string, first uint64, now time.Time) *Agent {
	return &Agent{
		self: self, lastNumber: first, lastRoundAt: now,
		rosters: make(map[uint64]Roster), states: make(map[string]*rootState),
	}
}

// SetMembers sets the instances that count for a quorum, the neighbours to
// forward rounds to, and the designated roots.
func (a *Agent) SetMembers(roster Roster, neighbours, roots []string) {
	a.roster = roster
	a.neighbours = neighbours
	a.roots = roots
	a.AddRoster(roster)
}

// AddRoster stores a member list under its digest. The oldest list is evicted
// above maxRosters.
func (a *Agent) AddRoster(r Roster) {
	if _, ok := a.rosters[r.Digest]; ok {
		return
	}
	if len(a.rosterOrder) == maxRosters {
		delete(a.rosters, a.rosterOrder[0])
		a.rosterOrder = a.rosterOrder[1:]
	}
	a.rosters[r.Digest] = r
	a.rosterOrder = append(a.rosterOrder, r.Digest)
}

// Roster returns the member list with the digest, or false if it is unknown.
func (a *Agent) Roster(digest uint64) (Roster, bool) {
	r, ok := a.rosters[digest]
	return r, ok
}

// SetLocal sets the state of this instance.
func (a *Agent) SetLocal(l LocalState) { a.local = l }

// Tick starts a round if one is due and sends answers whose delay has passed.
// It returns the latest time of the next call.
func (a *Agent) Tick(now time.Time) (Effects, time.Time) {
	var e Effects
	if a.isRoot(now) && !now.Before(a.nextRoundAt) {
		a.nextRoundAt = now.Add(RoundInterval)
		e = a.startRound(now)
	}
	for _, name := range slices.Sorted(maps.Keys(a.states)) {
		a.states[name].flushEcho(now, &e)
	}
	return e, a.nextWake(now)
}

func (a *Agent) nextWake(now time.Time) time.Time {
	at := now.Add(RoundInterval)
	for _, t := range a.states {
		if !t.flushAt.IsZero() && t.flushAt.Before(at) {
			at = t.flushAt
		}
	}
	for _, due := range []time.Time{a.nextRoundAt, a.fallbackAt()} {
		if due.After(now) && due.Before(at) {
			at = due
		}
	}
	return at
}

// fallbackAt returns when this instance becomes a fallback root if it receives
// no round. The times are staggered, so that the rounds of the first fallback
// root prevent the others.
func (a *Agent) fallbackAt() time.Time {
	i, _ := a.roster.Index(a.self)
	return a.lastRoundAt.Add(rootTimeout + time.Duration(i%rootTimeoutSteps)*rootTimeoutStep)
}

// isRoot reports whether this instance starts rounds: the first designated
// root always, the others while some instance cannot read the table service,
// and any instance that has not received a round by fallbackAt.
func (a *Agent) isRoot(now time.Time) bool {
	at := slices.Index(a.roots, a.self)
	if at == 0 || (at > 0 && a.urgent()) {
		return true
	}
	if !now.Before(a.fallbackAt()) {
		a.fallbackRoot = true
	}
	return a.fallbackRoot
}

// noteRoot records a round of another root. A fallback root steps down if that
// is a designated root or has a lower name.
func (a *Agent) noteRoot(now time.Time, root string) {
	superior := slices.Contains(a.roots, root) || root < a.self
	if superior || !a.fallbackRoot {
		a.lastRoundAt = now
	}
	if superior {
		a.fallbackRoot = false
	}
}

// urgent reports whether any instance cannot read the table service.
func (a *Agent) urgent() bool {
	if a.local.ReadFailed {
		return true
	}
	for _, t := range a.states {
		if t.round.Urgent {
			return true
		}
	}
	return false
}

// startRound starts the next round of this instance.
func (a *Agent) startRound(now time.Time) Effects {
	a.lastNumber++
	r := Round{
		Root: a.self, Number: a.lastNumber, Roster: a.roster.Digest,
		Version: a.local.InForce, Urgent: a.local.ReadFailed,
	}
	if t := a.states[a.self]; t != nil && t.round.Number+1 == a.lastNumber {
		r.Result = &Result{Answers: t.answers.clone(), Version: t.round.Version, Roster: t.round.Roster}
		r.Urgent = r.Urgent || t.answers.TableReadFailed
	}
	return a.enterRound(now, "", r)
}

// OnRound handles a round forwarded by another instance.
func (a *Agent) OnRound(now time.Time, from string, r Round) Effects {
	if r.Root == a.self {
		return Effects{}
	}
	if t := a.states[r.Root]; t != nil && r.Number <= t.round.Number {
		return Effects{}
	}
	if !a.admit(r.Root, now) {
		return Effects{}
	}
	a.noteRoot(now, r.Root)
	return a.enterRound(now, from, r)
}

// admit reports whether there is room for a root. At maxRoots, it evicts a
// root without a round for rootTimeout, or else the lowest-ranked root if the
// new one ranks higher.
func (a *Agent) admit(root string, now time.Time) bool {
	if a.states[root] != nil || len(a.states) < maxRoots {
		return true
	}
	for name, t := range a.states {
		if now.Sub(t.enteredAt) > rootTimeout {
			delete(a.states, name)
			return true
		}
	}
	last := slices.MaxFunc(slices.Collect(maps.Keys(a.states)), a.compareRoots)
	if a.compareRoots(root, last) >= 0 {
		return false
	}
	delete(a.states, last)
	return true
}

// compareRoots orders roots by rank: designated roots in their order, then
// fallback roots by name.
func (a *Agent) compareRoots(x, y string) int {
	return cmp.Or(cmp.Compare(a.rank(x), a.rank(y)), cmp.Compare(x, y))
}

// rank returns the index of a designated root; all fallback roots rank after
// them.
func (a *Agent) rank(root string) int {
	if i := slices.Index(a.roots, root); i >= 0 {
		return i
	}
	return len(a.roots)
}

// enterRound enters a round: it evaluates the result in the round, forwards
// the round and schedules the answer.
func (a *Agent) enterRound(now time.Time, from string, r Round) Effects {
	var e Effects
	t := a.states[r.Root]
	if t == nil {
		t = &rootState{}
		a.states[r.Root] = t
	}
	t.beginRound(now, from, r, a.hasOwnAnswer(r.Result))
	if r.Result != nil {
		if roster, ok := a.rosters[r.Result.Roster]; ok {
			t.evaluate(roster, &e)
		}
	}
	roster, known := a.rosters[r.Roster]
	if !known && from != "" {
		e.FetchRoster, e.FetchFrom = r.Roster, from
	}
	passed := r
	passed.Hops++
	for _, name := range a.neighbours {
		if name != from {
			e.Send = append(e.Send, Outgoing{To: name, Round: &passed})
		}
	}
	if index, member := roster.Index(a.self); member {
		t.addOwnAnswer(index, a.local)
		t.scheduleEcho(now, len(roster.Names))
	}
	return e
}

// hasOwnAnswer reports whether a result contains this instance's answer.
func (a *Agent) hasOwnAnswer(r *Result) bool {
	if r == nil {
		return false
	}
	index, member := a.rosters[r.Roster].Index(a.self)
	return member && (r.Holders.Has(index) || r.Others.Has(index))
}

// OnEcho handles answers collected by a neighbour.
func (a *Agent) OnEcho(now time.Time, echo Echo) {
	t := a.states[echo.Root]
	if t == nil || t.round.Number != echo.Number {
		return
	}
	if t.answers.Merge(echo.Answers) {
		t.scheduleEchoUpdate(now)
	}
}
