// Package wait provides waits and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns ctx.Err() if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls f immediately and then at each interval until ctx ends. Calls do not
// overlap: one that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
