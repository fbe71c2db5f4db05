package tablefeed

import (
	"context"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// RetrySignal is shared by the followers of one store's tables. During an outage of
// the store, one of them retries often, and its first answer ends the backoff of the
// others. It is safe for concurrent use. A nil RetrySignal never ends a backoff.
type RetrySignal struct {
	mu       sync.Mutex
	answered chan struct{} // closed and replaced with each answer
}

// NewRetrySignal returns a signal without waiters.
func NewRetrySignal() *RetrySignal { return &RetrySignal{answered: make(chan struct{})} }

// notify ends the waits in progress, each of them not before its minimum delay.
func (s *RetrySignal) notify() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.answered)
	s.answered = make(chan struct{})
}

// Wait waits for the minimum delay, and then until a table was answered since Wait was
// called, the maximum delay is over, or ctx ends.
func (s *RetrySignal) Wait(ctx context.Context, minDelay, maxDelay time.Duration) {
	var answered <-chan struct{}
	if s != nil {
		s.mu.Lock()
		answered = s.answered
		s.mu.Unlock()
	}
	if wait.For(ctx, minDelay) != nil {
		return
	}
	timer := time.NewTimer(maxDelay - minDelay)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}
