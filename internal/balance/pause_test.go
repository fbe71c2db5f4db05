package balance

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// pauseAnswer is a refusal whose server asks for a pause.
func pauseAnswer(d time.Duration) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Advisory: advisory.Advisory{Pause: d}}
}

// TestPausedServerGetsNoRequests guards against requests to a server within the pause that
// it asked for, and against many at once when it ends.
func TestPausedServerGetsNoRequests(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.add("plain", "a", nil)
	other := b.mustAcquire(plainQuery())
	b.observe(pauseAnswer(3*time.Second), Full)
	other.Observe(pauseAnswer(time.Second)) // the longest pause holds
	other.End(Full)
	b.clock = b.clock.Add(2999 * time.Millisecond)
	b.SetServers(nil)
	b.SetServers(b.servers)
	is.True(!b.accepts())
	b.clock = b.clock.Add(time.Millisecond)
	first := b.mustAcquire(plainQuery())
	is.True(!b.accepts()) // one request at a time until an answer comes
	first.Observe(Answer{Status: http.StatusOK})
	is.True(b.accepts())
	first.End(Answered)
	is.Equal(b.servers[0].ID, "a")
	is.Equal(b.Balancer.servers["a"].failureRate, 0.0) // a pause is no failure
}

// TestPauseEndsWithItsServer guards against a pause that outlives the server.
func TestPauseEndsWithItsServer(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	b := newTestBalancer(t, "i", "i")
	b.add("plain", "a", func(s *directory.Server) { s.StartedMillis = 5 })
	b.observe(pauseAnswer(advisory.MaxPause), Full)
	b.clock = b.clock.Add(fullBackoff)
	is.True(!b.accepts())
	b.servers[0].StartedMillis = 6
	b.SetServers(b.servers)
	is.True(b.accepts())
}
