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
	server     uint32 // id of the Live; 0 is none
	generation uint32
	seen       int64 // Unix seconds
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
	known[slot] = holder{server: l.id, generation: l.prefixes, seen: now.Unix()}
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
		if h[i].server == l.id || h[i].server == 0 {
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
		if known[i].server == l.id {
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

// holds reports whether a valid hint says that the server holds the prefix, and
// the hint's weight, which falls from 1 to 0 as it ages.
func (h *holders) holds(now time.Time, l *Live) (weight float64, ok bool) {
	for i := range h {
		if h[i].server != l.id || h[i].generation != l.prefixes {
			continue
		}
		age := now.Sub(time.Unix(h[i].seen, 0))
		if age >= prefixAge {
			return 0, false
		}
		return 1 - float64(max(age, 0))/float64(prefixAge), true
	}
	return 0, false
}

// match is one prefix of a request that some servers may hold.
type match struct {
	share   float64 // part of the prompt that the prefix covers
	holders holders
}

// matches appends the request's known prefixes to out, longest first.
func (p *Prefixes) matches(prefixes []uint64, out []match) []match {
	for i := len(prefixes) - 1; i >= 0; i-- {
		h := p.lookup(prefixes[i])
		if h == (holders{}) {
			continue
		}
		out = append(out, match{share: float64(i+1) / float64(len(prefixes)), holders: h})
		if len(out) == maxMatches {
			break
		}
	}
	return out
}

// maxMatches bounds the prefixes of one request that scorers look at.
const maxMatches = 4
