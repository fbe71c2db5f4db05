package placement

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// state applies an answer of the server that runs a job.
func (r *rig) state(h *recordingListener, epoch uint64, a advisory.Advisory) {
	r.engine.Stated(r.now, traffic.Statement{Target: h.targets[len(h.targets)-1], Epoch: epoch, Advisory: a, Status: http.StatusOK})
}

// decline ends a job whose server has refused it and asked for a pause.
func (r *rig) decline(h *recordingListener, d time.Duration) {
	r.state(h, 1, advisory.Advisory{Pause: d})
	f := r.failure(h, true)
	f.Paused, f.Code = true, result.BackendServerError
	r.engine.Observe(r.now, h.job, traffic.Observation{Target: f.Target, Failure: &f})
	r.engine.Finish(r.now, h.job)
}

// TestLeavingEngineGetsNoRequests guards against requests to an engine that has stated
// that it leaves, while the platform lists it as running, not at all, and again.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
	h := r.submit("draft")
	r.state(h, 1, advisory.Advisory{Leaving: true})
	is.True(!r.engine.Wanted(r.now, h.targets[0]))
	r.answer(h, time.Millisecond)
	is.True(r.submit("draft").waits())
	r.engine.SetServers(r.now, nil)
	r.engine.SetServers(r.now, []platform.Server{onDemandServer(0)})
	is.True(r.submit("draft").waits())
	r.pass(noServerTimeout)
	restarted := onDemandServer(0)
	restarted.Epoch = 2
	r.engine.SetServers(r.now, []platform.Server{restarted})
	r.engine.Stated(r.now, traffic.Statement{Target: h.targets[0], Epoch: 1, Advisory: advisory.Advisory{Leaving: true}}) // a late answer
	is.True(r.engine.Wanted(r.now, h.targets[0]))
}

// TestPausedEngineGetsNoRequests guards against requests within the pause that an engine
// asked for, against many at once when it ends, and against counting it as a failure.
func TestPausedEngineGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
	for range 2 * 3 { // twice the failures that make an engine suspect
		h := r.submit("draft")
		is.True(!h.waits())
		r.decline(h, time.Second)
		r.pass(time.Second)
	}
	is.True(!r.engine.store.Live("s0").Suspect())
	last := r.submit("draft")
	r.decline(last, 3*time.Second)
	first, second := r.submit("draft"), r.submit("draft")
	r.pass(2999 * time.Millisecond)
	is.True(first.waits() && second.waits())
	r.pass(2 * refreshInterval)
	is.True(!first.waits() && second.waits()) // one request at a time until an answer comes
	r.state(first, 1, advisory.Advisory{})
	r.pass(2 * refreshInterval)
	is.True(!second.waits())
}

// TestAllEnginesPausedRefusesAtOnce guards against requests that wait although no engine
// can take them in time, and against callers that are told to return too early.
func TestAllEnginesPausedRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, onDemandServer(0))
	r.decline(r.submit("draft"), 2*time.Minute)
	h := r.submit("draft")
	is.True(h.refusal.NotRun())
	is.Equal(h.refusal.Code, result.NoBackendServer)
	is.True(h.refusal.RetryAfter >= 2*time.Minute)
}

// TestEngineRateLimitIsShared guards against engines that get more requests than the rate
// limit that they name, summed over the instances.
func TestEngineRateLimitIsShared(t *testing.T) {
	for _, instances := range []int{1, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			const rate = 1.0
			window, allowed := 4*time.Second, 4
			var names []string
			var rigs []*rig
			for i := range instances {
				names = append(names, fmt.Sprint("i", i))
				rigs = append(rigs, newRigOf(t, names[i], 1000, onDemandServer(0)))
			}
			for _, r := range rigs {
				r.engine.SetMembers(r.now, names, r.now)
				r.engine.Stated(r.now, traffic.Statement{
					Target: traffic.Target{Server: "s0"}, Epoch: 1, SentAt: r.now, Advisory: advisory.Advisory{RateLimit: rate},
				})
			}
			var sent []time.Time
			for range 300 {
				for _, r := range rigs {
					r.now = r.now.Add(100 * time.Millisecond)
					h := r.submit("draft")
					if h.waits() {
						r.engine.Abandon(r.now, h.job)
						continue
					}
					sent = append(sent, r.now)
					r.answer(h, time.Millisecond)
				}
			}
			for i := allowed; i < len(sent); i++ {
				is.True(sent[i].Sub(sent[i-allowed]) >= window)
			}
			is.True(len(sent) >= 15) // of 30
		})
	}
}
