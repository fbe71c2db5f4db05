package lease

import "time"

// Timing holds the intervals of the protocol. They must be equal on all instances. A zero
// field means its default.
type Timing struct {
	// Heartbeat is the interval between renewals. Default 3.5s.
	Heartbeat time.Duration
	// Lease is the duration of a lease, counted from before its renewal was sent.
	// Default 7s.
	Lease time.Duration
	// Drift bounds the divergence of the clocks of two instances within a lease. A holder
	// stops that much earlier. Default 100ms.
	Drift time.Duration
	// Margin is the time that a claimant waits in addition to the lease. Default 400ms.
	Margin time.Duration
	// Watch is the interval between reads of the watched rows. Default 1s.
	Watch time.Duration
	// RankDelay is the additional delay per rank before a candidate claims a free duty.
	// Default 500ms.
	RankDelay time.Duration
	// Retry is the delay after a failed call. Default 500ms.
	Retry time.Duration
	// Call is the timeout of one call of the table service. Default 2s.
	Call time.Duration
	// Write bounds the time from Guard.Check until the checked write has been sent. Check
	// fails if less of the lease remains. Default 500ms.
	Write time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeat = 3500 * time.Millisecond
	DefaultLease     = 7 * time.Second
	DefaultDrift     = 100 * time.Millisecond
	DefaultMargin    = 400 * time.Millisecond
	DefaultWatch     = time.Second
	DefaultRankDelay = 500 * time.Millisecond
	DefaultRetry     = 500 * time.Millisecond
	DefaultCall      = 2 * time.Second
	DefaultWrite     = 500 * time.Millisecond
)

// withDefaults replaces zero fields by their defaults.
func (t Timing) withDefaults() Timing {
	setDefault(&t.Heartbeat, DefaultHeartbeat)
	setDefault(&t.Lease, DefaultLease)
	setDefault(&t.Drift, DefaultDrift)
	setDefault(&t.Margin, DefaultMargin)
	setDefault(&t.Watch, DefaultWatch)
	setDefault(&t.RankDelay, DefaultRankDelay)
	setDefault(&t.Retry, DefaultRetry)
	setDefault(&t.Call, DefaultCall)
	setDefault(&t.Write, DefaultWrite)
	return t
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Reading is a reading of an instance's clocks. Readings of different instances are never
// compared.
type Reading struct {
	Mono time.Duration // monotonic time since a fixed moment
	Wall time.Duration // wall-clock time since the same moment
}

// elapsed returns the time since an earlier reading: the larger of what the two clocks
// show, since the monotonic clock stops while a virtual machine is suspended.
func (r Reading) elapsed(since Reading) time.Duration {
	return max(r.Mono-since.Mono, r.Wall-since.Wall)
}
