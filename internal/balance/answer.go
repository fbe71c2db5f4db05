package balance

import (
	"fmt"
	"time"

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

// ListedStart returns the start of the process that the directory now lists under the assigned
// server's id, in Unix milliseconds. Zero means that it lists none, or no start.
func (a *Assignment) ListedStart() int64 {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	s := a.balancer.servers[a.Server]
	if s == nil {
		return 0
	}
	return s.StartedMillis
}

// MaySend reports whether the request may still be sent to the assigned server, which may
// have stated since the assignment that it wants no more requests, or none for now, whose
// version may have been found bad, or under whose id another process is listed by now.
func (a *Assignment) MaySend() bool {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if _, _, replaced := a.successor(); replaced {
		return false
	}
	return !a.server.leaving() && !a.server.stated.Paused(now) && a.pool.maySend(now, a.server, a.bound)
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

// NamedLimit is a rate limit that a server has stated to an instance.
type NamedLimit struct {
	Server        string `cbor:"1,keyasint"`
	StartedMillis int64  `cbor:"2,keyasint"` // of the server's incarnation
	// Rate is in requests per second. Zero means that the server names no limit any more.
	Rate float64 `cbor:"3,keyasint,omitempty"`
	// FromMillis and ToMillis are the ages of the bounds between which the server stated
	// it.
	FromMillis int64 `cbor:"4,keyasint"`
	ToMillis   int64 `cbor:"5,keyasint"`
}

// reportSlack is the time that a report of another instance may have spent on connections,
// by which what it reports may be older than it appears.
const reportSlack = 500 * time.Millisecond

// NamedLimits returns the rate limits that servers have stated to this instance, and those
// that have ended lately.
func (b *Balancer) NamedLimits() []NamedLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var limits []NamedLimit
	for id, s := range b.servers {
		own, ok := s.stated.OwnLimit(now)
		if !ok {
			continue
		}
		limits = append(limits, NamedLimit{
			Server: id, StartedMillis: s.StartedMillis, Rate: own.Rate,
			FromMillis: now.Sub(own.From).Milliseconds(), ToMillis: now.Sub(own.To).Milliseconds(),
		})
	}
	return limits
}

// ObserveNamedLimits applies rate limits that servers have stated to another instance, as
// that one reported them the given time ago. Other incarnations of a server, and values out
// of bounds, are ignored.
func (b *Balancer) ObserveNamedLimits(instance string, ago time.Duration, limits []NamedLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reportedAt := b.now().Add(-ago)
	for _, l := range limits {
		s := b.servers[l.Server]
		if s == nil || s.StartedMillis != l.StartedMillis || !l.valid() {
			continue
		}
		heard := advisory.NamedLimit[boottime.Instant]{Rate: l.Rate, From: reportedAt.Add(-l.from() - reportSlack), To: reportedAt.Add(-l.to())}
		if s.stated.ObserveReported(heard) {
			change := advisory.Change{RateLimit: true}
			for _, e := range change.Events(advisory.Advisory{RateLimit: l.Rate}, "instance="+instance) {
				b.record(s, e)
			}
		}
	}
}

func (l *NamedLimit) from() time.Duration { return time.Duration(l.FromMillis) * time.Millisecond }

func (l *NamedLimit) to() time.Duration { return time.Duration(l.ToMillis) * time.Millisecond }

// maxStatementAge bounds the age of a statement in a report.
const maxStatementAge = time.Hour

func (l *NamedLimit) valid() bool {
	inBounds := l.Rate == 0 || l.Rate >= advisory.MinRateLimit && l.Rate <= advisory.MaxRateLimit
	return inBounds && l.ToMillis >= 0 && l.FromMillis >= l.ToMillis && l.FromMillis <= maxStatementAge.Milliseconds()
}
