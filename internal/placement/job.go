package placement

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routing"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// Listener hears what becomes of a job. Each Submit and each Retry is answered by
// exactly one of Started and Refused, unless Abandon comes first. The engine calls
// it while it handles an event; it must not call back.
type Listener interface {
	Started(traffic.Target)
	Refused(*result.Error)
	// Preempt asks the job to give its slots up.
	Preempt()
}

// Job is one request in the engine.
type Job struct {
	request  *traffic.Request
	listener Listener
	class    *class
	pool     *pool
	entry    admission.Entry[*Job]
	expires  time.Time // when the wait ends
	admitted bool      // had a slot once
	floor    bool      // started because its class's floor was due
	held     []held
	tried    []string
	attempts int
	cost     float64 // expected tokens charged to the organisation

	chosen     *routing.Candidate // by the fit check that precedes a start
	preempting bool               // was asked to give its slots up
	asked      bool               // has preempted another while it waited

	// Neighbours among the running jobs of a tier, oldest first.
	newer, older *Job
}

// held is a target in use.
type held struct {
	target    traffic.Target
	candidate *routing.Candidate
	started   time.Time
}

// Request returns the job's request.
func (j *Job) Request() *traffic.Request { return j.request }

func (j *Job) tier() int { return j.class.spec.Tier }

// holding returns the index of a held target, -1 when it is not held.
func (j *Job) holding(t traffic.Target) int {
	for i := range j.held {
		if j.held[i].target.Server == t.Server {
			return i
		}
	}
	return -1
}

// runs is the list of a tier's running jobs.
type runs struct{ oldest, newest *Job }

func (r *runs) add(j *Job) {
	j.older, j.newer = r.newest, nil
	if r.newest != nil {
		r.newest.newer = j
	} else {
		r.oldest = j
	}
	r.newest = j
}

func (r *runs) remove(j *Job) {
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
