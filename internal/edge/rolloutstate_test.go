package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
)

// silentSite is an instance with an order in force that hears nothing from the two others.
type silentSite struct {
	*rollouts
	t *testing.T
	*testPlatform
}

func newSilentSite(t *testing.T) *silentSite {
	p := newTestPlatform(t)
	b := balance.New(balance.Options{Instance: "i", Retries: balance.RetryLimit{Window: 10 * time.Second, Ratio: 0.2}})
	b.SetMembers([]string{"i", "j", "k"})
	b.SetServers([]directory.Server{
		{Entry: directory.Entry{ID: "old", Service: "s", Address: "127.0.0.1:1", Capacity: 100, Version: "v1"}},
		{Entry: directory.Entry{ID: "new", Service: "s", Address: "127.0.0.1:2", Capacity: 100, Version: "v2"}},
	})
	clock := truetime.New(truetime.Options{Boot: boottime.Now})
	clock.Observe(time.Hour, boottime.Now())
	var settings Settings
	settings.Bounds.CanaryShare, settings.Bounds.Rollback = 0.1, time.Second
	r := newRollouts(settings, Platform{
		Duties: p.store.Table("duties"), RolloutStatus: RolloutStatus{Table: p.store.Table("status")},
	}, b, clock, timeline.Discard, hclog.NewNullLogger())
	r.order("s", "v2", 7)
	return &silentSite{rollouts: r, t: t, testPlatform: p}
}

// order applies the row of an order.
func (r *rollouts) order(service, to string, revision uint64) {
	r.applyRows([]orderRow{rowOf(service, to, revision)}, false, false)
}

func rowOf(service, to string, revision uint64) orderRow {
	return orderRow{service: service, version: revision, order: &rollout.Order{Service: service, To: to, Duration: time.Minute}}
}

// write writes the holder's row.
func (s *silentSite) write(state rollout.State) {
	data, err := json.Marshal(state)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("duties", "rollout/s", data)
}

// send returns the version that gets a request, or "".
func (s *silentSite) send() string {
	s.balancer.CountRequest("s")
	a, err := s.balancer.Acquire(context.Background(), &balance.Query{Service: "s"})
	if err != nil {
		return ""
	}
	a.End(balance.Answered)
	return a.Version
}

// TestShiftedStateIsRead guards against an instance that goes back to old servers, which may
// have been stopped, because it does not hear the others after all traffic has shifted.
func TestShiftedStateIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	state := rollout.State{Revision: 7, To: "v2", Phase: rollout.Progressing, Step: rollout.Half}
	s.write(state)
	s.readStates(t.Context())
	for range 20 {
		is.Equal(s.send(), "v1") // a read is not enough before all traffic has shifted
	}
	state.Step = rollout.All
	s.write(state)
	s.readStates(t.Context())
	is.Equal(s.send(), "v2")
	time.Sleep(s.newsAge() + 50*time.Millisecond)
	s.tick(t.Context())
	is.Equal(s.send(), "") // neither may be right until the row is read again
	s.readStates(t.Context())
	is.Equal(s.send(), "v2")
	state.Phase = rollout.Reverted
	s.write(state)
	time.Sleep(s.newsAge())
	s.readStates(t.Context())
	is.Equal(s.send(), "v1")
}

// TestShiftedStateIsReadInTime guards against requests that wait for a read of the state,
// because it is read only once what others reported is out of date.
func TestShiftedStateIsReadInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	state := rollout.State{Revision: 7, To: "v2", Phase: rollout.Progressing, Step: rollout.All}
	s.rollouts.mu.Lock()
	a := s.active["s"]
	a.setState(state)
	a.peers[reports.Origin{Instance: "j"}] = peerRollout{at: s.storeNow() - s.newsAge()*2/3}
	s.rollouts.mu.Unlock()
	is.True(s.current(a))
	is.Equal(len(s.unheard()), 1)
}

// TestReportFromFutureGoesStale guards against an instance whose clock is ahead, or whose
// state is malformed, and that therefore counts as heard for ever.
func TestReportFromFutureGoesStale(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	state, err := cbor.Marshal(rolloutNews{AtMillis: math.MaxInt64, Orders: []rolloutOrder{{Service: "s", Revision: 7}}})
	is.NoErr(err)
	is.NoErr(s.Apply(reports.Origin{Instance: "j"}, state))
	a := s.active["s"]
	is.True(s.current(a))
	time.Sleep(s.newsAge())
	is.True(!s.current(a))
}

// TestReportsWithoutClock guards against reports that count as current before the first
// sample of the store's clock, when their age is unknown.
func TestReportsWithoutClock(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	s.clock = truetime.New(truetime.Options{})
	state, err := cbor.Marshal(rolloutNews{AtMillis: 1000, Orders: []rolloutOrder{{Service: "s", Revision: 7}}})
	is.NoErr(err)
	is.NoErr(s.Apply(reports.Origin{Instance: "j"}, state))
	is.True(!s.current(s.active["s"]))
}

// TestMalformedStateIsIgnored guards against a malformed state of another instance that keeps
// this one from later steps.
func TestMalformedStateIsIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	state := rollout.State{Revision: 7, To: "v2", Phase: rollout.Progressing, Step: rollout.Half}
	for _, malformed := range []rollout.State{
		{Revision: 7, Phase: rollout.Progressing, Step: 99}, {Revision: 7, Phase: rollout.Progressing, Step: -1}, {Revision: 7, Phase: "other", Step: rollout.All},
	} {
		data, err := cbor.Marshal(rolloutNews{AtMillis: 1000, Orders: []rolloutOrder{{Service: "s", Revision: 7, State: &malformed}}})
		is.NoErr(err)
		is.NoErr(s.Apply(reports.Origin{Instance: "j"}, data))
		is.True(!s.active["s"].known)
	}
	s.write(state)
	s.readStates(t.Context())
	is.Equal(s.active["s"].state, state)
}

// TestUndecidedOrdersAreExchanged guards against an order that is never exchanged, and
// reverted for lack of reports, because rows of decided orders stand.
func TestUndecidedOrdersAreExchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	for i := range maxExchangedRollouts {
		service := fmt.Sprint("a", i)
		s.order(service, "v2", 7)
		s.active[service].setState(rollout.State{Revision: 7, To: "v2", Phase: rollout.Complete, Step: rollout.All})
	}
	var news rolloutNews
	is.NoErr(cbor.Unmarshal(s.Collect(), &news))
	is.Equal(len(news.Orders), maxExchangedRollouts)
	is.Equal(news.Orders[0].Service, "s")
}

// TestManyOrdersFitInState guards against a state that the hub discards for its size, so that
// nothing is heard about any order.
func TestManyOrdersFitInState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSilentSite(t)
	counts := rollout.Counts{Responses: 1e6, Failures: 1e6, Timed: 1e6, Late: 1e6, Paced: 1e6, Dragging: 1e6}
	for i := range maxExchangedRollouts {
		service := fmt.Sprint("service-", i)
		s.order(service, "v2", 7)
		for route := range 64 {
			s.active[service].own.Add(fmt.Sprint("a-route-of-the-service-", route), true, counts)
			s.active[service].own.Add(fmt.Sprint("a-route-of-the-service-", route), false, counts)
		}
	}
	state := s.Collect()
	is.True(len(state) <= 32<<10)
	var news rolloutNews
	is.NoErr(cbor.Unmarshal(state, &news))
	is.True(len(news.Orders) > 0)
}
