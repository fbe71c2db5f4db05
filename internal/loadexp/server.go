package loadexp

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	// tokenTime is the time between tokens of an engine that is not slowed and
	// not beyond its knee.
	tokenTime = 20 * time.Millisecond
	// knee is the number of running requests up to which a token takes no longer.
	knee = 16
	// batchLimit is the number of requests that an engine runs at once.
	batchLimit = 48
	// cacheLimit is the number of prefix blocks that an engine holds.
	cacheLimit = 400
	// cacheEventsKept is the number of cache events that an engine keeps to send.
	cacheEventsKept = 200
)

// server is a fake engine with continuous batching. Every running request moves
// on by one token each token time; prompts count as tokens.
type server struct {
	platform.Server
	slow    float64 // factor of the token time
	clock   float64 // tokens that each running request has moved on
	moved   time.Duration
	running []*attempt
	waiting []*attempt // by tier, then arrival
	version int        // rises whenever the next event changes
	cache   prefixCache
	events  []engineapi.CacheEvent
	next    uint64 // sequence of the last cache event
}

// attempt is one request on a server.
type attempt struct {
	caller  *caller
	target  traffic.Target
	server  *server
	sent    time.Duration
	first   time.Duration // when the first token came; 0 before
	firstAt float64       // server clock at the first token
	lastAt  float64       // server clock at the last token
	ended   bool
}

func (s *server) token() time.Duration {
	factor := max(float64(len(s.running))/knee, 1)
	return time.Duration(s.slow * factor * float64(tokenTime))
}

// move brings the server's clock to now.
func (s *server) move(now time.Duration) {
	if len(s.running) > 0 {
		s.clock += float64(now-s.moved) / float64(s.token())
	}
	s.moved = now
	s.version++
}

func (s *server) add(now time.Duration, a *attempt) {
	s.move(now)
	if len(s.running) < batchLimit {
		s.run(a)
		return
	}
	at, _ := slices.BinarySearchFunc(s.waiting, a, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.caller.load.spec.Tier, y.caller.load.spec.Tier), cmp.Compare(x.sent, y.sent))
	})
	s.waiting = slices.Insert(s.waiting, at, a)
}

func (s *server) run(a *attempt) {
	cached := s.cache.use(a.caller.prefixes, s.note)
	prompt := inputWork * float64(a.caller.input) * (1 - cached)
	a.firstAt = s.clock + prompt + 1
	a.lastAt = a.firstAt + float64(a.caller.output-1)
	s.running = append(s.running, a)
}

// remove takes an attempt out, finished or not.
func (s *server) remove(now time.Duration, a *attempt) {
	s.move(now)
	if i := slices.Index(s.waiting, a); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if i := slices.Index(s.running, a); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if len(s.waiting) > 0 && len(s.running) < batchLimit {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.run(next)
	}
}

// produced is the number of answer tokens that an attempt has made.
func (s *server) produced(a *attempt) int {
	if a.first == 0 {
		return 0
	}
	return min(int(s.clock-a.firstAt)+1, a.caller.output)
}

// upcoming returns when the next first or last token comes; false when idle.
func (s *server) upcoming() (time.Duration, bool) {
	nearest := -1.0
	for _, a := range s.running {
		at := a.lastAt
		if a.first == 0 {
			at = a.firstAt
		}
		if left := max(at-s.clock, 0); nearest < 0 || left < nearest {
			nearest = left
		}
	}
	if nearest < 0 {
		return 0, false
	}
	return s.moved + time.Duration(nearest*float64(s.token())) + time.Microsecond, true
}

func (s *server) note(prefix uint64, stored bool) {
	s.next++
	s.events = append(s.events, engineapi.CacheEvent{Sequence: s.next, Prefix: prefix, Stored: stored})
	if len(s.events) > cacheEventsKept {
		s.events = s.events[len(s.events)-cacheEventsKept:] // a gap for who reads late
	}
}

func (s *server) report(now time.Time) engineapi.LoadReport {
	return engineapi.LoadReport{
		Epoch: s.Epoch, Running: len(s.running), Waiting: len(s.waiting),
		CacheUse: 0.5, UnixMillis: now.UnixMilli(),
	}
}

// prefixCache holds prefix blocks, the least recently used go first.
type prefixCache struct {
	held  map[uint64]int // turn of the last use
	order []cacheUse     // oldest first; uses that are not the last of a block are skipped
	turns int
}

type cacheUse struct {
	prefix uint64
	turn   int
}

// use returns the share of a prompt that is cached, and stores the prompt.
func (c *prefixCache) use(prefixes []uint64, note func(prefix uint64, stored bool)) float64 {
	if c.held == nil {
		c.held = map[uint64]int{}
	}
	cached := 0
	for i, p := range prefixes {
		if _, ok := c.held[p]; ok && cached == i {
			cached = i + 1
		}
	}
	for _, p := range prefixes {
		if _, ok := c.held[p]; !ok {
			note(p, true)
		}
		c.turns++
		c.held[p] = c.turns
		c.order = append(c.order, cacheUse{prefix: p, turn: c.turns})
	}
	for len(c.held) > cacheLimit {
		c.evict(note)
	}
	return float64(cached) / float64(len(prefixes))
}

func (c *prefixCache) evict(note func(prefix uint64, stored bool)) {
	oldest := c.order[0]
	c.order = c.order[1:]
	if c.held[oldest.prefix] == oldest.turn {
		delete(c.held, oldest.prefix)
		note(oldest.prefix, false)
	}
}
