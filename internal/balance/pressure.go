package balance

import "github.com/hawthornwick/hawthornwick/internal/boottime"

// pressure is how much the servers of a pool still have to read.
type pressure struct {
	millis float64 // mean over the servers that take work
	at     boottime.Instant
}

// pressure returns the mean time in milliseconds that the pool's servers still need
// for the prompts that they were sent. It is worked out once an instant.
func (p *pool) pressure(now boottime.Instant) float64 {
	if p.pressed.at == now {
		return p.pressed.millis
	}
	unread, usable := 0, 0
	for _, s := range p.servers {
		if s.usable() {
			usable++
			unread += s.load(now).Unread
		}
	}
	p.pressed = pressure{at: now, millis: float64(unread) / float64(max(usable, 1)) / prefillTokensPerMilli}
	return p.pressed.millis
}
