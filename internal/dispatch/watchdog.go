package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// stallError reports that a phase of an attempt made no progress within its
// timeout.
type stallError struct {
	phase   string
	timeout time.Duration
}

// Error implements the error interface.
func (e *stallError) Error() string {
	return fmt.Sprintf("no progress for %s while waiting for %s", e.timeout, e.phase)
}

// Phases of an attempt that have a timeout.
const (
	phaseHeaders    = "the answer's headers"
	phaseFirstToken = "the answer's first byte"
	phaseNextToken  = "the answer's next bytes"
	phaseCallerBody = "the caller's body"
)

// watchdog cancels an attempt that makes no progress within the armed timeout.
type watchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	cancel   context.CancelCauseFunc
	phase    string
	timeout  time.Duration
	armed    bool
	deadline time.Time
	// extend is called without the lock when the timeout of the headers phase
	// has expired. If it returns true, the timeout restarts. If nil, the
	// timeout is never extended.
	extend func() bool
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog { return &watchdog{cancel: cancel} }

// arm starts or restarts the timeout of a phase.
func (w *watchdog) arm(phase string, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase, w.timeout, w.armed = phase, timeout, true
	w.deadline = time.Now().Add(timeout)
	if w.timer == nil {
		w.timer = time.AfterFunc(timeout, w.fire)
		return
	}
	w.timer.Reset(timeout)
}

// disarm stops the timeout.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fire() {
	phase, expired := w.expired()
	if !expired {
		return // rearmed or disarmed in the meantime
	}
	if phase == phaseHeaders && w.extend != nil && w.extend() {
		w.rearm()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.armed && !time.Now().Before(w.deadline) {
		w.cancel(&stallError{phase: w.phase, timeout: w.timeout})
	}
}

func (w *watchdog) expired() (phase string, expired bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase, w.armed && !time.Now().Before(w.deadline)
}

// rearm restarts the timeout unless the phase has changed.
func (w *watchdog) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || time.Now().Before(w.deadline) {
		return
	}
	w.deadline = time.Now().Add(w.timeout)
	w.timer.Reset(w.timeout)
}
