package reports

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// maxQueued bounds the prompts of one origin, and the notices, that are queued for the
// next report to an instance. The oldest are dropped.
const maxQueued = 512

// subscriber is an instance that receives reports from this one. The hub's mutex
// protects it.
type subscriber struct {
	instance     string
	relation     Relation
	wake         chan struct{}
	pending      map[string]pendingSnapshot // by origin
	crashes      []quarantine.Notice
	lastReportAt boottime.Instant
}

// pendingSnapshot is the newest snapshot of an origin that was not sent yet, with the
// prompts of those that it replaced.
type pendingSnapshot struct {
	snapshot Snapshot
	takenAt  boottime.Instant
}

// needs reports whether the subscriber depends on this instance for the snapshots that
// an instance with the given relation sent. Followers receive everything through their
// source; peers receive each other's snapshots directly, and need only those of this
// instance's followers. It saves bytes: a snapshot that arrives by two ways does no
// harm.
func (s *subscriber) needs(relation Relation) bool {
	return s.relation == RelationFollower || relation == RelationFollower
}

// enqueue queues a snapshot for the next report.
func (s *subscriber) enqueue(news Snapshot, takenAt boottime.Instant) {
	if news.Origin == s.instance {
		return
	}
	if earlier, ok := s.pending[news.Origin]; ok {
		news.Sent = keepNewest(slices.Concat(earlier.snapshot.Sent, news.Sent))
		if earlier.snapshot.Incarnation == news.Incarnation {
			news.Topics = mergeTopics(earlier.snapshot.Topics, news.Topics)
		}
	}
	s.pending[news.Origin] = pendingSnapshot{snapshot: news, takenAt: takenAt}
}

// enqueueCrash queues a notice for the next report.
func (s *subscriber) enqueueCrash(n quarantine.Notice) {
	s.crashes = keepNewest(append(s.crashes, n))
}

func keepNewest[T any](queued []T) []T { return queued[max(len(queued)-maxQueued, 0):] }

// wakeUp starts the next report.
func (s *subscriber) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // the previous wake-up is still pending
	}
}

// next returns the next report. It returns false when there is nothing to report and
// no heartbeat is due.
func (s *subscriber) next(now boottime.Instant) (Report, bool) {
	if len(s.pending)+len(s.crashes) == 0 && now.Sub(s.lastReportAt) < heartbeatInterval {
		return Report{}, false
	}
	r := Report{Crashes: s.crashes}
	for _, p := range s.pending {
		p.snapshot.AgeMillis = now.Sub(p.takenAt).Milliseconds()
		r.Snapshots = append(r.Snapshots, p.snapshot)
	}
	clear(s.pending)
	s.crashes, s.lastReportAt = nil, now
	return r, true
}
