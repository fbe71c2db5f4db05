package engine

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// maxCacheEvents bounds the events kept for readers. Older events are dropped,
// which readers detect by the gap in the sequence.
const maxCacheEvents = 1024

// cache holds prompt prefixes and evicts them first in, first out.
type cache struct {
	mu       sync.Mutex
	capacity int
	held     map[uint64]bool
	order    []uint64
	events   []engineapi.CacheEvent
	sequence uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, held: make(map[uint64]bool)}
}

// store adds the prefixes and returns the share of them that was already cached,
// 0 to 1.
func (c *cache) store(prefixes []uint64) float64 {
	if len(prefixes) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for _, p := range prefixes {
		if c.held[p] {
			hits++
			continue
		}
		c.held[p] = true
		c.order = append(c.order, p)
		c.recordEvent(p, true)
	}
	for len(c.order) > c.capacity {
		evicted := c.order[0]
		c.order = c.order[1:]
		delete(c.held, evicted)
		c.recordEvent(evicted, false)
	}
	return float64(hits) / float64(len(prefixes))
}

func (c *cache) recordEvent(prefix uint64, stored bool) {
	c.sequence++
	c.events = append(c.events, engineapi.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.held)
	c.order = nil
	c.events = nil
}

func (c *cache) after(sequence uint64) []engineapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := make([]engineapi.CacheEvent, 0)
	for _, event := range c.events {
		if event.Sequence > sequence {
			events = append(events, event)
		}
	}
	return events
}

func (c *cache) use() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.order)) / float64(c.capacity)
}

// LoseCacheEvents drops the events kept for readers, which leaves a gap in the
// sequence.
func (e *Engine) LoseCacheEvents() {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.events = nil
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.writeJSON(w, http.StatusOK, engineapi.CacheEvents{Epoch: e.Epoch(), Events: e.cache.after(after)})
}
