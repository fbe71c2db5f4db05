package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// fleet is a number of managers on one stand-in of the platform.
type fleet struct {
	p        *standin.Platform
	ring     *timeline.Ring
	duties   []string
	names    []string
	managers []*Manager
	cancels  []context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	started map[string]bool
	crashed map[string]time.Time
}

// memberLag is the delay until the instances' member lists reflect a crash.
const memberLag = 5 * time.Second

// members returns the running instances, and those that crashed less than memberLag ago.
func (f *fleet) members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, name := range f.names {
		at, crashed := f.crashed[name]
		if f.started[name] && (!crashed || time.Since(at) < memberLag) {
			list = append(list, name)
		}
	}
	return list
}

func newFleet(instances, duties int) *fleet {
	f := &fleet{p: standin.New(standin.Options{}), ring: timeline.NewRing("test", 0, nil)}
	for i := range duties {
		f.duties = append(f.duties, fmt.Sprintf("duty-%02d", i))
	}
	for i := range instances {
		f.names = append(f.names, fmt.Sprintf("i%03d", i))
	}
	for i := range instances {
		f.managers = append(f.managers, f.newManager(i))
		f.cancels = append(f.cancels, nil)
	}
	f.started = make(map[string]bool)
	f.crashed = make(map[string]time.Time)
	return f
}

// named sets the instance of each event as its subject.
type named struct {
	timeline.Recorder
	name string
}

// Record implements timeline.Recorder.
func (n named) Record(e timeline.Event) {
	e.Subject = n.name
	n.Recorder.Record(e)
}

func (f *fleet) newManager(i int) *Manager {
	return NewManager(Options{
		Instance: f.names[i],
		Table:    f.p.Caller(f.names[i]).Table(),
		Duties:   f.duties,
		Members:  f.members,
		Recorder: named{f.ring, f.names[i]},
	})
}

func (f *fleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels[i] = cancel
	f.mu.Lock()
	f.started[f.names[i]] = true
	f.mu.Unlock()
	m := f.managers[i]
	f.done.Go(func() { _ = m.Run(ctx) })
}

func (f *fleet) startAll() {
	for i := range f.managers {
		f.start(i)
	}
}

// crash cuts an instance off from the table service permanently.
func (f *fleet) crash(i int) {
	f.p.SetCallerFault(f.names[i], standin.TableInterface, standin.Fault{Down: true})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed[f.names[i]] = time.Now()
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		if cancel != nil {
			cancel()
		}
	}
	f.done.Wait()
	f.p.Close()
}

// holder returns the index of the instance that holds a duty, or -1. It fails the test if
// several do.
func (f *fleet) holder(t *testing.T, duty string) int {
	t.Helper()
	found := -1
	for i, m := range f.managers {
		if _, ok := m.Held(duty); !ok {
			continue
		}
		if found >= 0 {
			t.Fatalf("%q is held by %s and %s", duty, f.names[found], f.names[i])
		}
		found = i
	}
	return found
}

// waitHeld returns the time until every duty is held by an instance other than except.
func (f *fleet) waitHeld(t *testing.T, except int, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		if f.allHeld(t, except) {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not every duty is held after %v", limit)
	return 0
}

func (f *fleet) allHeld(t *testing.T, except int) bool {
	t.Helper()
	for _, duty := range f.duties {
		if h := f.holder(t, duty); h < 0 || h == except {
			return false
		}
	}
	return true
}
