package advisory

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Events returns the timeline events of a change that an answer has made. source
// describes the answer. The caller adds the server.
func (c Change) Events(a Advisory, source string) []timeline.Event {
	var events []timeline.Event
	if c.Leaving {
		events = append(events, timeline.Event{Kind: timeline.ServerLeaving, Detail: source})
	}
	if c.Paused {
		events = append(events, timeline.Event{Kind: timeline.ServerPaused, Duration: a.Pause, Detail: source})
	}
	if c.RateLimit {
		detail := fmt.Sprintf("rate=%g %s", a.RateLimit, source)
		events = append(events, timeline.Event{Kind: timeline.ServerRateLimit, Detail: detail})
	}
	if c.Malformed {
		events = append(events, timeline.Event{Kind: timeline.ServerMalformed, Detail: source + " " + a.Err.Error()})
	}
	return events
}
