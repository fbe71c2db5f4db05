package quarantine

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// claimRetry is the time after a failed claim before this instance claims a trial again.
const claimRetry = 500 * time.Millisecond

// Claims lets one trial run at a time over all instances. It must be safe for concurrent
// use.
type Claims interface {
	// Acquire reports whether a trial may run on this instance now. It may block for up
	// to ClaimTimeout.
	Acquire() bool
	// Release reports that the trial has ended. It must not block.
	Release()
}

// noClaims are the claims of a single instance.
type noClaims struct{}

// Acquire implements Claims.
func (noClaims) Acquire() bool { return true }

// Release implements Claims.
func (noClaims) Release() {}

// startTrial claims and registers a trial. It reports whether the run may start. mu is
// held, except while it waits for the claim.
func (t *Tracker) startTrial(r *Run, now time.Time) bool {
	t.trying = true
	t.mu.Unlock()
	acquired := t.options.Claims.Acquire()
	t.mu.Lock()
	t.trying = false
	if !acquired {
		t.tryAfter = now.Add(claimRetry)
		return false
	}
	if !t.mayRun(r.request, r.server, now) { // what is refused may have changed meanwhile
		t.options.Claims.Release()
		return false
	}
	t.trying, r.trial = true, true
	t.addRun(r)
	current := t.assess(now)
	t.options.Recorder.Record(timeline.Event{
		Kind: timeline.QuarantinePart, Subject: formatIDs(current.suspectParts(r.request)), State: partsOnTrial,
		Record: formatID(r.request.Fingerprint), Server: r.server,
	})
	return true
}

// endTrial ends the trial if the run is one. mu is held.
func (t *Tracker) endTrial(r *Run) {
	if r.trial {
		t.trying = false
		t.options.Claims.Release()
	}
}
