package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// TestDeparturesAreSpread guards against streams that all move at the same time, against
// less urgent ones that move before more urgent ones, and against streams that are still on
// the server when it stops.
func TestDeparturesAreSpread(t *testing.T) {
	never := func(boottime.Instant) float64 { return 0 }
	rapid.Check(t, func(t *rapid.T) {
		noticed := boottime.Instant(time.Hour)
		left := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "left"))
		random := rapid.Float64Range(0, 0.999)
		priority := rapid.IntRange(0, 5).Draw(t, "priority")
		urgent := newDeparture(noticed, noticed.Add(left), priority, random.Draw(t, "first"))
		later := newDeparture(noticed, noticed.Add(left), priority+1, random.Draw(t, "second"))
		at := noticed.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "at")))
		if priority < leaveTurns-1 && later.due(at, never) && !urgent.due(at, never) {
			t.Fatalf("priority %d moves before priority %d", priority+1, priority)
		}
		if !urgent.due(noticed.Add(left-leaveMargin), never) || !urgent.due(noticed.Add(left), never) {
			t.Fatal("the stream stays until the server stops")
		}
	})
}

// TestStreamThatEndsInTimeStays guards against an interruption that is not needed.
func TestStreamThatEndsInTimeStays(t *testing.T) {
	is := is.New(t)
	noticed := boottime.Instant(time.Hour)
	d := newDeparture(noticed, noticed.Add(2400*time.Millisecond), 0, 0)
	share := func(s float64) func(boottime.Instant) float64 { return func(boottime.Instant) float64 { return s } }
	is.True(d.due(noticed, share(0.4)))
	is.True(!d.due(noticed, share(0.6)))
	is.True(d.due(noticed.Add(2200*time.Millisecond), share(0.6))) // it did not end after all
}

func TestEndShare(t *testing.T) {
	is := is.New(t)
	times := newAnswerTimes()
	is.Equal(times.endShare("r", 0, time.Hour), 0.0)
	for seconds := range 10 {
		times.add("r", time.Duration(seconds+1)*time.Second)
	}
	is.Equal(times.endShare("r", 0, 3*time.Second), 0.3)
	is.Equal(times.endShare("r", 6*time.Second, 3*time.Second), 0.75)
	is.Equal(times.endShare("r", 10*time.Second, time.Second), 0.0)
}

// newDepartureStack starts a gateway with two servers: the first one streams an event every
// 10 ms until its run is ended, the second one goes on with up to 60 events.
func newDepartureStack(t *testing.T, route routes.Route, slack float64) (s *testStack, ended *atomic.Int64) {
	t.Helper()
	s = newTestStack(t)
	route.Name, route.Host, route.Prefix, route.Kind = "r", "test", "/r/", routes.Stream
	route.Split, route.MaxAttempts = []routes.Share{{Service: "s", Weight: 1}}, 2
	table, err := routes.Compile(routes.Config{
		Version: 2, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{route},
		Organisations: []routes.Organisation{{Name: "org", Keys: []config.KeyDigest{config.DigestKey("key")}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.source.table = table
	s.balancer = balance.New(balance.Options{
		Instance: "i", Retries: balance.RetryLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: slack}, Recorder: s.ring,
	})
	s.balancer.SetTable(table)
	s.balancer.SetMembers([]string{"i"})
	s.gateway.options.Balancer = s.balancer
	ended = &atomic.Int64{}
	s.addServer("0", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; id <= 60; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: first\n\n", id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				ended.Add(1)
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	return s, ended
}

// leave lists a second server, and a notice of the first one.
func (s *testStack) leave(in time.Duration) {
	s.addServer("1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(testResume))
		for id := from + 1; id <= 60; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: second\n\n", id)
		}
	})
	s.servers[0].Draining, s.servers[0].LeavesAt = true, boottime.Now().Add(in)
	s.balancer.SetServers(s.servers)
}

// TestStreamIsContinuedBeforeItsServerLeaves guards against a stream that is cut with its
// server, against a gap or a repetition in the continued stream, and against the
// continuation of streams for which it is not allowed.
func TestStreamIsContinuedBeforeItsServerLeaves(t *testing.T) {
	const target = 100 * time.Millisecond
	for name, test := range map[string]struct {
		route routes.Route
		slack float64
		moves bool
	}{
		"resumable":     {routes.Route{Resumable: true, Target: target}, 100, true},
		"not resumable": {routes.Route{Target: target}, 100, false},
		"no targets":    {routes.Route{Resumable: true}, 100, false},
		"limit reached": {routes.Route{Resumable: true, Target: target}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ended := newDepartureStack(t, test.route, test.slack)
			replies := make(chan reply, 1)
			go func() { replies <- s.call(http.MethodPost, "/r/x", "", testLeft, "9000") }()
			for s.gateway.Active() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(30 * time.Millisecond)
			s.leave(leaveMargin + 100*time.Millisecond)
			got := <-replies
			is.True(!got.truncated)
			var want []string
			for id := 1; id <= 60; id++ {
				want = append(want, strconv.Itoa(id))
			}
			is.Equal(eventIDs(got.body), want)
			is.Equal(strings.Contains(got.body, "second"), test.moves)
			continued := 0
			events, _ := s.ring.Snapshot()
			for _, e := range events {
				if e.Kind == timeline.StreamContinued {
					continued++
				}
			}
			is.Equal(continued == 1, test.moves)
			if test.moves {
				for ended.Load() == 0 { // the first run is ended; otherwise the test times out
					time.Sleep(time.Millisecond)
				}
			}
			is.Equal(s.suspects.recorded()[0] == runCrashed, false)
		})
	}
}

// TestServerThatStopsAsStatedIsNoCrash guards against prompts that are refused because all
// servers that ran them left with their zone, and against a crash before that time that is
// taken for such a stop.
func TestServerThatStopsAsStatedIsNoCrash(t *testing.T) {
	for name, test := range map[string]struct {
		in  time.Duration // until the server stops
		end runEnd
	}{
		"stops as stated": {leaveMargin, runIncomplete},
		"crashes before":  {time.Minute, runCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			running, stop := make(chan struct{}), make(chan struct{})
			s := newTestStack(t, func(w http.ResponseWriter, _ *http.Request) {
				close(running)
				<-stop
				panic(http.ErrAbortHandler)
			})
			s.gateway.probes.dial = func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			done := make(chan reply, 1)
			go func() { done <- s.call(http.MethodPost, "/once/x", "pay") }()
			<-running
			s.servers[0].Draining, s.servers[0].LeavesAt = true, boottime.Now().Add(test.in)
			s.balancer.SetServers(s.servers)
			close(stop)
			<-done
			is.Equal(s.suspects.recorded(), []runEnd{test.end})
		})
	}
}

// TestStreamStaysWithoutAnotherServer guards against a run that is ended although no other
// server can take the request.
func TestStreamStaysWithoutAnotherServer(t *testing.T) {
	is := is.New(t)
	s, _ := newDepartureStack(t, routes.Route{Resumable: true, Target: 100 * time.Millisecond}, 100)
	replies := make(chan reply, 1)
	go func() { replies <- s.call(http.MethodPost, "/r/x", "", testLeft, "9000") }()
	for s.gateway.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	s.servers[0].Draining, s.servers[0].LeavesAt = true, boottime.Now().Add(leaveMargin)
	s.balancer.SetServers(s.servers)
	got := <-replies
	is.True(!got.truncated)
	is.Equal(len(eventIDs(got.body)), 60)
}

// leaveSoon is like leave for servers that are listed already, of which the second one gets a
// version.
func (s *testStack) leaveSoon(version string) {
	s.servers[1].Version = version
	s.servers[0].Draining, s.servers[0].LeavesAt = true, boottime.Now().Add(350*time.Millisecond)
	s.balancer.SetServers(s.servers)
}
