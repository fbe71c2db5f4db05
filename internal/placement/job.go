package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Listener receives the outcome of a job. Each call of Submit and of Retry is
// followed by exactly one call of Started or Refused, unless Abandon is called
// first. The engine calls the methods while it handles an event; they must not
// call back into the engine.
type Listener interface {
	Started(traffic.Target)
	Refused(*result.Error)
	// Preempt requests that the job release its slots.
	Preempt()
}

// Job is one request in the engine.
type Job struct {
	request        *traffic.Request
	listener       Listener
	class          *class
	pool           *pool
	entry          admission.Entry[*Job]
	waitDeadline   time.Time // when the wait times out
	admitted       bool      // has held a slot
	startedByFloor bool      // started for the guaranteed minimum share of its class
	held           []heldTarget
	tried          []string
	attempts       int
	cost           float64 // expected output tokens charged to the organisation

	chosen       *routing.Candidate // set by fits before the job is started
	preempting   bool               // was requested to release its slots
	hasPreempted bool               // has preempted another job while waiting

	// newer and older link the running jobs of a tier, ordered by start.
	newer, older *Job
}

// heldTarget is a target on which the job holds a slot.
type heldTarget struct {
	target    traffic.Target
	candidate *routing.Candidate
	started   time.Time
	trial     bool // see routing.LiveState.StartAttempt
}

// Request returns the job's request.
func (j *Job) Request() *traffic.Request { return j.request }

func (j *Job) tier() int { return j.class.spec.Tier }

// heldIndex returns the index of a held target, or -1 if it is not held.
func (j *Job) heldIndex(t traffic.Target) int {
	for i := range j.held {
		if j.held[i].target.Server == t.Server {
			return i
		}
	}
	return -1
}

// jobList is a linked list of the running jobs of a tier.
type jobList struct{ oldest, newest *Job }

func (r *jobList) add(j *Job) {
	j.older, j.newer = r.newest, nil
	if r.newest != nil {
		r.newest.newer = j
	} else {
		r.oldest = j
	}
	r.newest = j
}

func (r *jobList) remove(j *Job) {
	if j.older != nil {
		j.older.newer = j.newer
	} else {
		r.oldest = j.newer
	}
	if j.newer != nil {
		j.newer.older = j.older
	} else {
		r.newest = j.older
	}
	j.older, j.newer = nil, nil
}
