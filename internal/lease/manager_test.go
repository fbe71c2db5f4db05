package lease

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/matryer/is"
)

// fleet is a number of managers on one stand-in.
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

// memberLag is how late the instances learn of a crash.
const memberLag = 5 * time.Second

// members lists the instances that run, and those that crashed just now.
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

// named tells the recorder which instance an event is of.
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

// crash cuts an instance off from the store for good.
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

// holder returns who holds a duty, -1 when nobody does.
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

// waitHeld returns how long it took until every duty is held by an instance
// other than the given one.
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

const maxFailover = 15 * time.Second

func TestFailoverWithinBound(t *testing.T) {
	slow := map[string]standin.Fault{
		"healthy store":      {},
		"store with a delay": {Delay: 200 * time.Millisecond, ReplyDelay: 200 * time.Millisecond},
	}
	for name, fault := range slow {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(8, 28)
				defer f.stop()
				f.p.SetFault(standin.TableInterface, fault)
				f.startAll()
				f.waitHeld(t, -1, time.Minute)
				worst := time.Duration(0)
				for i := range 7 {
					time.Sleep(time.Duration(900*i) * time.Millisecond)
					f.crash(i)
					worst = max(worst, f.waitHeld(t, i, maxFailover))
				}
				t.Logf("longest failover %v", worst)
			})
		})
	}
}

func TestReleaseHandsOverWithoutWaitingForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 6)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		f.cancels[0]()
		took := f.waitHeld(t, 0, maxFailover)
		if took > 3*DefaultWatch {
			t.Fatalf("hand-over took %v", took)
		}
	})
}

func TestWorkEndsBeforeItsDutyIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		defer f.stop()
		var mu sync.Mutex
		running := 0
		for _, m := range f.managers {
			m.Do(f.duties[0], func(ctx context.Context, g Guard) error {
				mu.Lock()
				running++
				if running > 1 {
					t.Error("work runs on two instances")
				}
				mu.Unlock()
				<-ctx.Done()
				time.Sleep(3 * time.Second) // work that takes its time to end
				mu.Lock()
				running--
				mu.Unlock()
				return nil
			})
		}
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		first := f.holder(t, f.duties[0])
		time.Sleep(2 * time.Second)
		f.cancels[first]()
		f.waitHeld(t, first, maxFailover)
		time.Sleep(5 * time.Second)
	})
}

func TestClaimDeletesTheFormerHeartbeatRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		first := f.holder(t, f.duties[0])
		before := f.managers[first].core.beat.holder
		f.crash(first)
		f.waitHeld(t, first, maxFailover)
		f.p.SetCallerFault(f.names[first], standin.TableInterface, standin.Fault{})
		time.Sleep(2 * DefaultHeartbeat)
		rows, err := f.p.Caller("test").Table().Get(t.Context(), before.aliveKey())
		is.NoErr(err)
		is.Equal(rows[0].Version, uint64(0))
		is.True(f.managers[first].core.beat.holder != before) // continues under another incarnation
	})
}

func TestStoreOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8, 28)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		f.p.SetFault(standin.TableInterface, standin.Fault{Down: true})
		time.Sleep(DefaultLease)
		for _, duty := range f.duties {
			is.Equal(f.holder(t, duty), -1) // nobody may believe during the outage
		}
		time.Sleep(time.Hour)
		f.p.SetFault(standin.TableInterface, standin.Fault{})
		took := f.waitHeld(t, -1, maxFailover)
		t.Logf("every duty held %v after the outage", took)
	})
}

func TestEveryInstanceReplacedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, 8)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		for i := range f.managers {
			f.cancels[i]()
			f.waitHeld(t, i, maxFailover)
			f.managers[i] = f.newManager(i)
			f.start(i)
		}
		time.Sleep(2 * time.Minute)
		f.waitHeld(t, -1, time.Second)
		for i, m := range f.managers {
			held := 0
			for _, duty := range f.duties {
				if _, ok := m.Held(duty); ok {
					held++
				}
			}
			if held > loadLimit(len(f.duties)+1, len(f.names)) {
				t.Errorf("%s holds %d of %d duties", f.names[i], held, len(f.duties))
			}
		}
	})
}

func TestEveryInstanceReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 28)
		defer f.stop()
		for i := range 4 {
			f.start(i)
		}
		f.waitHeld(t, -1, time.Minute)
		for i := range 4 {
			f.crash(i)
		}
		for i := 4; i < 8; i++ {
			f.start(i)
		}
		start := time.Now()
		for _, duty := range f.duties {
			for f.holder(t, duty) < 4 && time.Since(start) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
		}
		if took := time.Since(start); took > memberLag+maxFailover {
			t.Fatalf("every duty held again after %v", took)
		}
	})
}

func TestSweepDeletesRowsOfEndedIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1)
		defer f.stop()
		f.startAll()
		table := f.p.Caller("test").Table()
		ended := Holder{"gone", "1"}.aliveKey()
		_, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: ended}}})
		is.NoErr(err)
		time.Sleep(3*sweepInterval + time.Minute)
		rows, err := table.List(t.Context(), alivePrefix, "", 100)
		is.NoErr(err)
		is.Equal(len(rows), 2)
		for _, row := range rows {
			is.True(!strings.Contains(row.Key, "gone"))
		}
	})
}

func TestCheckFailsBeforeTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		g, _, ok := f.managers[0].tenure(f.duties[0])
		is.True(ok)
		is.NoErr(g.Check())
		left := f.managers[0].core.beat.remaining(f.managers[0].reading())
		f.crash(0)
		time.Sleep(left - DefaultWrite)
		var lost *LostError
		is.True(errors.As(g.Check(), &lost)) // a write might leave after the lease
		_, held := f.managers[0].Held(f.duties[0])
		is.True(held)
		_, err := f.p.Caller("i000-after").Servers().Place(g.Context(t.Context()), platform.Order{ID: "1"})
		is.True(errors.As(err, &lost)) // checked again right before the write
		is.Equal(f.p.Orders(), 0)
	})
}

// lockInput is an operation on one duty, as seen from outside.
type lockInput struct {
	acquire bool
	token   uint64
}

// TestTenuresAreLinearizable checks the recorded tenures against a lock: from
// acquisition to the end that the holder believed in, nobody else acquires, and
// tokens rise.
func TestTenuresAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 3)
		f.startAll()
		for round := range 40 {
			i := round % 5
			fault := standin.Fault{LoseReplies: 2}
			switch round % 3 {
			case 1:
				fault = standin.Fault{Delay: 5 * time.Second}
			case 2:
				fault = standin.Fault{Paused: true}
			}
			f.p.SetCallerFault(f.names[i], standin.TableInterface, fault)
			time.Sleep(time.Duration(7+round) * time.Second)
			f.p.SetCallerFault(f.names[i], standin.TableInterface, standin.Fault{})
		}
		f.stop()
		events, lost := f.ring.Snapshot()
		if lost > 0 {
			t.Fatalf("%d events lost", lost)
		}
		for _, duty := range f.duties {
			checkTenures(t, duty, events)
		}
	})
}

// checkTenures builds the history of one duty and has porcupine check it.
func checkTenures(t *testing.T, duty string, events []timeline.Event) {
	t.Helper()
	var ops []porcupine.Operation
	clients := make(map[string]int)
	for i, e := range events {
		if e.Duty != duty || e.Kind != timeline.LeaseAcquired {
			continue
		}
		if _, ok := clients[e.Subject]; !ok {
			clients[e.Subject] = len(clients)
		}
		start, end := e.Time.UnixNano(), tenureEnd(events[i:], e).UnixNano()
		client := clients[e.Subject]
		ops = append(ops,
			porcupine.Operation{ClientId: client, Input: lockInput{true, e.Token}, Call: start, Return: start},
			porcupine.Operation{ClientId: client, Input: lockInput{false, e.Token}, Call: end, Return: end})
	}
	if len(ops) < 8 {
		t.Fatalf("duty %q changed hands %d times only", duty, len(ops)/2)
	}
	if !porcupine.CheckOperations(lockModel, ops) {
		t.Errorf("tenures of %q overlap or their tokens do not rise", duty)
	}
}

// tenureEnd is when the holder stopped to believe.
func tenureEnd(events []timeline.Event, acquired timeline.Event) time.Time {
	end := acquired.Until
	for _, e := range events {
		if e.Duty != acquired.Duty || e.Token != acquired.Token || e.Subject != acquired.Subject {
			continue
		}
		switch e.Kind {
		case timeline.LeaseRenewed:
			end = e.Until
		case timeline.LeaseLost, timeline.LeaseReleased:
			return e.Time
		}
	}
	return end
}

// lockState is who holds and the highest token.
type lockState struct{ holder, highest uint64 }

var lockModel = porcupine.Model{
	Init: func() interface{} { return lockState{} },
	Step: func(state, input, _ interface{}) (bool, interface{}) {
		s, in := state.(lockState), input.(lockInput)
		if in.acquire {
			return s.holder == 0 && in.token > s.highest, lockState{in.token, in.token}
		}
		return s.holder == in.token, lockState{0, s.highest}
	},
}
