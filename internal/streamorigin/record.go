package streamorigin

import (
	"context"

	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// record implements gateway.OriginRecord.
type record struct {
	registry *Registry
	attempt  digest
	group    string // of the route, "" if it is not known
	service  string
	version  string // of the last Sending
	sending  bool   // Sending was called
	item     *item  // record of version, nil if there is none
	next     int    // ordinal of the next record
	omitted  bool   // a version needed no record, and may get one of ordinal 0 after a restore
	failure  error  // why there is no record although one is needed
	lost     bool   // Lost was called
	ended    bool
}

var _ gateway.OriginRecord = (*record)(nil)

// Track implements gateway.Origins.
func (r *Registry) Track(attempt, service string) gateway.OriginRecord {
	return r.track("", attempt, service)
}

func (r *Registry) track(group, attempt, service string) *record {
	return &record{registry: r, attempt: digestOf(attempt), group: group, service: service}
}

// Sending implements gateway.OriginRecord.
func (c *record) Sending(version string) {
	if c.sending && version == c.version && c.failure == nil {
		return
	}
	c.withdraw()
	c.skipOmitted()
	c.sending, c.version, c.failure = true, version, nil
	if c.next == 0 && c.registry.mayOmit(c.group, c.service, version) {
		return
	}
	if !c.registry.listRecent() {
		c.failure = &NotRecordedError{Service: c.service, Version: c.version, Reason: "the list of servers is too old"}
		return
	}
	c.submit()
}

// withdraw gives up the record of the last version. One that was never handed to a transaction
// leaves no trace.
func (c *record) withdraw() {
	if c.item == nil {
		return
	}
	if !c.registry.abandon(c.item) {
		c.next--
	}
	c.item = nil
}

// skipOmitted lets further records count rather than that of a version that needed none.
func (c *record) skipOmitted() {
	if c.omitted {
		c.next = max(c.next, 1)
	}
}

// submit queues a record of the version.
func (c *record) submit() {
	if len(c.version) > maxVersionBytes || c.next >= maxOrdinals {
		c.failure = &NotRecordedError{Service: c.service, Version: c.version, Reason: "the version is too long, or the attempt used too many"}
		return
	}
	i := &item{id: originID{attempt: c.attempt, ordinal: uint8(c.next)}, origin: c.row(), done: make(chan struct{})}
	if err := i.encode(c.registry.epoch()); err != nil {
		c.failure = &NotRecordedError{Service: c.service, Version: c.version, Reason: "cannot encode the record", Err: err}
		return
	}
	if !c.registry.submit(i) {
		c.failure = &NotRecordedError{Service: c.service, Version: c.version, Reason: "too many records wait to be written"}
		return
	}
	c.item = i
	c.next++
}

// Confirm implements gateway.OriginRecord. The error is a *NotRecordedError.
func (c *record) Confirm(ctx context.Context) error {
	if c.item == nil && c.failure == nil {
		epoch := c.registry.epoch()
		if c.registry.mayOmit(c.group, c.service, c.version) && c.next == 0 {
			c.omitted = true
			c.registry.remember(c.attempt, ownOrigin{origin: c.row(), epoch: epoch})
			return nil
		}
		c.submit()
	}
	for c.failure == nil {
		select {
		case <-c.item.done:
			if c.registry.rememberHeld(c.attempt, c.item) {
				return nil
			}
			// The store was restored since, and may have lost the record.
			c.registry.abandon(c.item)
			c.submit()
		case <-ctx.Done():
			c.failure = &NotRecordedError{Service: c.service, Version: c.version, Reason: "not acknowledged by the store in time", Err: context.Cause(ctx)}
		}
	}
	c.registry.countFailure(c.failure)
	return c.failure
}

// row returns what the record says now.
func (c *record) row() originRow {
	return originRow{Service: c.service, Version: c.version, Unknown: c.lost}
}

// Lost implements gateway.OriginRecord. The record of it is written also after Ended. If that
// fails, resumptions at other instances still find the version that was believed.
func (c *record) Lost() {
	c.lost = true
	c.withdraw()
	c.skipOmitted()
	c.registry.remember(c.attempt, ownOrigin{origin: c.row(), ordinal: c.next, epoch: noEpoch})
	c.submit()
	if c.failure != nil {
		c.registry.countFailure(c.failure)
	}
	c.item = nil
}

// Ended implements gateway.OriginRecord.
func (c *record) Ended() {
	if c.ended {
		return
	}
	c.ended = true
	if c.item != nil {
		c.registry.abandon(c.item)
		c.item = nil
	}
}

// submit queues an item. It returns false if the queue is full.
func (r *Registry) submit(i *item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.queue.add(i) {
		return false
	}
	r.signal()
	return true
}

// abandon notes that nobody waits for an item any more. It reports whether the item was handed to
// a transaction, which may take effect. It is then deleted later.
func (r *Registry) abandon(i *item) (sent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.abandoned {
		return i.sent
	}
	i.abandoned = true
	if i.sent {
		r.queue.expire(i.table, r.now().Add(r.times().recordLifetime()), i.id)
	}
	return i.sent
}

// rememberHeld keeps the origin of a stream that this instance begins now, if the store has its
// written item for certain.
func (r *Registry) rememberHeld(attempt digest, i *item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.epoch != r.epoch() {
		return false
	}
	r.own.add(attempt, ownOrigin{origin: i.origin, ordinal: int(i.id.ordinal), epoch: i.epoch, began: r.now()})
	return true
}

// listRecent reports whether the list of servers, if one was read, is younger than trust. A version
// that has not been listed for longer must begin no stream.
func (r *Registry) listRecent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.AsOf.IsZero() || r.now().Sub(r.view.AsOf) <= r.times().trust
}

// remember keeps the origin of a stream that needed no record, or whose origin was lost. If a
// restore was noticed meanwhile, a record is written.
func (r *Registry) remember(attempt digest, own ownOrigin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own.began = r.now()
	r.own.add(attempt, own)
	if own.epoch < r.seenEpoch {
		r.rewrite(attempt)
	}
}
