package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Signal ends a wait early. Notifications before the wait count; several count as one. It is safe
// for concurrent use.
type Signal struct{ notified chan struct{} }

// NewSignal returns a Signal that was not notified.
func NewSignal() *Signal { return &Signal{notified: make(chan struct{}, 1)} }

// Notify ends a present or the next wait. It does not block.
func (s *Signal) Notify() {
	select {
	case s.notified <- struct{}{}:
	default:
	}
}

// For waits for d and returns false. After a notification it waits for a random time of at most
// jitter instead and returns true. The error is that of ctx if it ends first.
func (s *Signal) For(ctx context.Context, d, jitter time.Duration) (notified bool, err error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, nil
	case <-s.notified:
		return true, For(ctx, rand.N(jitter))
	case <-ctx.Done():
		return false, ctx.Err()
	}
}
