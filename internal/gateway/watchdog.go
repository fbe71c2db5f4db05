package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/routes"
)

var (
	errNoProgress  = errors.New("the server made no progress within its timeout")
	errUnreachable = errors.New("the server's address does not answer")
	errRefused     = errors.New("the server refuses connections")
)

const (
	// The server of a retryable request is probed after streamProbeAfter without a
	// sign of progress. After the timeout the attempt is cancelled and retried
	// elsewhere.
	streamProbeAfter    = 400 * time.Millisecond
	minStreamTimeout    = 3 * time.Second
	streamTimeoutFactor = 2 // times the route's target
	minPlainTimeout     = 200 * time.Millisecond
	plainTimeoutFactor  = 2 // times the route's target
	pauseProbeFactor    = 3 // times the route's latency target between two events
	pauseTimeoutFactor  = 8 // times the route's latency target between two events
	minPauseTimeout     = 1500 * time.Millisecond
)

// watchdog cancels an attempt whose server makes no progress within a timeout. Before
// that, after probeAfter, it probes the server; if the server does not accept
// connections, the attempt is cancelled at once.
type watchdog struct {
	cancel context.CancelCauseFunc
	probe  func() reachability

	mu         sync.Mutex
	timer      *time.Timer
	probeAfter time.Duration // since the last sign of progress
	timeout    time.Duration // since the last sign of progress
	generation int           // incremented with each sign of progress, to ignore timers of earlier ones
	stopped    bool
}

// startWatchdog starts the watchdog for a request that may be retried. Other requests
// have none.
func (a *attempt) startWatchdog() {
	if !a.x.route.Retryable() {
		return
	}
	target := a.x.target()
	probeAfter, timeout := streamProbeAfter, max(streamTimeoutFactor*target, minStreamTimeout)
	if a.x.route.Kind != routes.Stream {
		timeout = max(plainTimeoutFactor*target, minPlainTimeout)
		probeAfter = min(streamProbeAfter, timeout/2)
	}
	address := a.assignment.Address
	a.watchdog = &watchdog{
		cancel: a.cancel,
		probe:  func() reachability { return a.x.gateway.probes.probe(address) },
	}
	a.watchdog.setLimits(probeAfter, timeout)
}

// watchStream changes the timeouts to those between two events of a stream.
func (a *attempt) watchStream() {
	if a.watchdog == nil {
		return
	}
	pause := a.x.route.TargetEventInterval
	a.watchdog.setLimits(max(pauseProbeFactor*pause, streamProbeAfter), max(pauseTimeoutFactor*pause, minPauseTimeout))
}

// setLimits changes the timeouts and restarts the timer.
func (w *watchdog) setLimits(probeAfter, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probeAfter, w.timeout = probeAfter, timeout
	w.restart()
}

// progress restarts the timer. It does nothing on a nil watchdog.
func (w *watchdog) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

func (w *watchdog) restart() {
	if w.stopped {
		return
	}
	w.generation++
	if w.timer != nil {
		w.timer.Stop()
	}
	generation := w.generation
	w.timer = time.AfterFunc(w.probeAfter, func() { w.probeDue(generation) })
}

// probeDue probes the server, and if it is reachable, waits for the rest of the
// timeout.
func (w *watchdog) probeDue(generation int) {
	found := w.probe()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.generation != generation {
		return
	}
	switch found {
	case refused:
		w.cancel(errRefused)
		return
	case silent:
		w.cancel(errUnreachable)
		return
	case reachable:
	}
	w.timer = time.AfterFunc(w.timeout-w.probeAfter, func() { w.expire(generation) })
}

func (w *watchdog) expire(generation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && w.generation == generation {
		w.cancel(errNoProgress)
	}
}

// stop stops the watchdog. The attempt is not cancelled afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
