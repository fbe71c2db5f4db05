package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// prefixGeneration is the number of prefixes after which a new generation
	// starts; the one before the last is then forgotten.
	prefixGeneration = 4096
	// prefixHolders is the number of servers remembered per prefix.
	prefixHolders = 4
	// prefixAge is the age at which a hint is void.
	prefixAge = 10 * time.Minute
)

// Prefixes remembers which servers of a pool probably hold a prompt prefix. Its
// entries are hints: they age, and an epoch change or a gap in a server's cache
// events voids all hints of that server.
type Prefixes struct {
	current, previous map[uint64]holders
}

type holders [prefixHolders]holder

type holder struct {
	server     *Live  // nil is none
	generation uint32 // of the server's hints when this one was added
	seen       uint32 // Unix seconds
}

// NewPrefixes returns an index without hints.
func NewPrefixes() *Prefixes {
	return &Prefixes{current: map[uint64]holders{}}
}

// Len returns the number of prefixes remembered.
func (p *Prefixes) Len() int { return len(p.current) + len(p.previous) }

// Events takes a batch of a server's cache events. A gap voids what was known of
// the server before; events that were seen already are skipped.
func (p *Prefixes) Events(now time.Time, l *Live, batch engineapi.CacheEvents) {
	if batch.Epoch < l.ramp.epoch {
		return
	}
	l.SeeEpoch(now, batch.Epoch)
	for _, e := range batch.Events {
		if e.Sequence <= l.sequence {
			continue
		}
		if l.sequence != 0 && e.Sequence != l.sequence+1 {
			l.prefixes++
		}
		l.sequence = e.Sequence
		if e.Stored {
			p.Add(now, l, e.Prefix)
		} else {
			p.drop(l, e.Prefix)
		}
	}
}

// Add notes that a server probably holds a prefix.
func (p *Prefixes) Add(now time.Time, l *Live, prefix uint64) {
	known := p.lookup(prefix)
	slot := known.slotFor(l)
	known[slot] = holder{server: l, generation: l.prefixes, seen: uint32(now.Unix())}
	if len(p.current) >= prefixGeneration {
		p.previous = p.current
		p.current = make(map[uint64]holders, prefixGeneration)
	}
	p.current[prefix] = known
}

// slotFor is the server's own place, an empty one, or the oldest.
func (h *holders) slotFor(l *Live) int {
	oldest := 0
	for i := range h {
		if h[i].server == l || h[i].server == nil {
			return i
		}
		if h[i].seen < h[oldest].seen {
			oldest = i
		}
	}
	return oldest
}

func (p *Prefixes) drop(l *Live, prefix uint64) {
	known := p.lookup(prefix)
	for i := range known {
		if known[i].server == l {
			known[i] = holder{}
			p.current[prefix] = known
			return
		}
	}
}

func (p *Prefixes) lookup(prefix uint64) holders {
	if h, ok := p.current[prefix]; ok {
		return h
	}
	return p.previous[prefix]
}

// weight falls from 1 to 0 as a hint ages; it is 0 for a void one.
func (h *holder) weight(now time.Time) float64 {
	if h.server == nil || h.generation != h.server.prefixes {
		return 0
	}
	age := max(now.Sub(time.Unix(int64(h.seen), 0)), 0)
	return max(1-float64(age)/float64(prefixAge), 0)
}

// credit marks the servers that probably hold a prefix of the query with the
// share of the prompt that they hold.
func (p *Prefixes) credit(q *Query) {
	found := 0
	for i := len(q.Prefixes) - 1; i >= 0 && found < maxMatches; i-- {
		known := p.lookup(q.Prefixes[i])
		if known == (holders{}) {
			continue
		}
		found++
		share := float64(i+1) / float64(len(q.Prefixes))
		for n := range known {
			if weight := known[n].weight(q.Now); weight > 0 {
				known[n].server.hit(q.decision, weight*share)
			}
		}
	}
}

// hit notes the share of a prompt that the server holds, for one decision. The
// longest prefix, which comes first, counts.
func (l *Live) hit(decision uint64, share float64) {
	if l.decision == decision {
		return
	}
	l.decision, l.held = decision, share
}

// maxMatches bounds the known prefixes of one request that are looked at.
const maxMatches = 4
