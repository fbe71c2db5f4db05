package streamorigin

import "github.com/hawthornwick/hawthornwick/internal/boottime"

// After a restore of the store, the base row is invalid and the last records may be lost. Each
// instance then writes the origins of the streams that it began and that may still be resumed,
// also of those that needed no record, at the pace of its writer and after the records of new
// streams. Such a record has the ordinal of the one that was lost, so that it undoes no later one.

// rewriteLost queues what a restore to an epoch may have lost. What still waits of an earlier
// restore is queued anew. The caller must hold r.mu.
func (r *Registry) rewriteLost(now boottime.Instant, epoch uint64) {
	r.queue.again = nil
	for _, d := range r.own.lostBefore(epoch, now, r.times().life) {
		r.rewrite(d)
	}
	if len(r.queue.again) == 0 {
		return
	}
	r.queue.againSince = now
	r.options.Logger.Info("the store was restored from an older copy; the origins of recent streams are written again", "epoch", epoch, "streams", len(r.queue.again))
}

// rewrite queues the record of one stream that this instance began. The caller must hold r.mu.
func (r *Registry) rewrite(d digest) {
	own := r.own.byAttempt[d]
	if own.ordinal >= maxOrdinals || len(own.origin.Version) > maxVersionBytes {
		return
	}
	i := &item{id: originID{attempt: d, ordinal: uint8(own.ordinal)}, origin: own.origin, again: true}
	if err := i.encode(r.epoch()); err != nil {
		r.options.Logger.Error("cannot encode the record of a stream; resumptions of it may be refused", "error", err)
		return
	}
	r.queue.again = append(r.queue.again, i)
	r.signal()
}

// rewritten notes a record that was written again. It is deleted like others. The caller must
// hold r.mu.
func (r *Registry) rewritten(now boottime.Instant, i *item) {
	r.counts.rewritten++
	r.queue.expire(i.table, now.Add(r.times().recordLifetime()), i.id)
}
