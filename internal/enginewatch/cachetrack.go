package enginewatch

import "github.com/hawthornwick/hawthornwick/internal/engineapi"

// maxHeld bounds the prefixes held back for one digest.
const maxHeld = maxPrefixes / 2

// cacheTrack is the position in one engine's cache events, and the changes that
// are still to be sent.
type cacheTrack struct {
	epoch    uint64
	position uint64 // last event taken
	given    uint64 // sequence number last given to the sink

	from  uint64 // position after the last digest
	clear bool   // what was sent before is void
	held  []engineapi.CacheEvent
}

// read takes a batch that was read from the engine after the position. It
// returns what is new for the sink; again is true when the batch is of another
// epoch than the position and must be read from the start.
func (c *cacheTrack) read(batch engineapi.CacheEvents) (news engineapi.CacheEvents, again bool) {
	if batch.Epoch < c.epoch {
		return engineapi.CacheEvents{}, false
	}
	if batch.Epoch > c.epoch {
		again = c.position > 0
		c.restart(batch.Epoch)
		if again {
			return engineapi.CacheEvents{}, true
		}
	}
	news.Epoch = batch.Epoch
	for _, e := range batch.Events {
		if e.Sequence <= c.position {
			continue
		}
		if c.position != 0 && e.Sequence != c.position+1 {
			c.lose(e.Sequence - 1)
		}
		c.position = e.Sequence
		c.hold(e)
		news.Events = append(news.Events, c.give(e.Prefix, e.Stored))
	}
	return news, false
}

// merge takes a record of another instance and returns what is new for the
// sink. A gap between the position and the record voids what was known.
func (c *cacheTrack) merge(r *cacheRecord) engineapi.CacheEvents {
	if r.Epoch < c.epoch {
		return engineapi.CacheEvents{}
	}
	if r.Epoch > c.epoch {
		c.restart(r.Epoch)
	}
	if r.To <= c.position {
		return engineapi.CacheEvents{}
	}
	if r.Clear || c.position != 0 && r.From > c.position {
		c.given++
	}
	c.position = r.To
	c.unhold()
	news := engineapi.CacheEvents{Epoch: r.Epoch}
	for _, p := range r.Evicted {
		news.Events = append(news.Events, c.give(p, false))
	}
	for _, p := range r.Stored {
		news.Events = append(news.Events, c.give(p, true))
	}
	return news
}

func (c *cacheTrack) restart(epoch uint64) {
	*c = cacheTrack{epoch: epoch, given: c.given + 1}
}

// lose notes that the events up to one were lost.
func (c *cacheTrack) lose(last uint64) {
	c.given++ // the sink sees a gap
	c.held = c.held[:0]
	c.from = last
	c.clear = true
}

// give numbers an event for the sink. Its numbers are this instance's own: they
// go on without a gap when another instance reads the engine.
func (c *cacheTrack) give(prefix uint64, stored bool) engineapi.CacheEvent {
	c.given++
	return engineapi.CacheEvent{Sequence: c.given, Prefix: prefix, Stored: stored}
}

// hold keeps an event for the next digest.
func (c *cacheTrack) hold(e engineapi.CacheEvent) {
	if len(c.held) >= maxHeld {
		c.from = e.Sequence - 1
		c.clear = true
		c.held = c.held[:0]
	}
	c.held = append(c.held, e)
}

// unhold drops what is held back, since others have sent it.
func (c *cacheTrack) unhold() {
	c.held = c.held[:0]
	c.from = c.position
	c.clear = false
}

// record returns the held events as a record, false when there are none. Only
// prefixes that the sample keeps are in it; a prefix is in it once.
func (c *cacheTrack) record(id serverID, s sample) (cacheRecord, bool) {
	if len(c.held) == 0 {
		return cacheRecord{}, false
	}
	r := cacheRecord{ID: id, Epoch: c.epoch, From: c.from, To: c.position, Clear: c.clear}
	seen := make(map[uint64]bool, len(c.held))
	for i := len(c.held) - 1; i >= 0; i-- {
		e := c.held[i]
		if seen[e.Prefix] || !s.keeps(e.Prefix) {
			continue
		}
		seen[e.Prefix] = true
		if e.Stored {
			r.Stored = append(r.Stored, e.Prefix)
		} else {
			r.Evicted = append(r.Evicted, e.Prefix)
		}
	}
	c.unhold()
	return r, true
}
