package routing

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// maxGenerationPrefixes is the number of prefixes after which a new
	// generation starts and the generation before the previous one is dropped.
	maxGenerationPrefixes = 4096
	// maxPrefixServers is the number of servers stored per prefix.
	maxPrefixServers = 4
	// prefixHintTTL is the age at which a hint expires.
	prefixHintTTL = 10 * time.Minute
)

// PrefixIndex records which servers of a pool probably have a prompt prefix
// cached. Its entries are hints: their weight decreases with age, and a new
// epoch or a gap in a server's cache events invalidates all hints of that
// server. It is not safe for concurrent use.
type PrefixIndex struct {
	current, previous map[uint64]holders
}

type holders [maxPrefixServers]holder

type holder struct {
	server     *LiveState // nil means an empty entry
	generation uint32     // the server's hintGeneration when the hint was added
	seen       uint32     // Unix seconds
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{current: map[uint64]holders{}}
}

// Len returns the number of prefixes stored. A prefix in both generations
// counts twice.
func (p *PrefixIndex) Len() int { return len(p.current) + len(p.previous) }

// ApplyEvents applies a batch of a server's cache events. A gap in the sequence
// invalidates the server's earlier hints. Events that were already applied are
// skipped.
func (p *PrefixIndex) ApplyEvents(now time.Time, l *LiveState, batch engineapi.CacheEvents) {
	if batch.Epoch < l.ramp.epoch {
		return
	}
	l.ObserveEpoch(now, batch.Epoch)
	for _, e := range batch.Events {
		if e.Sequence <= l.lastEvent {
			continue
		}
		if l.lastEvent != 0 && e.Sequence != l.lastEvent+1 {
			l.hintGeneration++
		}
		l.lastEvent = e.Sequence
		if e.Stored {
			p.Add(now, l, e.Prefix)
		} else {
			p.remove(l, e.Prefix)
		}
	}
}

// Add records that a server probably has a prefix cached.
func (p *PrefixIndex) Add(now time.Time, l *LiveState, prefix uint64) {
	known := p.lookup(prefix)
	slot := known.slotFor(l)
	known[slot] = holder{server: l, generation: l.hintGeneration, seen: uint32(now.Unix())}
	if len(p.current) >= maxGenerationPrefixes {
		p.previous = p.current
		p.current = make(map[uint64]holders, maxGenerationPrefixes)
	}
	p.current[prefix] = known
}

// slotFor returns the index of the first entry that is the server's own or
// empty. If there is none, it returns the index of the oldest entry.
func (h *holders) slotFor(l *LiveState) int {
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

func (p *PrefixIndex) remove(l *LiveState, prefix uint64) {
	known := p.lookup(prefix)
	for i := range known {
		if known[i].server == l {
			known[i] = holder{}
			p.current[prefix] = known
			return
		}
	}
}

func (p *PrefixIndex) lookup(prefix uint64) holders {
	if h, ok := p.current[prefix]; ok {
		return h
	}
	return p.previous[prefix]
}

// weight decreases linearly from 1 to 0 as a hint ages. It is 0 for an invalid
// hint.
func (h *holder) weight(now time.Time) float64 {
	if h.server == nil || h.generation != h.server.hintGeneration {
		return 0
	}
	age := max(now.Sub(time.Unix(int64(h.seen), 0)), 0)
	return max(1-float64(age)/float64(prefixHintTTL), 0)
}

// creditServers sets the cached share of the prompt on the servers that
// probably have a prefix of the query cached.
func (p *PrefixIndex) creditServers(q *Query) {
	found := 0
	for i := len(q.Prefixes) - 1; i >= 0 && found < maxPrefixMatches; i-- {
		known := p.lookup(q.Prefixes[i])
		if known == (holders{}) {
			continue
		}
		found++
		share := float64(i+1) / float64(len(q.Prefixes))
		for n := range known {
			if weight := known[n].weight(q.Now); weight > 0 {
				known[n].server.recordHit(q.decision, weight*share)
			}
		}
	}
}

// recordHit records the share of the prompt that the server has cached, for one
// decision. Only the first call counts, which is the one for the longest
// prefix.
func (l *LiveState) recordHit(decision uint64, share float64) {
	if l.hitDecision == decision {
		return
	}
	l.hitDecision, l.hitShare = decision, share
}

// maxPrefixMatches bounds the number of known prefixes that are considered for
// one request.
const maxPrefixMatches = 4
