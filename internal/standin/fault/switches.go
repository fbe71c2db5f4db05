package fault

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Settings selects the faults of one stand-in server. The zero value injects none.
type Settings struct {
	// Paused holds every request without writing a byte of the response.
	Paused bool
	// SlowFactor is the factor by which every delay is multiplied. Zero means 1.
	SlowFactor float64
	// BreakAfter closes the connection after that many content events of a stream,
	// or bytes of a plain response. Zero means never.
	BreakAfter int
	// MaxBreaks limits the number of responses that BreakAfter truncates. Zero means
	// no limit.
	MaxBreaks int
	// Crossed makes responses carry the id of another attempt, as if responses were
	// mixed up between connections.
	Crossed bool
	// Late repeats the response to each non-streamed request when the next request
	// arrives on the same connection.
	Late bool
	// Leaving makes responses state that the server stops soon.
	Leaving bool
	// Pause refuses requests and asks for a pause of that length. Zero means that it does
	// not.
	Pause time.Duration
	// RateLimit makes responses name a limit of so many requests per second. Zero means
	// that they name none.
	RateLimit float64
	// Poison is a marker: a request whose body contains it crashes the server.
	// Empty means no request does.
	Poison string
	// Truncated ends each streamed response with a valid end of body, but without
	// its terminal event.
	Truncated bool
}

// Switches holds the current fault settings. The zero value injects no faults. It
// is safe for concurrent use.
type Switches struct {
	mu       sync.Mutex
	settings Settings
	broken   int
	changed  chan struct{}
}

// Set replaces the settings and restarts the count of truncated responses.
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

// Get returns the current settings.
func (s *Switches) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// ConsumeBreak returns the number of events or bytes after which this response is
// to be truncated; zero means not at all. Each non-zero result counts towards
// the limit of truncated responses.
func (s *Switches) ConsumeBreak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := s.settings.BreakAfter
	if after == 0 || (s.settings.MaxBreaks > 0 && s.broken >= s.settings.MaxBreaks) {
		return 0
	}
	s.broken++
	return after
}

// Poisoned reports whether the body contains the marker Settings.Poison.
func (s *Switches) Poisoned(body []byte) bool {
	marker := s.Get().Poison
	return marker != "" && bytes.Contains(body, []byte(marker))
}

// State sets the header fields in which the server states that it leaves, names a rate
// limit or wants a pause.
// It reports whether the request is to be refused with status 503.
func (s *Switches) State(h http.Header) (refuse bool) {
	settings := s.Get()
	if settings.Leaving {
		h.Set(engineapi.LeavingHeader, "1")
	}
	if settings.RateLimit > 0 {
		h.Set(engineapi.RateLimitHeader, strconv.FormatFloat(settings.RateLimit, 'f', -1, 64))
	}
	if settings.Pause <= 0 {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(settings.Pause.Seconds(), 'f', -1, 64))
	return true
}

// Delay waits for d, multiplied by the slow-down factor, and then while the server
// is paused. It returns ctx.Err() if ctx ends first.
func (s *Switches) Delay(ctx context.Context, d time.Duration) error {
	if slow := s.Get().SlowFactor; slow > 0 {
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

// pauseChange returns nil if the server is not paused, or else a channel that the
// next Set closes.
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
