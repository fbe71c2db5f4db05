package gateway

import (
	"fmt"
	"maps"
	"net/http/httptrace"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/guardconn"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// The directory may list a process whose place another one has taken, under its id and at its
// address. Which of them runs a request is known from this: a connection belongs to one process,
// and a process runs from when it is listed until it answers last. If the listed process answers a
// question that was asked after a request got its connection, that connection is its own.

const (
	// maxSeenProcesses bounds the processes that are remembered, and seenLifetime how long one is
	// while there are more.
	maxSeenProcesses = 1024
	seenLifetime     = time.Minute
	// registrationDelay is the time after its start within which a server has registered if its
	// way to the store is sound.
	registrationDelay = 200 * time.Millisecond
	// maxListWait bounds the wait for a list of servers that was read after a run began, as does
	// listWaitFraction of the remaining time, which leaves some for another server. A server may
	// pause for longer in the middle of a stream; see minPauseTimeout.
	maxListWait      = time.Second
	listWaitFraction = 0.5
	// listPollInterval is the interval at which the age of the list is read.
	listPollInterval = 20 * time.Millisecond
)

// process is a process of a backend server as the directory lists it. The zero value is none.
type process struct {
	address string
	peer    guardconn.Peer
}

// processCheck is the answer of the server at a process's address.
type processCheck struct {
	statement
	askedAt boottime.Instant // before the first question
}

// processes knows until when processes of backend servers are known to have run. It is safe for
// concurrent use.
type processes struct {
	group singleflight.Group

	mu   sync.Mutex
	seen map[process]boottime.Instant // the latest instant at which the process is known to have run
}

func newProcesses() *processes { return &processes{seen: map[process]boottime.Instant{}} }

// saw records that the process ran at an instant, or later.
func (p *processes) saw(who process, at boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Before(p.seen[who]) {
		return
	}
	if _, known := p.seen[who]; !known && len(p.seen) >= maxSeenProcesses {
		p.forget(at)
	}
	p.seen[who] = at
}

// forget drops what was seen long before now, or everything if that does not suffice: it spares
// questions, and none is answered wrongly without it.
func (p *processes) forget(now boottime.Instant) {
	maps.DeleteFunc(p.seen, func(_ process, at boottime.Instant) bool { return now.Sub(at) > seenLifetime })
	if len(p.seen) >= maxSeenProcesses {
		clear(p.seen)
	}
}

// ranAt reports whether the process is known to have run at an instant or later.
func (p *processes) ranAt(who process, at boottime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen, ok := p.seen[who]
	return ok && !seen.Before(at)
}

// check returns a check that began at earliest or later. Concurrent checks of a process share one
// that began after all of them.
func (p *processes) check(who process, earliest boottime.Instant, ask func() processCheck) processCheck {
	for {
		shared, _, _ := p.group.Do(fmt.Sprint(who), func() (any, error) { return ask(), nil })
		if c, ok := shared.(processCheck); ok && !c.askedAt.Before(earliest) {
			return c
		}
	}
}

// runProcess is what is known of the process that runs an attempt.
type runProcess struct {
	conn *guardconn.Conn // nil before there is one
	// connAt is when the request got its connection. The process that answers on it ran then or later.
	connAt boottime.Instant
	check  chan processCheck // receives once; nil if nothing was asked
}

// process returns the process that was chosen. Its start is zero if the directory states none.
func (a *attempt) process() process {
	return process{
		address: a.assignment.Address,
		peer:    guardconn.Peer{Server: a.assignment.Server, StartedMillis: a.assignment.StartedMillis},
	}
}

// needsProcess reports whether it matters which process runs the request: it goes on with a stream,
// or others may go on with the stream that it begins.
func (a *attempt) needsProcess() bool {
	if a.x.query.Bound {
		return true
	}
	versions := a.x.gateway.options.Origins != nil || a.assignment.Version != ""
	return versions && a.x.route.Kind == routes.Stream && a.x.route.Resumable && a.assignment.StartedMillis > 0
}

// beginProcessCheck starts to ask which process is at the server's address, unless it is known whose
// connection the request goes out on. The answer arrives beside the work on the request.
func (a *attempt) beginProcessCheck(info httptrace.GotConnInfo) {
	conn, guarded := info.Conn.(*guardconn.Conn)
	if !guarded {
		return
	}
	a.run = runProcess{conn: conn, connAt: boottime.Now()}
	if !a.needsProcess() || a.assignment.StartedMillis <= 0 || a.ownsConn() {
		return
	}
	check, at := make(chan processCheck, 1), a.run.connAt
	a.run.check = check
	go func() { check <- a.x.gateway.processes.check(a.process(), at, a.askProcess) }()
}

// ownsConn reports whether the connection is known to be that of the process that was chosen.
func (a *attempt) ownsConn() bool {
	return a.run.conn != nil && a.run.conn.Peer() == a.process().peer
}

// askProcess asks the server who it is, by what the directory states. It outlives the attempt, since
// others may wait for the answer.
func (a *attempt) askProcess() processCheck {
	who := a.process()
	c := processCheck{askedAt: boottime.Now()}
	known := Identity{Server: who.peer.Server, Incarnation: uint64(who.peer.StartedMillis)}
	c.statement = a.askServer(a.x.gateway.stopping, known, time.Time{})
	if c.found == sameProcess {
		a.x.gateway.processes.saw(who, c.askedAt)
		if c.conn != nil {
			c.conn.SetPeer(who.peer)
		}
	}
	return c
}

// noteProcess notes that the process that was chosen has answered, if the connection is known to be its own.
func (a *attempt) noteProcess() {
	if a.ownsConn() && a.answer.Attempt != "" && a.answer.Attempt == a.x.head.Attempt {
		a.x.gateway.processes.saw(a.process(), a.run.connAt)
	}
}

// findProcess returns what is known of the process that runs the request, if need be by the answer
// to the question that beginProcessCheck has asked.
func (a *attempt) findProcess() finding {
	if a.knowsProcess() {
		a.countProcess("known")
		return a.confirmProcess()
	}
	var found finding
	if a.run.check == nil {
		found = a.checkServer(a.ctx, time.Time{}).found
	} else {
		found = a.awaitProcess()
	}
	a.countProcess(found.String())
	return found
}

// knowsProcess reports whether nothing need be asked.
func (a *attempt) knowsProcess() bool {
	if a.assignment.StartedMillis <= 0 || a.run.conn == nil {
		return false
	}
	return a.ownsConn() || a.x.gateway.processes.ranAt(a.process(), a.run.connAt)
}

// confirmProcess notes that the connection is that of the process that was chosen.
func (a *attempt) confirmProcess() finding {
	a.run.conn.SetPeer(a.process().peer)
	return sameProcess
}

func (a *attempt) awaitProcess() finding {
	var c processCheck
	select {
	case c = <-a.run.check:
	case <-a.ctx.Done():
		return silentServer
	}
	a.watchdog.progress()
	switch c.found {
	case sameProcess:
		return a.confirmProcess()
	case restarted:
		if a.listedAsSuccessor(c.stated) {
			return sameServer
		}
	case resets, silentServer:
		if a.listedAfterwards() {
			return sameServer
		}
	case notAsked, listens, otherServer, gone, sameServer, unidentified:
	}
	return c.found
}

// listedAsSuccessor reports whether the process that has stated its identity is one of the chosen
// version, as the directory lists it, so that it does not matter which of the two ran the request.
// It waits until the directory lists another process than the chosen one.
func (a *attempt) listedAsSuccessor(stated Identity) bool {
	listed := a.awaitList(func() bool {
		_, _, replaced := a.assignment.Successor()
		return replaced
	})
	version, started, _ := a.assignment.Successor()
	return listed && version == a.assignment.Version && uint64(max(started, 0)) == stated.Incarnation
}

// listedAfterwards reports whether a list of servers that was read after the request got its
// connection still has the process that was chosen. It waits for such a list.
func (a *attempt) listedAfterwards() bool {
	asOf := a.x.gateway.options.ServersAsOf
	registered := a.run.connAt.Add(registrationDelay)
	if asOf != nil && !a.awaitList(func() bool { return !asOf().Before(registered) }) {
		return false
	}
	return a.assignment.ListedStart() == a.assignment.StartedMillis
}

// awaitList waits until the list of servers meets a condition. The result is false if that takes
// longer than maxListWait or listWaitFraction of the remaining time.
func (a *attempt) awaitList(met func() bool) bool {
	defer a.watchdog.progress()
	limit := min(maxListWait, time.Duration(listWaitFraction*float64(a.x.timeLeft())))
	for end := boottime.Now().Add(limit); !met(); {
		if !boottime.Now().Before(end) || wait.For(a.ctx, listPollInterval) != nil {
			return false
		}
	}
	return true
}

// countProcess counts a run of a stream by what is known of the process that runs it.
func (a *attempt) countProcess(found string) {
	name := "hawthornwick_first_runs_total"
	if a.x.query.Bound {
		name = "hawthornwick_further_runs_total"
	}
	a.x.gateway.counters.set.GetOrCreateCounter(fmt.Sprintf("%s{server=%q}", name, found)).Inc()
}
