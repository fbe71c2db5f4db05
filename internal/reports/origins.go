package reports

import (
	"fmt"
	"io"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// loadsTTL is how long a load is used after its origin took it. It covers the
	// heartbeat interval and the reports over three connections.
	loadsTTL = 4 * time.Second
	// originTTL is how long the sequence number of a silent origin is remembered, so
	// that an old snapshot is still recognised after its load has expired.
	originTTL = time.Minute
	// maxOrigins bounds the number of origins. Snapshots of others are refused.
	maxOrigins = 4096
)

// refusal is the reason why a snapshot was not accepted. The zero value means that it
// was.
type refusal int

// Refusals.
const (
	accepted      refusal = iota
	refusedOwn            // taken by this instance
	refusedKnown          // not newer than the known snapshot of the same incarnation
	refusedStart          // taken by an earlier incarnation than the known one
	refusedOld            // older than loadsTTL
	refusedExcess         // more than maxOrigins
)

var refusalNames = [...]string{
	accepted: "", refusedOwn: "own", refusedKnown: "known", refusedStart: "earlier start", refusedOld: "expired", refusedExcess: "too many origins",
}

// origin is the newest known snapshot of another instance.
type origin struct {
	snapshot  Snapshot
	takenAt   boottime.Instant  // when the origin took the snapshot
	startedAt boottime.Instant  // when the incarnation started
	relation  Relation          // to the instance that the snapshot was received from
	topics    map[string][]byte // the newest states of the incarnation
	expired   bool              // older than loadsTTL; the load is dropped
}

// origins holds the newest snapshot of each other instance. Accepting the snapshots of
// an incarnation is idempotent and commutative: the result does not depend on how
// often, in which order and over which instances they arrive. It is not safe for
// concurrent use.
type origins struct {
	self    string
	byName  map[string]*origin
	refused [len(refusalNames)]uint64
}

func newOrigins(self string) *origins { return &origins{self: self, byName: map[string]*origin{}} }

// accept stores a snapshot that an instance with the given relation sent, if it is
// news. It returns nil otherwise. replaced is the earlier run of an instance that has
// restarted, or nil.
func (o *origins) accept(now boottime.Instant, relation Relation, s Snapshot) (news *origin, replaced *Origin) {
	received := &origin{snapshot: s, takenAt: now.Add(-s.age()), relation: relation}
	received.startedAt = received.takenAt.Add(-s.uptime())
	if reason := o.check(now, received); reason != accepted {
		o.refused[reason]++
		return nil, nil
	}
	received.topics = s.Topics
	if known := o.byName[s.Origin]; known != nil {
		if known.snapshot.Incarnation == s.Incarnation {
			received.topics = mergeTopics(known.topics, s.Topics)
			if known.expired { // the states were forgotten
				received.snapshot.Topics = received.topics
			}
		} else {
			earlier := known.snapshot.origin()
			replaced = &earlier
		}
	}
	o.byName[s.Origin] = received
	return received, replaced
}

// check returns why a snapshot is not news.
func (o *origins) check(now boottime.Instant, received *origin) refusal {
	name := received.snapshot.Origin
	known := o.byName[name]
	switch {
	case name == o.self:
		return refusedOwn
	case received.isExpired(now):
		return refusedOld
	case known == nil && len(o.byName) >= maxOrigins:
		return refusedExcess
	case known == nil:
		return accepted
	}
	return known.compare(received)
}

// isExpired reports whether the load must not be used. An age below zero is not
// possible.
func (r *origin) isExpired(now boottime.Instant) bool {
	age := now.Sub(r.takenAt)
	return age > loadsTTL || age < 0
}

// compare returns why another snapshot of the same origin does not replace this one.
// An instance that starts anew counts from 1 again, so the later start wins. The start
// is estimated, and decides only while the known load is used.
func (r *origin) compare(received *origin) refusal {
	switch {
	case received.snapshot.Incarnation == r.snapshot.Incarnation:
		if received.snapshot.Sequence <= r.snapshot.Sequence {
			return refusedKnown
		}
	case !r.expired && !r.startedAt.Before(received.startedAt):
		return refusedStart
	}
	return accepted
}

// expire drops loads that are older than loadsTTL, and origins that are older than
// originTTL. It returns the instances whose loads were dropped.
func (o *origins) expire(now boottime.Instant) (gone []Origin) {
	for name, r := range o.byName {
		if !r.expired && r.isExpired(now) {
			r.expired = true
			r.snapshot.Loads = nil
			gone = append(gone, r.snapshot.origin())
		}
		if now.Sub(r.takenAt) > originTTL {
			delete(o.byName, name)
		}
	}
	return gone
}

// sum returns the total load, as of now, by server ID. rates are the servers' prefill
// rates, or zero for the default.
func (o *origins) sum(now boottime.Instant, rates map[string]float64) map[string]balance.Load {
	total := map[string]balance.Load{}
	for _, r := range o.byName {
		age := now.Sub(r.takenAt)
		for server, l := range r.snapshot.Loads {
			total[server] = total[server].Add(l.AfterAt(age, rates[server]))
		}
	}
	return total
}

// live returns the number of origins whose loads are used.
func (o *origins) live() int {
	n := 0
	for _, r := range o.byName {
		if !r.expired {
			n++
		}
	}
	return n
}

// writeMetrics writes the number of refused snapshots in the Prometheus text format.
func (o *origins) writeMetrics(w io.Writer) {
	for reason, count := range o.refused {
		if reason != int(accepted) {
			fmt.Fprintf(w, "hawthornwick_load_snapshots_refused_total{reason=%q} %d\n", refusalNames[reason], count)
		}
	}
}
