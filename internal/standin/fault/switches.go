package fault

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Settings are the faults of one stand-in server. The zero value is healthy.
type Settings struct {
	// Paused holds every request without writing a byte.
	Paused bool
	// Slow multiplies every delay. Zero means 1.
	Slow float64
	// BreakAfter cuts the connection after that many content events, or bytes of a
	// plain answer. Zero means never.
	BreakAfter int
	// Breaks is the number of answers that BreakAfter cuts. Zero means all.
	Breaks int
	// Crossed answers with the id of another attempt.
	Crossed bool
	// Late answers each non-streamed request a second time, on the same
	// connection, when the next request arrives there.
	Late bool
	// Poison crashes the server when a request's body contains it. Empty means never.
	Poison string
	// Truncated ends each streamed answer properly but without its terminal event.
	Truncated bool
}

// Switches holds the settings in force. The zero value is healthy. It is safe
// for concurrent use.
type Switches struct {
	mu       sync.Mutex
	settings Settings
	broken   int
	changed  chan struct{}
}

// Set replaces the settings.
func (s *Switches) Set(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	s.broken = 0
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns the settings in force.
func (s *Switches) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// TakeBreak reports after how many events or bytes this answer is to be cut;
// zero means not at all. Each call counts against Settings.Breaks.
func (s *Switches) TakeBreak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := s.settings.BreakAfter
	if after == 0 || (s.settings.Breaks > 0 && s.broken >= s.settings.Breaks) {
		return 0
	}
	s.broken++
	return after
}

// Poisoned reports whether the body crashes the server.
func (s *Switches) Poisoned(body []byte) bool {
	marker := s.Get().Poison
	return marker != "" && bytes.Contains(body, []byte(marker))
}

// Delay waits for d, longer when slow, and for as long as the server is paused.
func (s *Switches) Delay(ctx context.Context, d time.Duration) error {
	if slow := s.Get().Slow; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	if err := wait.For(ctx, d); err != nil {
		return err
	}
	return s.waitResumed(ctx)
}

func (s *Switches) waitResumed(ctx context.Context) error {
	for {
		wait := s.pauseChange()
		if wait == nil {
			return ctx.Err()
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pauseChange returns nil when not paused, else a channel closed by the next Set.
func (s *Switches) pauseChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settings.Paused {
		return nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
