package streamorigin

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// readShare is the share of the store's calls that read that all instances together use for
	// resumptions.
	readShare = 0.5
	// findBurst is the time of rest after which the resumptions of as long a time may read at once.
	findBurst = time.Second
	// maxFindWait bounds the time that a resumption waits for its turn to read.
	maxFindWait = 2 * time.Second
)

// ReadRate returns the resumptions a second that all instances together may look up, where the store
// takes reads calls a second that read, and each resumption reads parts parts and a base row.
func ReadRate(reads float64, parts int) float64 { return readShare * reads / float64(parts+1) }

// readPace spaces the resumptions that read the store, since clients come back all at once after a
// crash of many instances. The zero value has had none. It is not safe for concurrent use.
type readPace struct{ next boottime.Instant }

// turn returns how long the next resumption has to wait, if one may read each interval. The result is
// false if that is longer than maxFindWait.
func (p *readPace) turn(now boottime.Instant, interval time.Duration) (time.Duration, bool) {
	at := max(p.next, now.Add(-findBurst))
	delay := max(at.Sub(now), 0)
	if delay > maxFindWait {
		return delay, false
	}
	p.next = at.Add(interval)
	return delay, true
}

// giveBack returns a turn that was not used.
func (p *readPace) giveBack(interval time.Duration) { p.next = p.next.Add(-interval) }

// awaitTurn waits until a resumption may read the store. The error is an *OriginUnknownError, or the
// cause for which ctx ended.
func (r *Registry) awaitTurn(ctx context.Context) error {
	if r.options.ReadRate <= 0 {
		return nil
	}
	interval := writeInterval(r.options.Instances(), r.options.ReadRate)
	r.mu.Lock()
	delay, ok := r.reads.turn(r.now(), interval)
	r.mu.Unlock()
	if !ok {
		r.countLookup("limited")
		return &gateway.OriginUnknownError{Reason: "too many streams are resumed at once", RetryAfter: delay}
	}
	if wait.For(ctx, delay) != nil {
		r.mu.Lock()
		r.reads.giveBack(interval)
		r.mu.Unlock()
		r.countLookup("failed")
		return context.Cause(ctx)
	}
	return nil
}
