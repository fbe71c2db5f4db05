package lease

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// restartDelay is the delay before a task that returned is called again.
const restartDelay = time.Second

// workLoop runs a task during each tenure of its duty.
func (m *Manager) workLoop(ctx context.Context, t task) {
	for ctx.Err() == nil {
		g, changed, ok := m.tenure(t.duty)
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		m.runTenure(ctx, t, g)
		if ctx.Err() == nil && g.valid() {
			_ = wait.For(ctx, restartDelay)
		}
	}
}

// tenure returns the current tenure of a duty, if any, and a channel that is closed when
// that may have changed.
func (m *Manager) tenure(duty string) (Guard, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	token, ok := m.core.holds(duty, m.reading(), 0)
	if m.stopping[duty] {
		ok = false
	}
	return Guard{Duty: duty, Token: token, m: m}, m.changed, ok
}

// valid reports whether the tenure is still current.
func (g Guard) valid() bool {
	now, _, ok := g.m.tenure(g.Duty)
	return ok && now.Token == g.Token
}

// runTenure calls the task once and cancels its context when the tenure ends.
func (m *Manager) runTenure(ctx context.Context, t task, g Guard) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	m.setRunning(t.duty, 1)
	go func() { done <- t.run(ctx, g) }()
	for {
		now, changed, ok := m.tenure(t.duty)
		if !ok || now.Token != g.Token {
			cancel()
		}
		select {
		case <-changed:
		case err := <-done:
			m.setRunning(t.duty, -1)
			if err != nil && !errors.Is(err, context.Canceled) {
				m.options.Logger.Warn("task of a duty failed", "duty", t.duty, "error", err)
			}
			return
		}
	}
}

// setRunning adjusts the number of running tasks of a duty.
func (m *Manager) setRunning(duty string, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[duty] += by
	m.notify()
}

// waitIdle waits until no task of a duty is running; false if ctx ends first.
func (m *Manager) waitIdle(ctx context.Context, duty string) bool {
	for {
		m.mu.Lock()
		idle := m.running[duty] == 0
		changed := m.changed
		m.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (m *Manager) setStopping(duty string, stop bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stop {
		m.stopping[duty] = true
	} else {
		delete(m.stopping, duty)
	}
	m.notify()
}

// notify wakes the goroutines that wait for a change. The caller must hold mu.
func (m *Manager) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
