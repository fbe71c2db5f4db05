package streamorigin

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// maxBatchRows and maxBatchBytes bound one transaction.
	maxBatchRows  = 50
	maxBatchBytes = 256 << 10
	// maxPending bounds the records that wait to be written.
	maxPending = 4096
	// maxExpiring bounds the written records of one table that this instance deletes itself.
	maxExpiring = 8192
	// deleteDelay is how long a deletion waits for a batch.
	deleteDelay = 5 * time.Second
)

// item is a record that is to be written.
type item struct {
	id        originID
	origin    originRow
	value     []byte        // of origin
	sent      bool          // handed to a transaction, which may take effect
	abandoned bool          // nobody waits for it
	table     int           // that it was handed to last
	epoch     uint64        // of the store when it was written
	again     bool          // lost in a restore; nobody waits for it
	done      chan struct{} // closed once it is written; nil if again is true
}

// expiring is a record that is deleted at a time.
type expiring struct {
	at boottime.Instant
	id originID
}

// queue holds what is to be written, in order. It is not safe for concurrent use.
type queue struct {
	items      []*item
	again      []*item          // lost in a restore, written after items
	againSince boottime.Instant // when the restore was noticed
	expired    [][]expiring     // by table
}

func newQueue(tables int) *queue { return &queue{expired: make([][]expiring, tables)} }

// add appends an item. It returns false if the queue is full.
func (q *queue) add(i *item) bool {
	if len(q.items) >= maxPending {
		q.dropAbandoned()
	}
	if len(q.items) >= maxPending {
		return false
	}
	q.items = append(q.items, i)
	return true
}

func (q *queue) dropAbandoned() {
	q.items = slices.DeleteFunc(q.items, func(i *item) bool { return i.abandoned })
}

// pending returns the number of items that somebody waits for.
func (q *queue) pending() int {
	n := 0
	for _, i := range q.items {
		if !i.abandoned {
			n++
		}
	}
	return n
}

// expire has a record of a table deleted at a time. If there are too many, the sweep does it.
func (q *queue) expire(table int, at boottime.Instant, id originID) {
	if len(q.expired[table]) < maxExpiring {
		q.expired[table] = append(q.expired[table], expiring{at: at, id: id})
	}
}

// encode sets the value for the store's epoch in which the item is handed to a transaction.
func (i *item) encode(epoch uint64) error {
	if i.value != nil && i.origin.Epoch == epoch {
		return nil
	}
	origin := i.origin
	origin.Epoch = epoch
	value, err := json.Marshal(origin)
	if err != nil {
		return fmt.Errorf("encode a record: %w", err)
	}
	i.origin, i.value = origin, value
	return nil
}

// batch is one transaction.
type batch struct {
	epoch   uint64 // of the store when it was taken
	table   int
	items   []*item
	deletes []originID
}

// fill moves items to the batch while there is room, and returns the others.
func (b *batch) fill(items []*item) (rest []*item) {
	bytes := 0
	for _, i := range b.items {
		bytes += len(i.value)
	}
	for len(items) > 0 && len(b.items) < maxBatchRows {
		next := items[0]
		if bytes += len(next.value); bytes > maxBatchBytes && len(b.items) > 0 {
			break
		}
		next.sent = true
		b.items, items = append(b.items, next), items[1:]
	}
	return items
}

// take removes the next batch for a table. Deletions fill up a batch with items; without items
// they are taken once there are enough of them, or they have waited for deleteDelay.
func (q *queue) take(now boottime.Instant, table int) (batch, bool) {
	q.dropAbandoned()
	b := batch{table: table}
	q.items = b.fill(q.items)
	q.again = b.fill(q.again)
	if len(b.items) > 0 {
		b.deletes = q.takeExpired(now, table, maxBatchRows-len(b.items))
		return b, true
	}
	for t, list := range q.expired {
		full := len(list) >= maxBatchRows && !now.Before(list[maxBatchRows-1].at)
		if len(list) > 0 && (full || !now.Before(list[0].at.Add(deleteDelay))) {
			return batch{table: t, deletes: q.takeExpired(now, t, maxBatchRows)}, true
		}
	}
	return batch{}, false
}

func (q *queue) takeExpired(now boottime.Instant, table, limit int) []originID {
	var ids []originID
	list := q.expired[table]
	for len(ids) < min(limit, len(list)) && !now.Before(list[len(ids)].at) {
		ids = append(ids, list[len(ids)].id)
	}
	q.expired[table] = list[len(ids):]
	return ids
}

// putBack returns the items of a failed batch to the front of their lists. The deletions are put back too,
// since they are harmless if they took effect.
func (q *queue) putBack(now boottime.Instant, b batch) {
	var items, again []*item
	for _, i := range b.items {
		switch {
		case i.again:
			again = append(again, i)
		case !i.abandoned:
			items = append(items, i)
		}
	}
	q.items = append(items, q.items...)
	q.again = append(again, q.again...)
	due := make([]expiring, 0, len(b.deletes))
	for _, id := range b.deletes {
		due = append(due, expiring{at: now, id: id})
	}
	q.expired[b.table] = append(due, q.expired[b.table]...)
}

// txn returns the batch's transaction.
func (b batch) txn() platform.Txn {
	var txn platform.Txn
	for _, i := range b.items {
		txn.Writes = append(txn.Writes, platform.Write{Key: i.id.key(), Value: i.value})
	}
	for _, id := range b.deletes {
		txn.Writes = append(txn.Writes, platform.Write{Key: id.key(), Delete: true})
	}
	return txn
}
