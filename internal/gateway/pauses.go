package gateway

import (
	"fmt"
	"time"
)

// pauses measures when the events of a stream were sent to the caller. The zero
// value is a stream without events.
type pauses struct {
	first, last time.Time
	longest     time.Duration // between two events
	longestAt   time.Time     // end of the longest pause
}

// record adds one event.
func (p *pauses) record(at time.Time) {
	if p.first.IsZero() {
		p.first, p.last = at, at
		return
	}
	if pause := at.Sub(p.last); pause > p.longest {
		p.longest, p.longestAt = pause, at
	}
	p.last = at
}

// describe returns the measurements as key=value pairs, relative to the arrival of
// the request, and the empty string for a stream without events.
func (p *pauses) describe(receivedAt time.Time) string {
	if p.first.IsZero() {
		return ""
	}
	first := p.first.Sub(receivedAt).Milliseconds()
	if p.longestAt.IsZero() {
		return fmt.Sprintf("first_event_ms=%d", first)
	}
	return fmt.Sprintf("first_event_ms=%d longest_pause_ms=%d pause_ended_ms=%d",
		first, p.longest.Milliseconds(), p.longestAt.Sub(receivedAt).Milliseconds())
}
