package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Interface names one interface of the platform for its fault switch.
type Interface string

// The interfaces of the platform.
const (
	TableInterface     Interface = "table"
	ObjectsInterface   Interface = "objects"
	ServersInterface   Interface = "servers"
	UsageInterface     Interface = "usage"
	InstancesInterface Interface = "instances"
)

// Fault is what is wrong with an interface. The zero value is a healthy one.
type Fault struct {
	// Down refuses every call at once, without effect.
	Down bool
	// Paused holds every call until the fault is cleared; the caller's deadline
	// ends its wait, and the effect comes when the pause ends.
	Paused bool
	// Delay passes before the effect. A caller that gives up earlier does not
	// stop the effect.
	Delay time.Duration
	// ReplyDelay passes between the effect and the reply.
	ReplyDelay time.Duration
	// LoseReplies is the number of calls whose effect stays and whose reply is
	// lost; -1 loses all.
	LoseReplies int
}

// faultKey selects calls; an empty caller selects those of every caller.
type faultKey struct {
	face   Interface
	caller string
}

type faultSwitches struct {
	mu      sync.Mutex
	set     map[faultKey]Fault
	changed chan struct{} // closed when a fault is set or cleared
}

func (f *faultSwitches) init() {
	f.set = make(map[faultKey]Fault)
	f.changed = make(chan struct{})
}

// SetFault sets the fault of an interface for every caller; the zero Fault clears it.
func (p *Platform) SetFault(face Interface, f Fault) { p.SetCallerFault("", face, f) }

// SetCallerFault sets the fault of an interface for one caller; it comes before
// the fault set for every caller.
func (p *Platform) SetCallerFault(caller string, face Interface, f Fault) {
	s := &p.faults
	s.mu.Lock()
	defer s.mu.Unlock()
	key := faultKey{face, caller}
	if f == (Fault{}) {
		delete(s.set, key)
	} else {
		s.set[key] = f
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the fault that applies and a channel closed at its change.
func (f *faultSwitches) current(face Interface, caller string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault, ok := f.set[faultKey{face, caller}]; ok {
		return fault, f.changed
	}
	return f.set[faultKey{face, ""}], f.changed
}

// takeLostReply reports whether the reply of a call is lost, and counts it.
func (f *faultSwitches) takeLostReply(face Interface, caller string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []faultKey{{face, caller}, {face, ""}} {
		fault, ok := f.set[key]
		if !ok {
			continue
		}
		if fault.LoseReplies > 0 {
			fault.LoseReplies--
			f.set[key] = fault
			return true
		}
		return fault.LoseReplies < 0
	}
	return false
}

// waitPause returns when the interface is not paused.
func (p *Platform) waitPause(face Interface, caller string) error {
	for {
		fault, changed := p.faults.current(face, caller)
		if !fault.Paused {
			return nil
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return api.ErrUnavailable
		}
	}
}

// cost is what a call takes of the table service's limits, in rows.
type cost struct {
	reads, writes int
}

type outcome[T any] struct {
	value T
	err   error
}

// call runs an effect under the faults of an interface. The effect of a slow or
// paused call comes about even when the caller has given up.
func call[T any](ctx context.Context, c *Caller, face Interface, cost cost, effect func() (T, error)) (T, error) {
	var zero T
	p := c.p
	fault, _ := p.faults.current(face, c.name)
	if fault.Down || ctx.Err() != nil {
		p.counts.refused(c.name, face)
		return zero, api.ErrUnavailable
	}
	if !allow(ctx, p.reads, cost.reads) || !allow(ctx, p.writes, cost.writes) {
		p.counts.refused(c.name, face)
		return zero, api.ErrUnavailable
	}
	if err := api.RunCheck(ctx); err != nil {
		return zero, err
	}
	if !fault.Paused && fault.Delay == 0 && fault.ReplyDelay == 0 {
		return finish(c, face, effect)
	}
	done := make(chan outcome[T], 1)
	p.running.Go(func() {
		done <- late(c, face, fault, effect)
	})
	select {
	case out := <-done:
		return out.value, out.err
	case <-ctx.Done():
		return zero, api.ErrUnavailable
	}
}

// late runs the effect after the pause and the delay.
func late[T any](c *Caller, face Interface, fault Fault, effect func() (T, error)) outcome[T] {
	var out outcome[T]
	if out.err = c.p.waitPause(face, c.name); out.err != nil {
		return out
	}
	if wait.For(c.p.ctx, fault.Delay) != nil {
		out.err = api.ErrUnavailable
		return out
	}
	out.value, out.err = finish(c, face, effect)
	if wait.For(c.p.ctx, fault.ReplyDelay) != nil {
		out.err = api.ErrUnavailable
	}
	return out
}

// finish runs the effect and loses the reply if the fault says so.
func finish[T any](c *Caller, face Interface, effect func() (T, error)) (T, error) {
	value, err := effect()
	if c.p.faults.takeLostReply(face, c.name) {
		var zero T
		return zero, api.ErrUnavailable
	}
	return value, err
}

// allow waits for n rows of a limit; false when the caller's deadline comes first.
func allow(ctx context.Context, l *rate.Limiter, n int) bool {
	for n > 0 && l.Limit() != rate.Inf {
		step := min(n, l.Burst())
		if l.WaitN(ctx, step) != nil {
			return false
		}
		n -= step
	}
	return true
}
