package balance

import (
	"fmt"
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Load is the load of one or more instances on one backend server.
type Load struct {
	// InFlight is the number of requests in flight.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// PendingPrefill is the number of prompt tokens that were sent and whose prefill is
	// still pending.
	PendingPrefill int `cbor:"2,keyasint,omitempty"`
	// Sensitivity is the sum of the sensitivities of the streams to prefill, in thousandths.
	// A stream's sensitivity is from 0 to 1 and depends on its target between two events;
	// see the function sensitivity.
	Sensitivity int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		InFlight: l.InFlight + other.InFlight, PendingPrefill: l.PendingPrefill + other.PendingPrefill,
		Sensitivity: l.Sensitivity + other.Sensitivity,
	}
}

// After returns the estimated load after d: the server's prefill continues
// meanwhile, the requests stay in flight.
func (l Load) After(d time.Duration) Load { return l.AfterAt(d, prefillTokensPerMilli) }

// AfterAt is After at a prefill rate in tokens per millisecond. Zero means the default.
func (l Load) AfterAt(d time.Duration, rate float64) Load {
	if rate <= 0 {
		rate = prefillTokensPerMilli
	}
	prefilled := int(rate * float64(d) / float64(time.Millisecond))
	return Load{InFlight: l.InFlight, PendingPrefill: max(l.PendingPrefill-prefilled, 0), Sensitivity: l.Sensitivity}
}

// SentPrompt identifies a prompt that an instance sent to a server.
type SentPrompt struct {
	Server string `cbor:"1,keyasint"`
	// Parts are the IDs of the prompt's parts, in order.
	Parts []uint64 `cbor:"2,keyasint"`
}

const (
	// othersTTL is how long a reported load of the other instances is used.
	othersTTL = 1500 * time.Millisecond
	// maxUnpublished bounds the prompts kept for publication. The oldest are
	// dropped.
	maxUnpublished = 512
	// maxLoadFactor is the number of requests that a server can hold, running or in
	// its queue, relative to the number that it runs concurrently.
	maxLoadFactor = 4
	// excessEventInterval is the minimum time between two events of loads that
	// exceed what a server can hold.
	excessEventInterval = time.Second
)

// othersLoad is the last reported load of all other instances on a server.
type othersLoad struct {
	load       Load
	receivedAt boottime.Instant
	rate       float64 // prefill rate of the server in tokens per millisecond
}

// at returns the estimated load at an instant. It is zero once the report has
// expired.
func (o othersLoad) at(now boottime.Instant) Load {
	age := now.Sub(o.receivedAt)
	if o.load == (Load{}) || age > othersTTL {
		return Load{}
	}
	return o.load.AfterAt(age, o.rate)
}

// load returns the load of all instances on the server, as far as this one knows.
func (s *server) load(now boottime.Instant) Load {
	return s.others.at(now).Add(s.ownLoad())
}

// ownLoad returns the load of this instance on the server.
func (s *server) ownLoad() Load {
	return Load{InFlight: s.inFlight, PendingPrefill: s.pendingPrefill, Sensitivity: s.sensitivity}
}

// Loads returns this instance's load by server ID. Servers without load are left
// out.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, s := range b.servers {
		if s.inFlight > 0 {
			loads[id] = s.ownLoad()
		}
	}
	return loads
}

// SetOthers replaces the load of all other instances, by server ID.
func (b *Balancer) SetOthers(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, s := range b.servers {
		s.others = othersLoad{load: b.boundSensitivity(s, loads[id]), receivedAt: now, rate: b.prefillRate(now, s)}
		b.checkOthers(now, s)
	}
}

// boundSensitivity bounds the reported sensitivity to what the requests in flight can have,
// and these to what the server can hold. The moving average of an impossible value takes
// minutes to decay.
func (b *Balancer) boundSensitivity(s *server, l Load) Load {
	requests := min(max(l.InFlight, 0), math.MaxInt/loadSensitivityScale)
	if limit := maxLoadFactor * b.pool(s.Service).slots(s); limit > 0 {
		requests = min(requests, limit)
	}
	l.Sensitivity = min(max(l.Sensitivity, 0), loadSensitivityScale*requests)
	return l
}

// checkOthers counts a reported load that is more than the server can hold, and
// records it, at most once per excessEventInterval.
func (b *Balancer) checkOthers(now boottime.Instant, s *server) {
	p := b.pool(s.Service)
	limit := maxLoadFactor * p.slots(s)
	reported := s.others.load.InFlight
	if limit == 0 || reported <= limit {
		return
	}
	p.excessLoads++
	if now.Before(b.nextExcessEvent) {
		return
	}
	b.nextExcessEvent = now.Add(excessEventInterval)
	b.record(s, timeline.Event{Kind: timeline.LoadsExcess, Count: int64(reported), Detail: fmt.Sprintf("limit=%d unread=%d", limit, s.others.load.PendingPrefill)})
}

// TakeSent returns and removes the prompts that this instance sent since the last
// call.
func (b *Balancer) TakeSent() []SentPrompt {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.unpublished
	b.unpublished = nil
	return sent
}

// queueSent queues a prompt for publication to the other instances.
func (b *Balancer) queueSent(s *server, parts []Part) {
	if len(parts) == 0 {
		return
	}
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	if len(b.unpublished) == maxUnpublished {
		b.unpublished = b.unpublished[1:]
	}
	b.unpublished = append(b.unpublished, SentPrompt{Server: s.ID, Parts: ids})
}

// RecordSent records prompts that other instances sent, so that their parts count
// as cached on those servers. Unknown servers are ignored.
func (b *Balancer) RecordSent(sent []SentPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, prompt := range sent {
		if s := b.servers[prompt.Server]; s != nil {
			s.recordPartIDs(now, prompt.Parts)
		}
	}
}
