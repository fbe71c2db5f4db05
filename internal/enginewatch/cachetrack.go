package enginewatch

import "github.com/hawthornwick/hawthornwick/internal/engineapi"

// maxUnsentEvents bounds the events that are kept for the next digest.
const maxUnsentEvents = maxPrefixes / 2

// cacheTrack is the position in one engine's cache events, together with the
// changes that have not been sent to other instances yet.
type cacheTrack struct {
	epoch        uint64
	position     uint64 // sequence number of the last event applied
	sinkSequence uint64 // last sequence number passed to the sink

	sentUpTo uint64 // position up to which digests were sent
	clear    bool   // receivers must discard what was sent before
	unsent   []engineapi.CacheEvent
}

// applyBatch applies a batch that was read from the engine after the position.
// It returns the events that are new to the sink. reread is true if the batch
// is of a newer epoch than the position, so the engine must be read again from
// the first event.
func (c *cacheTrack) applyBatch(batch engineapi.CacheEvents) (fresh engineapi.CacheEvents, reread bool) {
	if batch.Epoch < c.epoch {
		return engineapi.CacheEvents{}, false
	}
	if batch.Epoch > c.epoch {
		reread = c.position > 0
		c.reset(batch.Epoch)
		if reread {
			return engineapi.CacheEvents{}, true
		}
	}
	fresh.Epoch = batch.Epoch
	for _, e := range batch.Events {
		if e.Sequence <= c.position {
			continue
		}
		if c.position != 0 && e.Sequence != c.position+1 {
			c.recordGap(e.Sequence - 1)
		}
		c.position = e.Sequence
		c.queueUnsent(e)
		fresh.Events = append(fresh.Events, c.emit(e.Prefix, e.Stored))
	}
	return fresh, false
}

// merge applies a record of another instance and returns the events that are
// new to the sink. A gap between the position and the record invalidates
// earlier events.
func (c *cacheTrack) merge(r *cacheRecord) engineapi.CacheEvents {
	if r.Epoch < c.epoch {
		return engineapi.CacheEvents{}
	}
	if r.Epoch > c.epoch {
		c.reset(r.Epoch)
	}
	if r.To <= c.position {
		return engineapi.CacheEvents{}
	}
	if r.Clear || c.position != 0 && r.From > c.position {
		c.sinkSequence++
	}
	c.position = r.To
	c.dropUnsent()
	fresh := engineapi.CacheEvents{Epoch: r.Epoch}
	for _, p := range r.Evicted {
		fresh.Events = append(fresh.Events, c.emit(p, false))
	}
	for _, p := range r.Stored {
		fresh.Events = append(fresh.Events, c.emit(p, true))
	}
	return fresh
}

func (c *cacheTrack) reset(epoch uint64) {
	*c = cacheTrack{epoch: epoch, sinkSequence: c.sinkSequence + 1}
}

// recordGap records that the events up to last were lost.
func (c *cacheTrack) recordGap(last uint64) {
	c.sinkSequence++ // skipping a number makes the sink detect a gap
	c.unsent = c.unsent[:0]
	c.sentUpTo = last
	c.clear = true
}

// emit numbers an event for the sink. The numbers are local to this instance:
// they continue without a gap when another instance becomes the reader of the
// engine.
func (c *cacheTrack) emit(prefix uint64, stored bool) engineapi.CacheEvent {
	c.sinkSequence++
	return engineapi.CacheEvent{Sequence: c.sinkSequence, Prefix: prefix, Stored: stored}
}

// queueUnsent keeps an event for the next digest. If there are too many, it
// drops them and makes receivers discard what was sent before.
func (c *cacheTrack) queueUnsent(e engineapi.CacheEvent) {
	if len(c.unsent) >= maxUnsentEvents {
		c.sentUpTo = e.Sequence - 1
		c.clear = true
		c.unsent = c.unsent[:0]
	}
	c.unsent = append(c.unsent, e)
}

// dropUnsent drops the queued events, either because they are now in a digest
// or because another instance has sent them.
func (c *cacheTrack) dropUnsent() {
	c.unsent = c.unsent[:0]
	c.sentUpTo = c.position
	c.clear = false
}

// record returns the queued events as one record and drops them from the queue.
// The second result is false if there are none. The record contains only
// prefixes that are in the sample, and each of them once, with its last state.
func (c *cacheTrack) record(id serverID, s sample) (cacheRecord, bool) {
	if len(c.unsent) == 0 {
		return cacheRecord{}, false
	}
	r := cacheRecord{ID: id, Epoch: c.epoch, From: c.sentUpTo, To: c.position, Clear: c.clear}
	seen := make(map[uint64]bool, len(c.unsent))
	for i := len(c.unsent) - 1; i >= 0; i-- {
		e := c.unsent[i]
		if seen[e.Prefix] || !s.includes(e.Prefix) {
			continue
		}
		seen[e.Prefix] = true
		if e.Stored {
			r.Stored = append(r.Stored, e.Prefix)
		} else {
			r.Evicted = append(r.Evicted, e.Prefix)
		}
	}
	c.dropUnsent()
	return r, true
}
