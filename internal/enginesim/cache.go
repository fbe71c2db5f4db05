package enginesim

import "container/list"

// Part is a section of a prompt. Parts with equal ids are identical.
type Part struct {
	ID     uint64
	Tokens int
}

// cache holds prompt parts and evicts the least recently used first.
type cache struct {
	parts  map[uint64]*list.Element // of Part
	recent *list.List               // of Part, most recently used first
	tokens int
}

func newCache() *cache { return &cache{parts: map[uint64]*list.Element{}, recent: list.New()} }

// cachedTokens returns the number of tokens in the leading parts that are cached,
// and marks these parts as used.
func (c *cache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		e, ok := c.parts[p.ID]
		if !ok {
			break
		}
		c.recent.MoveToFront(e)
		tokens += p.Tokens
	}
	return tokens
}

// store adds parts, and then evicts until the cache holds at most limit tokens.
func (c *cache) store(parts []Part, limit int) {
	for _, p := range parts {
		if e, ok := c.parts[p.ID]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.recent.PushFront(p)
		c.tokens += p.Tokens
	}
	c.evict(limit)
}

// evict removes parts until the cache holds at most limit tokens.
func (c *cache) evict(limit int) {
	for c.tokens > max(limit, 0) && c.recent.Len() > 0 {
		last := c.recent.Back()
		p := c.recent.Remove(last).(Part)
		delete(c.parts, p.ID)
		c.tokens -= p.Tokens
	}
}
