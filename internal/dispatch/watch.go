package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// silenceError reports that a phase of an attempt made no progress in time.
type silenceError struct {
	phase string
	limit time.Duration
}

// Error implements the error interface.
func (e *silenceError) Error() string {
	return fmt.Sprintf("no progress for %s while waiting for %s", e.limit, e.phase)
}

// Phases in which an attempt can go silent.
const (
	phaseHeaders    = "the answer's headers"
	phaseFirstToken = "the answer's first byte"
	phaseNextToken  = "the answer's next bytes"
	phaseCallerBody = "the caller's body"
)

// watch cancels an attempt that makes no progress within the armed limit.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer
	cancel context.CancelCauseFunc
	phase  string
	limit  time.Duration
	armed  bool
	until  time.Time
	// extend is asked, without the lock, before an attempt is given up in the
	// headers phase; true starts the limit anew. Nil: never.
	extend func() bool
}

func newWatch(cancel context.CancelCauseFunc) *watch { return &watch{cancel: cancel} }

// arm starts the limit of a phase anew.
func (w *watch) arm(phase string, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase, w.limit, w.armed = phase, limit, true
	w.until = time.Now().Add(limit)
	if w.timer == nil {
		w.timer = time.AfterFunc(limit, w.fire)
		return
	}
	w.timer.Reset(limit)
}

// disarm stops the limit.
func (w *watch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) fire() {
	phase, expired := w.expired()
	if !expired {
		return // armed anew or disarmed meanwhile
	}
	if phase == phaseHeaders && w.extend != nil && w.extend() {
		w.armAgain()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.armed && !time.Now().Before(w.until) {
		w.cancel(&silenceError{phase: w.phase, limit: w.limit})
	}
}

func (w *watch) expired() (phase string, expired bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase, w.armed && !time.Now().Before(w.until)
}

// armAgain extends the limit if the phase still is the same.
func (w *watch) armAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || time.Now().Before(w.until) {
		return
	}
	w.until = time.Now().Add(w.limit)
	w.timer.Reset(w.limit)
}
