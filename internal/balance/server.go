package balance

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
)

const (
	// failureWeight is the weight of a new outcome in a server's failure rate.
	failureWeight = 0.15
	// suspectFirst and suspectMost bound how long a server that could not be
	// reached gets no work; the time doubles with each failure in a row.
	suspectFirst = 250 * time.Millisecond
	suspectMost  = 4 * time.Second
	// fullPause is how long a server that refused work for lack of room gets none.
	fullPause = 100 * time.Millisecond
	// misdirectedPause is how long a server whose address another one has gets none.
	misdirectedPause = 5 * time.Second
	// coldSpan is the span over which the requests to a cold server are counted.
	coldSpan = time.Second + 50*time.Millisecond
	// partLifetime is how long a prompt part is taken to stay in a server's cache.
	partLifetime = 30 * time.Second
)

// server is what this instance knows of one backend server.
type server struct {
	directory.Server
	zoneOut bool

	inFlight int // own requests
	prefill  int // own prompt tokens sent whose first event has not come
	others   othersLoad

	slowdown     slowdown
	failureRate  float64 // 0 to 1, over recent outcomes
	unreached    int     // failures to reach it in a row
	suspectUntil boottime.Instant
	fullUntil    boottime.Instant
	coldUntil    boottime.Instant // judged here, beside what the server says
	coldSends    []boottime.Instant
	parts        map[uint64]boottime.Instant // last use of prompt parts
	outcomes     [len(outcomeNames)]uint64   // attempts that ended, by outcome
}

func newServer() *server { return &server{parts: map[uint64]boottime.Instant{}} }

// usable reports whether the server takes new work at all.
func (s *server) usable() bool { return !s.Draining && !s.zoneOut }

// cold reports whether the server bears only few requests a second.
func (s *server) cold(now boottime.Instant) bool {
	return now.Before(s.ColdUntil) || now.Before(s.coldUntil)
}

// suspect reports whether the server was not reached lately. When the pause is
// over, one request at a time tries it.
func (s *server) suspect(now boottime.Instant) bool {
	return s.unreached > 0 && (now.Before(s.suspectUntil) || s.inFlight > 0)
}

// coldRoom reports whether a cold server may get one more request within the
// number that this instance may send in any second.
func (s *server) coldRoom(now boottime.Instant, share int) bool {
	recent := 0
	for _, sent := range s.coldSends {
		if now.Sub(sent) < coldSpan {
			recent++
		}
	}
	return recent < share
}

func (s *server) noteColdSend(now boottime.Instant) {
	kept := s.coldSends[:0]
	for _, sent := range s.coldSends {
		if now.Sub(sent) < coldSpan {
			kept = append(kept, sent)
		}
	}
	s.coldSends = append(kept, now)
}

// cachedTokens sums the leading parts of a prompt that the server probably holds.
func (s *server) cachedTokens(now boottime.Instant, parts []Part) int {
	tokens := 0
	for _, p := range parts {
		used, ok := s.parts[p.ID]
		if !ok || now.Sub(used) > partLifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// noteParts remembers a prompt that the server will hold.
func (s *server) noteParts(now boottime.Instant, parts []Part) {
	s.makeRoom(now)
	for _, p := range parts {
		s.parts[p.ID] = now
	}
}

// noteIDs does the same by the parts' IDs.
func (s *server) noteIDs(now boottime.Instant, ids []uint64) {
	s.makeRoom(now)
	for _, id := range ids {
		s.parts[id] = now
	}
}

// maxParts is the number of remembered prompt parts from which old ones are dropped.
const maxParts = 4096

// makeRoom drops old parts when there are too many.
func (s *server) makeRoom(now boottime.Instant) {
	if len(s.parts) <= maxParts {
		return
	}
	for id, used := range s.parts {
		if now.Sub(used) > partLifetime {
			delete(s.parts, id)
		}
	}
	if len(s.parts) > maxParts {
		clear(s.parts)
	}
}

// ended takes the outcome of one attempt.
func (s *server) ended(now boottime.Instant, o Outcome) {
	s.outcomes[o]++
	switch o {
	case Unreached, Silent:
		s.unreached++
		pause := min(suspectFirst<<min(s.unreached-1, 10), suspectMost)
		s.suspectUntil = now.Add(pause)
		s.parts = map[uint64]boottime.Instant{}
	case Misdirected:
		s.unreached++
		s.suspectUntil = now.Add(misdirectedPause)
	case Full:
		s.fullUntil = now.Add(fullPause)
	case Answered:
		s.unreached = 0
	}
	if failed, counts := o.failed(); counts {
		sample := 0.0
		if failed {
			sample = 1
		}
		s.failureRate += failureWeight * (sample - s.failureRate)
	}
}
