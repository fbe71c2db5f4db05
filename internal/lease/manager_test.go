package lease

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/matryer/is"
)

const maxFailover = 15 * time.Second

func TestFailoverWithinBound(t *testing.T) {
	slow := map[string]standin.Fault{
		"healthy store":      {},
		"store with a delay": {Delay: 200 * time.Millisecond, ReplyDelay: 200 * time.Millisecond},
		"store of 1s a call": {Delay: 500 * time.Millisecond, ReplyDelay: 500 * time.Millisecond},
	}
	for name, fault := range slow {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
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

func TestReleaseIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 6)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		f.cancels[0]()
		took := f.waitHeld(t, 0, maxFailover)
		if took > 3*DefaultWatch {
			t.Fatalf("handover took %v", took)
		}
	})
}

func TestYoungTenureExpiresOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 6)
		defer f.stop()
		for _, m := range f.managers {
			m.options.MinTenure = time.Hour
		}
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		i := f.anyHolder(t)
		f.cancels[i]()
		took := f.waitHeld(t, i, maxFailover)
		if took < DefaultLease-DefaultHeartbeat {
			t.Fatalf("duties changed hands after %v, before the lease expired", took)
		}
	})
}

// anyHolder returns the index of an instance that holds a duty.
func (f *fleet) anyHolder(t *testing.T) int {
	t.Helper()
	for i, m := range f.managers {
		for _, duty := range f.duties {
			if _, held := m.Held(duty); held {
				return i
			}
		}
	}
	t.Fatal("no instance holds a duty")
	return -1
}

func TestWorkEndsBeforeRelease(t *testing.T) {
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
				time.Sleep(3 * time.Second) // slow to stop
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

func TestClaimDeletesFormerHeartbeat(t *testing.T) {
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
		rows, err := f.p.Caller("test").Table().Get(t.Context(), before.heartbeatKey())
		is.NoErr(err)
		is.Equal(rows[0].Version, uint64(0))
		is.True(f.managers[first].core.beat.holder != before) // continues under another incarnation
	})
}

func TestTableServiceOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8, 28)
		defer f.stop()
		f.startAll()
		f.waitHeld(t, -1, time.Minute)
		f.p.SetFault(standin.TableInterface, standin.Fault{Down: true})
		time.Sleep(DefaultLease)
		for _, duty := range f.duties {
			is.Equal(f.holder(t, duty), -1) // no instance may consider itself the holder during the outage
		}
		time.Sleep(time.Hour)
		f.p.SetFault(standin.TableInterface, standin.Fault{})
		took := f.waitHeld(t, -1, maxFailover)
		t.Logf("every duty held %v after the outage", took)
	})
}

func TestRollingReplacement(t *testing.T) {
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
			if held > maxDuties(len(f.duties)+1, len(f.names)) {
				t.Errorf("%s holds %d of %d duties", f.names[i], held, len(f.duties))
			}
		}
	})
}

func TestSimultaneousReplacement(t *testing.T) {
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

func TestSweepDeletesStaleHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1)
		defer f.stop()
		f.startAll()
		table := f.p.Caller("test").Table()
		ended := Holder{"gone", "1"}.heartbeatKey()
		_, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: ended}}})
		is.NoErr(err)
		time.Sleep(3*sweepInterval + time.Minute)
		rows, err := table.List(t.Context(), heartbeatPrefix, "", 100)
		is.NoErr(err)
		is.Equal(len(rows), 2)
		for _, row := range rows {
			is.True(!strings.Contains(row.Key, "gone"))
		}
	})
}

func TestGuardCheckMargin(t *testing.T) {
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
		remaining, err := g.Remaining()
		is.NoErr(err)
		is.Equal(remaining, left)
		f.crash(0)
		time.Sleep(left - DefaultWrite)
		var lost *LostError
		is.True(errors.As(g.Check(), &lost)) // a write might be sent after the lease has expired
		_, held := f.managers[0].Held(f.duties[0])
		is.True(held)
		_, err = f.p.Caller("i000-after").Servers().Place(g.Context(t.Context()), platform.Order{ID: "1"})
		is.True(errors.As(err, &lost)) // checked again right before the write
		is.Equal(f.p.Orders(), 0)
	})
}
