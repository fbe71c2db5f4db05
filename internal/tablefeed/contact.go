package tablefeed

import (
	"context"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Contact is shared by the followers of one store's tables. While the store is
// lost, one of them finds out that it is back, and the others need not ask. It is
// safe for concurrent use.
type Contact struct {
	mu    sync.Mutex
	heard chan struct{} // closed and replaced when a table was answered
}

// NewContact returns a contact that was not heard yet.
func NewContact() *Contact { return &Contact{heard: make(chan struct{})} }

// note ends the waits of those whose calls have failed.
func (c *Contact) note() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.heard)
	c.heard = make(chan struct{})
}

// Wait waits for a least time, and then until another table has been answered since
// the call, at most for the rest of most.
func (c *Contact) Wait(ctx context.Context, least, most time.Duration) {
	var heard <-chan struct{}
	if c != nil {
		c.mu.Lock()
		heard = c.heard
		c.mu.Unlock()
	}
	if wait.For(ctx, least) != nil {
		return
	}
	timer := time.NewTimer(most - least)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	case <-ctx.Done():
	}
}
