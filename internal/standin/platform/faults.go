package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Interface names one interface of the platform, for faults and counts.
type Interface string

// The interfaces of the platform.
const (
	TableInterface     Interface = "table"
	ObjectsInterface   Interface = "objects"
	ServersInterface   Interface = "servers"
	UsageInterface     Interface = "usage"
	InstancesInterface Interface = "instances"
)

// Fault is a fault of an interface. The zero value is a healthy interface.
type Fault struct {
	// Down rejects every call immediately, without effect.
	Down bool
	// Paused holds every call until the fault is cleared. A caller waits at most
	// until its deadline; the effect still happens when the pause ends.
	Paused bool
	// Delay is the time before the effect. The effect happens even if the caller's
	// deadline passes first.
	Delay time.Duration
	// ReplyDelay is the time between the effect and the reply.
	ReplyDelay time.Duration
	// LoseReplies is the number of further calls that take effect but whose reply
	// is lost. A negative value loses all replies.
	LoseReplies int
}

// faultKey selects calls by interface and caller. An empty caller selects the
// calls of every caller.
type faultKey struct {
	iface  Interface
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
func (p *Platform) SetFault(iface Interface, f Fault) { p.SetCallerFault("", iface, f) }

// SetCallerFault sets the fault of an interface for one caller; the zero Fault
// clears it. It takes precedence over the fault set for every caller.
func (p *Platform) SetCallerFault(caller string, iface Interface, f Fault) {
	s := &p.faults
	s.mu.Lock()
	defer s.mu.Unlock()
	key := faultKey{iface, caller}
	if f == (Fault{}) {
		delete(s.set, key)
	} else {
		s.set[key] = f
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the fault that applies to a call, and a channel that is closed
// when any fault changes.
func (f *faultSwitches) current(iface Interface, caller string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault, ok := f.set[faultKey{iface, caller}]; ok {
		return fault, f.changed
	}
	return f.set[faultKey{iface, ""}], f.changed
}

// consumeLostReply reports whether the reply of a call is lost, and counts it
// against Fault.LoseReplies.
func (f *faultSwitches) consumeLostReply(iface Interface, caller string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []faultKey{{iface, caller}, {iface, ""}} {
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

// waitPause waits until the interface is not paused. It returns an error if the
// platform is closed first.
func (p *Platform) waitPause(iface Interface, caller string) error {
	for {
		fault, changed := p.faults.current(iface, caller)
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

// cost is the number of rows that a call counts against the table service's rate
// limits.
type cost struct {
	reads, writes int
}

type outcome[T any] struct {
	value T
	err   error
}

// call runs effect with the faults of an interface. The effect of a delayed or
// paused call happens even if ctx ends first.
func call[T any](ctx context.Context, c *Caller, iface Interface, cost cost, effect func() (T, error)) (T, error) {
	var zero T
	p := c.p
	fault, _ := p.faults.current(iface, c.name)
	if fault.Down || ctx.Err() != nil {
		p.counts.refused(c.name, iface)
		return zero, api.ErrUnavailable
	}
	if !allow(ctx, p.reads, cost.reads) || !allow(ctx, p.writes, cost.writes) {
		p.counts.refused(c.name, iface)
		return zero, api.ErrUnavailable
	}
	if _, err := api.RunWriteCheck(ctx); err != nil {
		return zero, err
	}
	if !fault.Paused && fault.Delay == 0 && fault.ReplyDelay == 0 {
		return finish(c, iface, effect)
	}
	done := make(chan outcome[T], 1)
	p.running.Go(func() {
		done <- runDelayed(c, iface, fault, effect)
	})
	select {
	case out := <-done:
		return out.value, out.err
	case <-ctx.Done():
		return zero, api.ErrUnavailable
	}
}

// runDelayed runs the effect after the pause and the delay.
func runDelayed[T any](c *Caller, iface Interface, fault Fault, effect func() (T, error)) outcome[T] {
	var out outcome[T]
	if out.err = c.p.waitPause(iface, c.name); out.err != nil {
		return out
	}
	if wait.For(c.p.ctx, fault.Delay) != nil {
		out.err = api.ErrUnavailable
		return out
	}
	out.value, out.err = finish(c, iface, effect)
	if wait.For(c.p.ctx, fault.ReplyDelay) != nil {
		out.err = api.ErrUnavailable
	}
	return out
}

// finish runs the effect and discards the reply if the fault requires it.
func finish[T any](c *Caller, iface Interface, effect func() (T, error)) (T, error) {
	value, err := effect()
	if c.p.faults.consumeLostReply(iface, c.name) {
		var zero T
		return zero, api.ErrUnavailable
	}
	return value, err
}

// allow waits until a rate limiter admits n rows. It returns false if ctx ends
// first.
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
