package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/demo"
	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// traffic sends a mix of requests through the processes until stopped. A caller
// tries the next process if one refuses the connection, as a load balancer does.
type traffic struct {
	c        *cluster
	stopping chan struct{}
	running  sync.WaitGroup
	bookings atomic.Int64 // number of bookings sent, each with its own idempotency key
	answered atomic.Int64
	refused  atomic.Int64
	dropped  atomic.Int64 // no process responded
	cut      atomic.Int64 // the connection was established but ended before the complete response
}

const (
	trafficCallers = 6
	trafficPause   = 40 * time.Millisecond
)

func startTraffic(c *cluster) *traffic {
	t := &traffic{c: c, stopping: make(chan struct{})}
	for n := range trafficCallers {
		t.running.Go(func() { t.caller(n) })
	}
	return t
}

func (t *traffic) stop() {
	close(t.stopping)
	t.running.Wait()
}

func (t *traffic) caller(n int) {
	for round := 0; ; round++ {
		select {
		case <-t.stopping:
			return
		case <-time.After(trafficPause):
		}
		switch (n + round) % 3 {
		case 0:
			t.send(n+round, http.MethodPost, "/v1/chat/completions", "setubal-depot",
				`{"model":"label-2b","stream":true,"messages":[{"role":"user","content":"label"}]}`)
		case 1:
			t.send(n+round, http.MethodGet, "/services/entries/run", "suva-swimming", "")
		default:
			key := fmt.Sprintf("booking-%d", t.bookings.Add(1))
			t.send(n+round, http.MethodPost, "/services/bookings/lane", "suva-swimming", `{"lane":4}`,
				entry.IdempotencyHeader, key)
		}
	}
}

func (t *traffic) send(start int, method, path, organisation, body string, header ...string) {
	for n := range t.c.processes {
		p := t.c.processes[(start+n)%len(t.c.processes)]
		if p.stopped.Load() {
			continue
		}
		status, text, _ := t.c.call(p, method, path, organisation, body, header...)
		switch {
		case status == 0 && strings.Contains(text, "connection refused"):
			continue
		case status == 0:
			t.cut.Add(1)
			continue
		case status < http.StatusBadRequest:
			t.answered.Add(1)
		default:
			t.refused.Add(1)
		}
		return
	}
	t.dropped.Add(1)
}

// collect returns the merged timelines of the stand-ins and all processes. It keeps
// each process's newest timeline, so that the events of a killed process remain
// available.
func collect(c *cluster) []timeline.Event {
	standins, _ := c.backends.Timeline.Snapshot()
	rings := [][]timeline.Event{standins}
	for _, p := range c.processes {
		if events := p.events(); events != nil {
			p.last = events
		}
		rings = append(rings, p.last)
	}
	return timeline.Merge(rings...)
}

// TestKillPauseAndStoreOutage kills one process, pauses another for longer than any
// lease, and then stops the store, under load. It guards against violations of the
// invariants by failures of real processes.
func TestKillPauseAndStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, demo.Options{})
	load := startTraffic(c)
	time.Sleep(2 * time.Second)

	killed := c.processes[3]
	collect(c)
	killed.stopped.Store(true)
	killed.signal(syscall.SIGKILL)
	<-killed.exited
	time.Sleep(time.Second)

	paused := c.processes[2]
	paused.stopped.Store(true)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(pauseTime)
	paused.signal(syscall.SIGCONT)
	paused.stopped.Store(false)
	time.Sleep(time.Second)

	c.backends.Platform.SetFault(platform.TableInterface, platform.Fault{Down: true})
	time.Sleep(outageTime)
	for _, p := range c.processes[:3] {
		is.True(p.ready()) // an outage of the store alone makes no instance unready
	}
	c.backends.Platform.SetFault(platform.TableInterface, platform.Fault{})
	time.Sleep(2 * time.Second)

	load.stop()
	t.Logf("answered %d, refused %d, unanswered %d", load.answered.Load(), load.refused.Load(), load.dropped.Load())
	is.True(load.answered.Load() > 0)
	checkInvariants(t, collect(c))
}

const (
	pauseTime  = 12 * time.Second // longer than the longest lease
	outageTime = 8 * time.Second
)

// TestRollingReplacement restarts every process, one by one, under load. It guards
// against planned stops that cut off requests or leave them unanswered.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, demo.Options{})
	load := startTraffic(c)
	time.Sleep(time.Second)
	var earlier []timeline.Event
	for _, p := range c.processes {
		p.signal(syscall.SIGTERM)
		c.eventually(p.name+" turns unready", 5*time.Second, func() bool { return !p.ready() })
		earlier = append(earlier, p.events()...)
		p.signal(syscall.SIGTERM) // a second signal changes nothing
		<-p.exited
		is.Equal(p.command.ProcessState.ExitCode(), 0)
		c.start(p)
		c.eventually(p.name+" is ready again", readyTimeout, p.ready)
	}
	load.stop()
	t.Logf("answered %d, refused %d, cut off %d, unanswered %d",
		load.answered.Load(), load.refused.Load(), load.cut.Load(), load.dropped.Load())
	is.Equal(load.cut.Load(), int64(0))
	is.Equal(load.dropped.Load(), int64(0))
	is.True(load.answered.Load() > 0)
	checkInvariants(t, timeline.Merge(earlier, collect(c)))
}

// checkInvariants reports each violation of the invariants. The timeline of a killed
// process is incomplete, so events with a missing cause are not violations.
func checkInvariants(t *testing.T, events []timeline.Event) {
	t.Helper()
	for _, v := range invariant.Check(events, invariant.Options{}) {
		t.Errorf("%v", v)
	}
}
