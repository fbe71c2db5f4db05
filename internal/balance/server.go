package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/sharedlimit"
)

const (
	// failureWeight is the weight of a new outcome in a server's moving failure
	// rate.
	failureWeight = 0.15
	// minSuspectBackoff and maxSuspectBackoff bound how long a server that could
	// not be reached gets no work. The time doubles with each consecutive failure.
	minSuspectBackoff = 250 * time.Millisecond
	maxSuspectBackoff = 4 * time.Second
	// fullBackoff is how long a server gets no work after it rejected a request for
	// lack of capacity.
	fullBackoff = 100 * time.Millisecond
	// misdirectedBackoff is how long a server gets no work after another server
	// answered at its address.
	misdirectedBackoff = 5 * time.Second
	// partTTL is how long a prompt part is assumed to stay in a server's cache.
	partTTL = 30 * time.Second
)

// statements are what a server has stated in its answers.
type statements = advisory.State[boottime.Instant]

// incarnation identifies one run of a server's process.
type incarnation struct {
	id, address   string
	startedMillis int64
}

// incarnationOf returns the incarnation that a row describes.
func incarnationOf(s directory.Server) incarnation {
	return incarnation{id: s.ID, address: s.Address, startedMillis: s.StartedMillis}
}

// server is this instance's view of one backend server.
type server struct {
	directory.Server
	zoneDrained bool
	stated      *statements

	inFlight       int  // this instance's requests
	trialRunning   bool // one of them is the trial after a pause
	pendingPrefill int  // prompt tokens of this instance's requests whose first event has not arrived
	sensitivity    int  // to prefill, of this instance's requests; see Load.Sensitivity
	others         othersLoad
	tightRank      uint64  // rank for the pool's tightSet
	spread         float64 // see Interference.Spread
	slow           bool    // see updateSpeeds

	slowdown            slowdown
	pace                paceCache
	failureRate         float64 // moving average, 0 to 1
	consecutiveFailures int     // consecutive attempts that did not reach the server
	suspectUntil        boottime.Instant
	fullUntil           boottime.Instant
	coldUntil           boottime.Instant // set by this instance, in addition to the server's own ColdUntil
	sends               sharedlimit.Sends[boottime.Instant]
	ranks               [2]ranking                  // of this instance for the server's limits, in two periods
	parts               map[uint64]boottime.Instant // prompt parts by time of last use
	outcomes            [len(outcomeNames)]uint64   // finished attempts by outcome
	pauses              uint64                      // pauses that the server asked for
}

func newServer(stated *statements) *server {
	return &server{stated: stated, parts: map[uint64]boottime.Instant{}}
}

// usable reports whether the server accepts new work at all.
func (s *server) usable() bool { return !s.leaving() && !s.zoneDrained }

// leaving reports whether the server stops soon, according to its row or its answers. A
// row cannot take back what an answer has stated.
func (s *server) leaving() bool { return s.Draining || s.stated.Leaving() }

// cold reports whether the server's request rate is limited since it has just started or
// returned.
func (s *server) cold(now boottime.Instant) bool {
	return now.Before(s.ColdUntil) || now.Before(s.coldUntil)
}

// suspect reports whether the last attempts did not reach the server. After the
// backoff, one request at a time probes it.
func (s *server) suspect(now boottime.Instant) bool {
	return s.consecutiveFailures > 0 && (now.Before(s.suspectUntil) || s.inFlight > 0)
}

// cachedTokens returns the number of leading prompt tokens that the server probably
// caches.
func (s *server) cachedTokens(now boottime.Instant, parts []Part) int {
	tokens := 0
	for _, p := range parts {
		used, ok := s.parts[p.ID]
		if !ok || now.Sub(used) > partTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// recordParts records the parts of a prompt that is sent to the server, which will
// then cache them.
func (s *server) recordParts(now boottime.Instant, parts []Part) {
	s.evictParts(now)
	for _, p := range parts {
		s.parts[p.ID] = now
	}
}

// recordPartIDs is like recordParts, for parts given by ID.
func (s *server) recordPartIDs(now boottime.Instant, ids []uint64) {
	s.evictParts(now)
	for _, id := range ids {
		s.parts[id] = now
	}
}

// maxParts is the number of recorded prompt parts above which expired ones are
// evicted.
const maxParts = 4096

// evictParts removes expired parts when there are too many, and all parts if that
// is not enough.
func (s *server) evictParts(now boottime.Instant) {
	if len(s.parts) <= maxParts {
		return
	}
	for id, used := range s.parts {
		if now.Sub(used) > partTTL {
			delete(s.parts, id)
		}
	}
	if len(s.parts) > maxParts {
		clear(s.parts)
	}
}

// recordOutcome updates the server's state with the outcome of one attempt.
func (s *server) recordOutcome(now boottime.Instant, o Outcome) {
	s.outcomes[o]++
	switch o {
	case Unreached, Silent:
		s.consecutiveFailures++
		backoff := min(minSuspectBackoff<<min(s.consecutiveFailures-1, 10), maxSuspectBackoff)
		s.suspectUntil = now.Add(backoff)
		s.parts = map[uint64]boottime.Instant{}
	case Misdirected:
		s.consecutiveFailures++
		s.suspectUntil = now.Add(misdirectedBackoff)
	case Full:
		s.fullUntil = now.Add(fullBackoff)
	case Answered:
		s.consecutiveFailures = 0
	}
	if failed, counts := o.isFailure(); counts {
		sample := 0.0
		if failed {
			sample = 1
		}
		s.failureRate += failureWeight * (sample - s.failureRate)
	}
}
