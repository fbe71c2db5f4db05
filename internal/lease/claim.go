package lease

import (
	"errors"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/statechart"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// claimedDuty is a duty in a claim, with its new fencing token.
type claimedDuty struct {
	Duty  string
	Token Token
}

// claim is a transaction that takes over duties of one former holder.
type claim struct {
	Holder Holder // incarnation of this instance that makes the claim
	Epoch  uint64 // of the store, as far as this instance knows
	Duties []claimedDuty
	Txn    platform.Txn
}

// add adds a duty to the claim.
func (cl *claim) add(duty string, w *watch) {
	token := nextToken(w.row.Token, cl.Epoch)
	cl.Duties = append(cl.Duties, claimedDuty{Duty: duty, Token: token})
	cl.Txn.Checks = append(cl.Txn.Checks, platform.Check{Key: dutyKey(duty), Version: w.version})
	cl.Txn.Writes = append(cl.Txn.Writes, platform.Write{
		Key: dutyKey(duty), Value: encode(dutyRow{Holder: cl.Holder, Token: token, Epoch: cl.Epoch}),
	})
}

// deleteFormerHeartbeat deletes the former holder's heartbeat row under a check of its
// version, so that the former holder can no longer renew.
func (cl *claim) deleteFormerHeartbeat(w *watch) {
	former := w.row.Holder
	if former == (Holder{}) || former == cl.Holder {
		return
	}
	cl.Txn.Checks = append(cl.Txn.Checks, platform.Check{Key: former.heartbeatKey(), Version: w.heartbeatVersion})
	if w.heartbeatVersion != 0 {
		cl.Txn.Writes = append(cl.Txn.Writes, platform.Write{Key: former.heartbeatKey(), Delete: true})
	}
}

// dueClaims returns the claims to make now, and the time until the next check.
func (c *core) dueClaims(now Reading) (due []claim, nextCheck time.Duration) {
	nextCheck = c.timing.Watch
	if c.draining || !c.beat.alive(now, c.timing.Call) {
		return nil, nextCheck
	}
	byFormer := make(map[Holder]int)
	for _, duty := range c.duties {
		w := c.watched[duty]
		if w == nil || c.state(duty) != stateWaiting {
			continue
		}
		delay := c.claimDelay(duty, w.row.Holder)
		at, known := w.claimableAt(c.timing.Lease+c.timing.Margin, delay)
		if !known {
			continue
		}
		at = max(at, c.epoch.openFrom(w.row, c.timing)+delay)
		if wait := at - now.Mono; wait > 0 {
			nextCheck = min(nextCheck, wait)
			continue
		}
		if !slices.Contains(c.fire(duty, eventVacant), actionTakeOver) {
			continue
		}
		i, ok := byFormer[w.row.Holder]
		if !ok {
			i = len(due)
			byFormer[w.row.Holder] = i
			due = append(due, claim{Holder: c.beat.holder, Epoch: c.epoch.number, Txn: c.epoch.claimTxn()})
			due[i].deleteFormerHeartbeat(w)
		}
		due[i].add(duty, w)
	}
	return due, nextCheck
}

// applyClaim applies the outcome of a claim. It reports whether the rows should be read
// again at once because another instance was faster. If the outcome is unknown, a later
// read shows it: if the rows name this instance, the duties are claimed again under
// higher tokens.
func (c *core) applyClaim(now Reading, cl claim, versions []uint64, err error) (readAgain bool) {
	event := c.claimEvent(now, cl, err)
	for i, d := range cl.Duties {
		if cl.Holder != c.beat.holder || c.state(d.Duty) != stateAcquiring {
			continue // the lease expired in the meantime
		}
		actions := c.fire(d.Duty, event)
		delete(c.watched, d.Duty) // the state read before the claim is outdated
		if slices.Contains(actions, actionStartDuty) {
			written := versions[len(versions)-len(cl.Duties):] // the rows of the duties come last
			c.held[d.Duty] = heldDuty{token: d.Token, version: written[i], since: now}
			c.record(timeline.LeaseAcquired, d.Duty, d.Token, c.beat.remaining(now), "")
		}
	}
	return event == eventTaken
}

// claimEvent returns the chart's event for the outcome of a claim.
func (c *core) claimEvent(now Reading, cl claim, err error) statechart.Event {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return eventTaken
	case err != nil:
		return eventUnanswered
	case !c.beat.alive(now, 0):
		return eventExpired
	default:
		return eventAcquired
	}
}
