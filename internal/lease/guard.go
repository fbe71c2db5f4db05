package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Guard represents one tenure of a duty. It is safe for concurrent use.
type Guard struct {
	Duty  string
	Token Token
	m     *Manager
}

// LostError reports that a duty is no longer held, or not for long enough.
type LostError struct {
	Duty  string
	Token Token
}

// Error implements the error interface.
func (e *LostError) Error() string {
	return fmt.Sprintf("duty %q is no longer held under token %d", e.Duty, e.Token)
}

// Check fails if the tenure has ended, or may end before a write that starts now has been
// sent.
func (g Guard) Check() error {
	_, err := g.Remaining()
	return err
}

// Remaining returns how long the tenure lasts without a further renewal. It fails if
// Check does.
func (g Guard) Remaining() (time.Duration, error) {
	g.m.mu.Lock()
	defer g.m.mu.Unlock()
	g.m.syncEpoch()
	now := g.m.reading()
	token, ok := g.m.core.holds(g.Duty, now, g.m.options.Timing.Write)
	if !ok || token != g.Token {
		return 0, &LostError{Duty: g.Duty, Token: g.Token}
	}
	return g.m.core.beat.remaining(now), nil
}

// Fence returns a check that fails in the table service once the duty has changed hands.
// A transaction with it needs no other guard. Once this instance knows that the tenure has ended,
// the check is of a version that no row has.
func (g Guard) Fence() platform.Check {
	g.m.mu.Lock()
	defer g.m.mu.Unlock()
	check := platform.Check{Key: dutyKey(g.Duty), Version: platform.NoVersion}
	if h, ok := g.m.core.held[g.Duty]; ok && h.token == g.Token {
		check.Version = h.version
	}
	return check
}

// Context returns a context under which calls to the platform check the tenure again
// right before they are sent, and are not delivered after it.
func (g Guard) Context(ctx context.Context) context.Context {
	return platform.WithWriteCheck(ctx, g.Remaining)
}
