package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// Load is what instances have on one backend server.
type Load struct {
	// InFlight is the number of requests.
	InFlight int `cbor:"1,keyasint,omitempty"`
	// Unread is the number of prompt tokens that were sent and are not read yet.
	Unread int `cbor:"2,keyasint,omitempty"`
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, Unread: l.Unread + other.Unread}
}

// After returns what is left of a load after a time: the server reads meanwhile.
func (l Load) After(d time.Duration) Load {
	read := int(prefillTokensPerMilli * float64(d) / float64(time.Millisecond))
	return Load{InFlight: l.InFlight, Unread: max(l.Unread-read, 0)}
}

// Sent is a prompt that an instance sent to a server.
type Sent struct {
	Server string `cbor:"1,keyasint"`
	// Parts are the IDs of the prompt's parts, in order.
	Parts []uint64 `cbor:"2,keyasint"`
}

const (
	// othersLifetime is how long the loads of the other instances count after they
	// were told.
	othersLifetime = 1500 * time.Millisecond
	// mostSent bounds the prompts that are kept to be told; the oldest go.
	mostSent = 512
)

// othersLoad is what the other instances have on a server.
type othersLoad struct {
	load Load
	told boottime.Instant
}

// at returns what is left of the load at an instant.
func (o othersLoad) at(now boottime.Instant) Load {
	age := now.Sub(o.told)
	if o.load == (Load{}) || age > othersLifetime {
		return Load{}
	}
	return o.load.After(age)
}

// load is what all instances have on the server, as far as this one knows.
func (s *server) load(now boottime.Instant) Load {
	return s.others.at(now).Add(Load{InFlight: s.inFlight, Unread: s.prefill})
}

// Loads returns what this instance has on each server, without those on which it
// has nothing.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, s := range b.servers {
		if s.inFlight > 0 {
			loads[id] = Load{InFlight: s.inFlight, Unread: s.prefill}
		}
	}
	return loads
}

// SetOthers replaces what all other instances have on each server now.
func (b *Balancer) SetOthers(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, s := range b.servers {
		s.others = othersLoad{load: loads[id], told: now}
	}
}

// TakeSent returns the prompts that this instance sent since the last call.
func (b *Balancer) TakeSent() []Sent {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent
	b.sent = nil
	return sent
}

// keepSent keeps a prompt that is sent, to be told to other instances.
func (b *Balancer) keepSent(s *server, parts []Part) {
	if len(parts) == 0 {
		return
	}
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	if len(b.sent) == mostSent {
		b.sent = b.sent[1:]
	}
	b.sent = append(b.sent, Sent{Server: s.ID, Parts: ids})
}

// NoteSent takes prompts that other instances sent.
func (b *Balancer) NoteSent(sent []Sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, prompt := range sent {
		if s := b.servers[prompt.Server]; s != nil {
			s.noteIDs(now, prompt.Parts)
		}
	}
}
