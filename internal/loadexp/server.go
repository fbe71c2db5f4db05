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
	// tokenTime is the time per token of a server that is not slowed and runs at
	// most knee requests.
	tokenTime = 20 * time.Millisecond
	// knee is the number of running requests up to which the time per token is
	// constant. Beyond it, the time grows in proportion.
	knee = 16
	// maxBatch is the maximum number of requests that a server runs at the same time.
	maxBatch = 48
	// maxCacheBlocks is the number of prefix blocks that a server's cache holds.
	maxCacheBlocks = 400
	// maxCacheEvents bounds the cache events that a server keeps until they are
	// polled.
	maxCacheEvents = 200
)

// server is a simulated engine with continuous batching. In each token interval,
// every running request advances by one token; a prompt counts as a number of
// tokens.
type server struct {
	platform.Server
	slow     float64 // factor of the token time
	clock    float64 // token intervals so far, in which requests ran
	advanced time.Duration
	running  []*attempt
	waiting  []*attempt // by tier, then arrival
	version  int        // incremented whenever the next token may change
	cache    prefixCache
	events   []engineapi.CacheEvent
	next     uint64 // sequence of the last cache event
}

// attempt is one attempt of a request on a server.
type attempt struct {
	caller  *caller
	target  traffic.Target
	server  *server
	sent    time.Duration
	first   time.Duration // time of the first token; 0 before
	firstAt float64       // server clock at the first token
	lastAt  float64       // server clock at the last token
	ended   bool
}

func (s *server) tokenInterval() time.Duration {
	factor := max(float64(len(s.running))/knee, 1)
	return time.Duration(s.slow * factor * float64(tokenTime))
}

// advance advances the server's clock to now.
func (s *server) advance(now time.Duration) {
	if len(s.running) > 0 {
		s.clock += float64(now-s.advanced) / float64(s.tokenInterval())
	}
	s.advanced = now
	s.version++
}

func (s *server) add(now time.Duration, a *attempt) {
	s.advance(now)
	if len(s.running) < maxBatch {
		s.start(a)
		return
	}
	at, _ := slices.BinarySearchFunc(s.waiting, a, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.caller.load.spec.Tier, y.caller.load.spec.Tier), cmp.Compare(x.sent, y.sent))
	})
	s.waiting = slices.Insert(s.waiting, at, a)
}

func (s *server) start(a *attempt) {
	cached := s.cache.use(a.caller.prefixes, s.recordEvent)
	prompt := workPerPromptToken * float64(a.caller.input) * (1 - cached)
	a.firstAt = s.clock + prompt + 1
	a.lastAt = a.firstAt + float64(a.caller.output-1)
	s.running = append(s.running, a)
}

// remove removes an attempt, finished or not, and starts a waiting one in its slot.
func (s *server) remove(now time.Duration, a *attempt) {
	s.advance(now)
	if i := slices.Index(s.waiting, a); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if i := slices.Index(s.running, a); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if len(s.waiting) > 0 && len(s.running) < maxBatch {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

// produced returns the number of answer tokens that an attempt has generated.
func (s *server) produced(a *attempt) int {
	if a.first == 0 {
		return 0
	}
	return min(int(s.clock-a.firstAt)+1, a.caller.output)
}

// nextToken returns the time of the next first or last token of an answer, or false
// if the server is idle.
func (s *server) nextToken() (time.Duration, bool) {
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
	return s.advanced + time.Duration(nearest*float64(s.tokenInterval())) + time.Microsecond, true
}

func (s *server) recordEvent(prefix uint64, stored bool) {
	s.next++
	s.events = append(s.events, engineapi.CacheEvent{Sequence: s.next, Prefix: prefix, Stored: stored})
	if len(s.events) > maxCacheEvents {
		s.events = s.events[len(s.events)-maxCacheEvents:] // leaves a gap in the sequence
	}
}

func (s *server) report(now time.Time) engineapi.LoadReport {
	return engineapi.LoadReport{
		Epoch: s.Epoch, Running: len(s.running), Waiting: len(s.waiting),
		CacheUse: 0.5, UnixMillis: now.UnixMilli(),
	}
}

// prefixCache holds prefix blocks and evicts the least recently used first.
type prefixCache struct {
	lastUse map[uint64]int // number of the last use, by block
	order   []cacheUse     // oldest first; evict skips all but the last use of a block
	uses    int
}

type cacheUse struct {
	prefix uint64
	use    int
}

// use returns the share of a prompt that is cached, 0 to 1, and adds the prompt to
// the cache. It calls record for each block that is stored or evicted.
func (c *prefixCache) use(prefixes []uint64, record func(prefix uint64, stored bool)) float64 {
	if c.lastUse == nil {
		c.lastUse = map[uint64]int{}
	}
	cached := 0
	for i, p := range prefixes {
		if _, ok := c.lastUse[p]; ok && cached == i {
			cached = i + 1
		}
	}
	for _, p := range prefixes {
		if _, ok := c.lastUse[p]; !ok {
			record(p, true)
		}
		c.uses++
		c.lastUse[p] = c.uses
		c.order = append(c.order, cacheUse{prefix: p, use: c.uses})
	}
	for len(c.lastUse) > maxCacheBlocks {
		c.evict(record)
	}
	return float64(cached) / float64(len(prefixes))
}

func (c *prefixCache) evict(record func(prefix uint64, stored bool)) {
	oldest := c.order[0]
	c.order = c.order[1:]
	if c.lastUse[oldest.prefix] == oldest.use {
		delete(c.lastUse, oldest.prefix)
		record(oldest.prefix, false)
	}
}
