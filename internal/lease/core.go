package lease

import (
	"errors"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// overloadRankPenalty is the number of ranks by which an instance that has reached
// maxDuties is moved back.
const overloadRankPenalty = 1

// heldDuty is a duty that this instance holds.
type heldDuty struct {
	token   Token
	version uint64 // version of the duty's row
	since   Reading
}

// core implements the lease protocol of one instance without I/O: it receives clock
// readings and the outcomes of calls, and returns transactions. It is not safe for
// concurrent use.
type core struct {
	timing     Timing
	instance   string
	duties     []string // sorted
	beat       heartbeat
	machines   map[string]*statechart.Machine[noFacts]
	held       map[string]heldDuty // the duties in state held or doubtful
	watched    map[string]*watch
	members    []string // sorted
	candidates map[string][]string
	extraWatch string // watched although this instance is not among its candidates
	draining   bool
	epoch      storeEpoch
	events     []timeline.Event
	faults     []error // errors of events that the chart rejects
}

func newCore(timing Timing, self Holder, duties []string) *core {
	sorted := slices.Clone(duties)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	c := &core{
		timing:   timing.withDefaults(),
		instance: self.Instance,
		duties:   sorted,
		held:     make(map[string]heldDuty),
		watched:  make(map[string]*watch),
	}
	c.beat = newHeartbeat(c.timing, self)
	c.machines = c.newMachines()
	c.setMembers(nil)
	return c
}

// setMembers sets the live instances. This instance is always included.
func (c *core) setMembers(members []string) {
	sorted := append(slices.Clone(members), c.instance)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, c.members) {
		return
	}
	c.members = sorted
	c.candidates = assign(c.duties, sorted)
}

// startIncarnation continues under a new incarnation. All held duties are lost.
func (c *core) startIncarnation(self Holder) {
	c.endIncarnation("heartbeat row was deleted or its creation has an unknown outcome", self)
}

// endIncarnation is startIncarnation with the reason for which duties are lost.
func (c *core) endIncarnation(reason string, self Holder) {
	c.expireAll(reason)
	c.beat = newHeartbeat(c.timing, self)
	clear(c.watched)
}

// expire ends all tenures if the lease has expired.
func (c *core) expire(now Reading) {
	if !c.beat.alive(now, 0) {
		c.expireAll("lease expired")
	}
}

// expireAll ends all tenures and pending claims.
func (c *core) expireAll(reason string) {
	for _, duty := range c.duties {
		c.fire(duty, eventExpired)
		h, ok := c.held[duty]
		if !ok {
			continue
		}
		c.record(timeline.LeaseLost, duty, h.token, 0, reason)
		delete(c.held, duty)
	}
}

// heldDuties returns the sorted names of the held duties.
func (c *core) heldDuties() []string {
	var names []string
	for _, duty := range c.duties {
		if _, ok := c.held[duty]; ok {
			names = append(names, duty)
		}
	}
	return names
}

// hasYoungTenure reports whether any duty has been held for less than minTenure.
func (c *core) hasYoungTenure(now Reading, minTenure time.Duration) bool {
	for _, h := range c.held {
		if now.elapsed(h.since) < minTenure {
			return true
		}
	}
	return false
}

// holds returns the fencing token of a duty if it is held for longer than margin from
// now.
func (c *core) holds(duty string, now Reading, margin time.Duration) (Token, bool) {
	h, ok := c.held[duty]
	if !ok || !c.beat.alive(now, margin) {
		return 0, false
	}
	return h.token, true
}

// applyRenewal applies the outcome of a renewal. Duties that expired before the outcome
// was known remain lost, since another instance may have claimed them.
func (c *core) applyRenewal(now Reading, r renewal, versions []uint64, err error) nextStep {
	c.expire(now)
	if r.Holder != c.beat.holder {
		return nextWait // of a former incarnation
	}
	before := c.beat.validFrom
	step := c.beat.renewed(r, versions, err)
	c.recordRenewal(now, before)
	return step
}

// applyReadBack applies this instance's heartbeat row, read after a renewal of unknown
// outcome.
func (c *core) applyReadBack(now Reading, row platform.Row) nextStep {
	c.expire(now)
	if row.Key != c.beat.holder.heartbeatKey() {
		return nextWait // of a former incarnation
	}
	before := c.beat.validFrom
	step := c.beat.readBack(row)
	c.recordRenewal(now, before)
	return step
}

// recordRenewal informs the machines of the held duties whether the lease was extended.
func (c *core) recordRenewal(now, before Reading) {
	event := eventRenewed
	if c.beat.validFrom == before {
		event = eventUnanswered
	}
	for _, duty := range c.heldDuties() {
		c.fire(duty, event)
		if event == eventRenewed {
			c.record(timeline.LeaseRenewed, duty, c.held[duty].token, c.beat.remaining(now), "")
		}
	}
}

// candidateRank returns this instance's rank among the candidates of a duty; false when
// it does not watch the duty.
func (c *core) candidateRank(duty string) (int, bool) {
	if i := slices.Index(c.candidates[duty], c.instance); i >= 0 {
		return i, true
	}
	return candidatesPerDuty, duty == c.extraWatch
}

// idle reports whether no duty is held and none may be claimed.
func (c *core) idle() bool {
	if len(c.held) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.duties, func(duty string) bool {
		_, candidate := c.candidateRank(duty)
		return candidate
	})
}

// watchKeys returns the keys to read: the row of each watched duty, and the heartbeat row
// of its holder as of the last read.
func (c *core) watchKeys() []string {
	var keys []string
	if c.draining {
		return nil
	}
	for _, duty := range c.duties {
		if !c.watches(duty) {
			delete(c.watched, duty)
			continue
		}
		keys = append(keys, dutyKey(duty))
		if w := c.watched[duty]; w != nil && w.row.Holder != (Holder{}) {
			keys = append(keys, w.row.Holder.heartbeatKey())
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// watches reports whether the rows of a duty are to be read.
func (c *core) watches(duty string) bool {
	if _, holding := c.held[duty]; holding {
		return false
	}
	if _, candidate := c.candidateRank(duty); candidate {
		c.fire(duty, eventWanted)
		return true
	}
	if c.state(duty) == stateAcquiring {
		c.fire(duty, eventTaken)
	}
	c.fire(duty, eventUnwanted)
	return false
}

// observe applies the rows of watchKeys, read by the time now.
func (c *core) observe(now Reading, rows []platform.Row) error {
	byKey := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var faults []error
	for _, duty := range c.duties {
		row, ok := byKey[dutyKey(duty)]
		if _, holding := c.held[duty]; !ok || holding {
			continue
		}
		if err := c.observeDuty(now, duty, row, byKey); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

func (c *core) observeDuty(now Reading, duty string, row platform.Row, byKey map[string]platform.Row) error {
	if c.state(duty) == stateAcquiring {
		c.fire(duty, eventTaken) // the rows show the outcome of the claim
	}
	w := c.watched[duty]
	if w == nil {
		w = &watch{}
		c.watched[duty] = w
	}
	if err := w.observeDuty(now.Mono, row); err != nil {
		return err
	}
	if w.row.Holder == c.beat.holder {
		// A claim or renewal of unknown outcome has taken effect.
		w.setFree(now.Mono)
		return nil
	}
	if heartbeat, ok := byKey[w.row.Holder.heartbeatKey()]; ok {
		w.observeHeartbeat(now.Mono, heartbeat.Version, 2*c.timing.Watch+c.timing.Call)
	}
	return nil
}

// claimDelay returns how long this instance waits before it claims a free duty: its rank
// among the candidates without the former holder, with a penalty under load, times
// RankDelay.
func (c *core) claimDelay(duty string, former Holder) time.Duration {
	position, _ := c.candidateRank(duty)
	if i := slices.Index(c.candidates[duty], former.Instance); i >= 0 && i < position {
		position--
	}
	if len(c.held) >= maxDuties(len(c.duties), len(c.members)) {
		position += overloadRankPenalty
	}
	return time.Duration(position) * c.timing.RankDelay
}

// excessDuty returns a duty to hand off: one whose first candidate is another instance,
// while this one holds more than maxDuties.
func (c *core) excessDuty() (string, bool) {
	if len(c.held) <= maxDuties(len(c.duties), len(c.members)) {
		return "", false
	}
	for _, duty := range c.heldDuties() {
		if first := c.candidates[duty]; len(first) > 0 && first[0] != c.instance {
			return duty, true
		}
	}
	return "", false
}

// release ends the tenures of duties and returns the transactions that free them
// immediately. The work under them must have ended.
func (c *core) release(duties []string, event statechart.Event) []platform.Txn {
	var txns []platform.Txn
	for _, duty := range duties {
		h, ok := c.held[duty]
		if !ok || !slices.Contains(c.fire(duty, event), actionClearRow) {
			continue
		}
		delete(c.held, duty)
		c.record(timeline.LeaseReleased, duty, h.token, 0, "")
		txns = append(txns, platform.Txn{
			Checks: append(c.epoch.fence(), platform.Check{Key: dutyKey(duty), Version: h.version}),
			Writes: []platform.Write{{Key: dutyKey(duty), Value: encode(dutyRow{Token: h.token, Epoch: c.epoch.number})}},
		})
	}
	return txns
}

// stopHeartbeat returns the transaction that deletes the heartbeat row.
func (c *core) stopHeartbeat() platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: c.beat.holder.heartbeatKey(), Delete: true}}}
}

// record buffers an event. Duration carries the remaining lease until the Manager
// converts it to a wall-clock time.
func (c *core) record(kind timeline.Kind, duty string, token Token, left time.Duration, detail string) {
	c.events = append(c.events, timeline.Event{
		Kind: kind, Duty: duty, Token: uint64(token), Duration: left, Detail: detail,
	})
}

// takeFaults returns and clears the buffered errors.
func (c *core) takeFaults() []error {
	faults := c.faults
	c.faults = nil
	return faults
}

// takeEvents returns and clears the buffered events.
func (c *core) takeEvents() []timeline.Event {
	events := c.events
	c.events = nil
	return events
}
