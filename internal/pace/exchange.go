package pace

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// publishInterval is the minimum time between two states of an instance.
	publishInterval = time.Second
	// publishWindow is how long the sums of a server are repeated after an observation, since
	// a state may be lost.
	publishWindow = 2500 * time.Millisecond
	// maxPublished bounds the servers in a state. Those observed last have precedence.
	maxPublished = 512
	// maxWeight and maxLog bound received values.
	maxWeight = 10_000.0
	maxLog    = 12.0
)

// Units of numbers in a state.
const (
	weightUnit = 1.0 / 16
	logUnit    = 1.0 / 256
)

// state is what an instance sends: its sums of the servers that it has observed lately,
// decayed to the time of sending.
type state struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Servers  []wireServer `cbor:"2,keyasint"`
}

// wireServer holds rounded sums. Weights are in weightUnit, means and deviations in logUnit.
type wireServer struct {
	_             struct{} `cbor:",toarray"`
	Key           uint64
	GapWeight     int32
	GapMean       int32
	GapDeviation  int32
	Interval      int32
	SpeedWeight   int32
	SpeedMean     int32
	PrefillWeight int32
	PrefillMean   int32
}

// Collect returns the encoded state for the other instances, at most once per
// publishInterval, and nil in between or if there are no new observations.
func (b *Book) Collect() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	b.refreshAfter(now, refreshInterval)
	if !b.sentAt.IsZero() && now.Sub(b.sentAt) < publishInterval {
		return nil
	}
	keys := b.recent(now)
	if len(keys) == 0 {
		return nil
	}
	b.sentAt = now
	b.sequence++
	next := state{Sequence: b.sequence}
	for _, key := range keys {
		r := b.records[key]
		r.decayOwn(now)
		next.Servers = append(next.Servers, encode(key, &r.own))
	}
	data, err := cbor.Marshal(next)
	if err != nil {
		return nil // not reached: numbers can always be encoded
	}
	b.observed.states++
	b.observed.stateBytes += uint64(len(data))
	return data
}

// recent returns the servers that this instance has observed within publishWindow, the
// newest first.
func (b *Book) recent(now boottime.Instant) []Key {
	var keys []Key
	for key, r := range b.records {
		if !r.observedAt.IsZero() && now.Sub(r.observedAt) <= publishWindow {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int {
		return cmp.Or(cmp.Compare(b.records[y].observedAt, b.records[x].observedAt), cmp.Compare(x, y))
	})
	return keys[:min(len(keys), maxPublished)]
}

// Apply replaces the sums of another instance. origin identifies its run. States may be
// lost, repeated or out of order: for each server, the newest one counts.
func (b *Book) Apply(origin string, data []byte) error {
	var s state
	if err := cbor.Unmarshal(data, &s); err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.observed.invalid++
		return fmt.Errorf("decode the observations of instance %s: %w", origin, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	o := b.origins[origin]
	if o == nil {
		if len(b.origins) >= maxOrigins {
			return nil
		}
		o = &originState{}
		b.origins[origin] = o
	}
	for i := range s.Servers[:min(len(s.Servers), maxPublished)] {
		w := &s.Servers[i]
		if r := b.record(Key(w.Key)); r != nil {
			r.replace(contribution{origin: o, sequence: s.Sequence, at: now, sums: w.decode()})
		}
	}
	b.refreshAfter(now, refreshInterval)
	return nil
}

func (r *record) replace(c contribution) {
	for i := range r.others {
		if r.others[i].origin != c.origin {
			continue
		}
		if r.others[i].sequence < c.sequence {
			r.others[i] = c
		}
		return
	}
	r.others = append(r.others, c)
}

// Forget drops the sums of a run of another instance.
func (b *Book) Forget(origin string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.origins[origin]
	if o == nil {
		return
	}
	delete(b.origins, origin)
	for _, r := range b.records {
		r.others = slices.DeleteFunc(r.others, func(c contribution) bool { return c.origin == o })
	}
}

func encode(key Key, s *sums) wireServer {
	return wireServer{
		Key:       uint64(key),
		GapWeight: round(s.gap.weight, weightUnit), GapMean: round(s.gap.mean(), logUnit),
		GapDeviation: round(math.Sqrt(s.gap.variance()), logUnit), Interval: round(s.interval.mean(), logUnit),
		SpeedWeight: round(s.speed.weight, weightUnit), SpeedMean: round(s.speed.mean(), logUnit),
		PrefillWeight: round(s.prefill.weight, weightUnit), PrefillMean: round(s.prefill.mean(), logUnit),
	}
}

func round(x, unit float64) int32 { return int32(math.Round(x / unit)) }

func (w *wireServer) decode() sums {
	return sums{
		gap:      momentsOf(w.GapWeight, w.GapMean, w.GapDeviation),
		interval: momentsOf(w.GapWeight, w.Interval, 0),
		speed:    momentsOf(w.SpeedWeight, w.SpeedMean, 0),
		prefill:  momentsOf(w.PrefillWeight, w.PrefillMean, 0),
	}
}

// momentsOf returns moments from rounded values, which are bounded.
func momentsOf(weight, mean, deviation int32) moments {
	w := min(max(float64(weight)*weightUnit, 0), maxWeight)
	m := min(max(float64(mean)*logUnit, -maxLog), maxLog)
	d := min(max(float64(deviation)*logUnit, 0), maxLog)
	return moments{weight: w, sum: w * m, squares: w * (m*m + d*d)}
}
