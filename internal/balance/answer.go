package balance

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// Answer is what the head of an answer to an assigned request says about its server.
type Answer struct {
	// Request is the id of the request, for the timeline.
	Request string
	// Status is the HTTP status.
	Status int
	// Misdirected is true when another server than the assigned one answered at its
	// address.
	Misdirected bool
	// Partial is true for the head of an informational answer, and for that of an answer
	// to another request; see advisory.Heard.
	Partial  bool
	Advisory advisory.Advisory
}

// String returns the source of an advisory as key=value pairs.
func (a Answer) String() string { return fmt.Sprintf("request=%s status=%d", a.Request, a.Status) }

// Observe applies the head of an answer, also if the answer is not used or the
// assignment has ended.
func (a *Assignment) Observe(answer Answer) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := a.server
	if answer.Misdirected {
		s = b.ownerOf(a.Address, a.Server)
	}
	if s != nil {
		b.observe(s, a.assignedAt, b.now(), answer)
	}
}

// Leaving reports whether the assigned server stops soon.
func (a *Assignment) Leaving() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.server.leaving()
}

// MaySend reports whether the request may still be sent to the assigned server, which may
// have stated since the assignment that it wants no more requests, or none for now.
func (a *Assignment) MaySend() bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return !a.server.leaving() && !a.server.stated.Paused(b.now())
}

// ownerOf returns the listed server at an address whose ID differs from the given one,
// or nil.
func (b *Balancer) ownerOf(address, otherThan string) *server {
	for id, s := range b.servers {
		if s.Address == address && id != otherThan {
			return s
		}
	}
	return nil
}

// observe applies an answer, to a request sent at from, to the state of the server that
// sent it.
func (b *Balancer) observe(s *server, from, now boottime.Instant, answer Answer) {
	if s.StartedMillis == 0 {
		answer.Advisory = answer.Advisory.WithoutIncarnation()
	}
	changed := s.stated.Observe(advisory.Heard[boottime.Instant]{
		Advisory: answer.Advisory, From: from, To: now, Partial: answer.Partial,
	})
	if changed.Paused {
		s.pauses++
	}
	for _, e := range changed.Events(answer.Advisory, answer.String()) {
		b.record(s, e)
	}
}
