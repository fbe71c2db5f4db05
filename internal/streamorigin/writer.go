package streamorigin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	// minWriteTimeout bounds one transaction. It doubles with each failure up to maxWriteTimeout,
	// since the store may be slow.
	minWriteTimeout = 300 * time.Millisecond
	maxWriteTimeout = 2400 * time.Millisecond
	// minWriteRetryDelay and maxWriteRetryDelay bound the delay after failed transactions.
	minWriteRetryDelay = 20 * time.Millisecond
	maxWriteRetryDelay = time.Second
	// idleCheckInterval is the interval between two checks for deletions that are due.
	idleCheckInterval = time.Second
	// warningInterval is the least time between two warnings about records that were not written.
	warningInterval = 10 * time.Second
)

// writeLoop writes the queue, one transaction at a time, until ctx ends. An idle writer writes at
// once; else transactions are apart by this instance's part of Options.Rate.
func (r *Registry) writeLoop(ctx context.Context) {
	failures, times := 0, latency{known: true}
	for ctx.Err() == nil {
		b, ok := r.nextBatch()
		if !ok {
			r.awaitWork(ctx)
			continue
		}
		start := r.now()
		err := r.write(ctx, b, times.timeout(writeTimeout(failures)))
		delay := writeInterval(r.options.Instances(), r.options.Rate)
		if err != nil {
			failures++
			delay = retryDelay(delay, failures)
			r.options.Logger.Debug("writing records of streams failed; trying again", "records", len(b.items), "deletions", len(b.deletes), "after", r.now().Sub(start), "in", delay, "error", err)
		} else {
			failures = 0
			times.add(r.now().Sub(start))
		}
		_ = wait.For(ctx, max(0, delay-r.now().Sub(start)))
	}
}

func writeTimeout(failures int) time.Duration {
	return min(minWriteTimeout<<min(failures, 8), maxWriteTimeout)
}

// retryDelay doubles a delay with each failure up to maxWriteRetryDelay, and spreads it.
func retryDelay(delay time.Duration, failures int) time.Duration {
	delay = max(delay, minWriteRetryDelay)
	longer := min(delay<<min(failures-1, 6), max(delay, maxWriteRetryDelay))
	return longer + rand.N(longer/2)
}

func (r *Registry) awaitWork(ctx context.Context) {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	select {
	case <-r.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Registry) nextBatch() (batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.queue.take(r.now(), r.table)
	b.epoch = r.epoch()
	for _, i := range b.items {
		i.table = b.table
		if err := i.encode(b.epoch); err != nil {
			r.options.Logger.Error("cannot encode a record; it counts as one of before the last restore of the store", "error", err)
		}
	}
	return b, ok
}

// write writes a batch. If it fails, the batch may have taken effect; it is put back, and the next
// one goes to another table, which may be in a part of the store that works.
func (r *Registry) write(ctx context.Context, b batch, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := r.options.Tables[b.table].Commit(ctx, b.txn())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counts.failedTxns++
		r.queue.putBack(r.now(), b)
		r.table = (r.table + 1) % len(r.options.Tables)
		return err
	}
	r.counts.txns++
	r.counts.written += uint64(len(b.items))
	r.counts.deleted += uint64(len(b.deletes))
	r.noteWritten(b)
	return nil
}

// noteWritten notes the items of a batch that was written. The transaction may have come before
// a restore that was learned of since it was taken. The caller must hold r.mu.
func (r *Registry) noteWritten(b batch) {
	now, again := r.now(), 0
	for _, i := range b.items {
		i.epoch = b.epoch
		if i.again {
			r.rewritten(now, i)
			again++
			continue
		}
		close(i.done)
	}
	if again > 0 && len(r.queue.again) == 0 {
		r.options.Logger.Info("the origins of recent streams have been written again", "after", now.Sub(r.queue.againSince))
	}
}

// countFailure counts a stream that could not begin, and warns about them from time to time.
func (r *Registry) countFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.failed++
	r.lostSince++
	now := r.now()
	if !r.lastWarning.IsZero() && now.Sub(r.lastWarning) < warningInterval {
		return
	}
	r.options.Logger.Warn("streams could not begin, since the versions of their servers were not recorded; other servers or the callers try again",
		"streams", r.lostSince, "pending", r.queue.pending(), "last_error", err)
	r.lastWarning, r.lostSince = now, 0
}
