package streamorigin

import (
	"context"
	"time"
)

const (
	// latencyFactor is how many times the last calls' time a further call may take.
	latencyFactor = 1.5
	// maxSlowCall bounds the time that a call of a slow store gets.
	maxSlowCall = 2500 * time.Millisecond
)

// latency is how long the last successful calls of the store took. The zero value knows of none. It is
// not safe for concurrent use.
type latency struct {
	known bool
	last  time.Duration
}

// add notes the time that a successful call took. A quick one after slow ones counts by halves.
func (l *latency) add(took time.Duration) {
	l.known, l.last = true, max(took, l.last/2)
}

// timeout returns the time that a call gets, at least a minimum and at most maxSlowCall if that is
// longer. Without any answer so far the store may be slow.
func (l *latency) timeout(least time.Duration) time.Duration {
	if !l.known {
		return max(least, maxSlowCall)
	}
	return max(least, min(time.Duration(latencyFactor*float64(l.last)), maxSlowCall))
}

// readTimeout returns the time that one try of a read gets.
func (r *Registry) readTimeout(try int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readTimes.timeout(findTimeout + time.Duration(try)*findTimeout/2)
}

func (r *Registry) noteRead(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readTimes.add(took)
}

// measureLater has measureLoop find out whether the store is slow or does not answer.
func (r *Registry) measureLater() {
	select {
	case r.measure <- struct{}{}:
	default:
	}
}

// measureLoop reads the store with the longest timeout when it is asked to, until ctx ends.
func (r *Registry) measureLoop(ctx context.Context) {
	for {
		select {
		case <-r.measure:
			r.measureRead(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Registry) measureRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxSlowCall)
	defer cancel()
	start := r.now()
	if _, err := r.options.Tables[0].List(ctx, basePrefix, "", 1); err != nil {
		r.options.Logger.Debug("the store does not answer a slow read either", "error", err)
		return
	}
	r.noteRead(r.now().Sub(start))
}
