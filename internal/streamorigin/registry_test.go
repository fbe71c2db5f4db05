package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const testTables = 2

// world is a store, the servers of service "s", and instances. It is used in a bubble of synctest.
type world struct {
	t     *testing.T
	store *fakeStore
	began time.Time

	mu        sync.Mutex
	servers   map[string]int // by version
	instances int
	rate      float64
}

func newWorld(t *testing.T, versions ...string) *world {
	t.Helper()
	w := &world{t: t, store: newFakeStore(testTables), began: time.Now().Add(-time.Hour), servers: map[string]int{}, rate: 200}
	w.list(versions...)
	return w
}

// list sets the versions that are listed, the first ones with the most servers.
func (w *world) list(versions ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = map[string]int{}
	for i, v := range versions {
		w.servers[v] = 10 - i
	}
}

func (w *world) now() boottime.Instant { return boottime.Instant(time.Since(w.began)) }

// node is one instance.
type node struct {
	*Registry
	link *link
	kill context.CancelFunc

	mu   sync.Mutex
	view View
	cut  bool
}

func (w *world) look(n *node) View {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		return n.view
	}
	n.link.follow()
	w.mu.Lock()
	defer w.mu.Unlock()
	n.view = View{AsOf: w.now(), Services: map[string]map[string]int{"s": maps.Clone(w.servers)}}
	return n.view
}

// setCut cuts the instance off from the store or ends that.
func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.link.setCut(cut)
}

// start starts an instance. bootstrap is its setting.
func (w *world) start(bootstrap bool) *node {
	w.mu.Lock()
	w.instances++
	name := fmt.Sprintf("instance-%d", w.instances)
	w.mu.Unlock()
	n := &node{link: &link{store: w.store}}
	n.Registry = New(Options{
		Instance: name, Tables: n.link.tables(), View: func() View { return w.look(n) },
		Instances: func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.instances
		},
		Rate: w.rate, LongestTimeout: func() time.Duration { return 10 * time.Second }, Bootstrap: bootstrap,
		Epoch: n.link.known, Now: w.now, Logger: hclog.NewNullLogger(),
	})
	ctx, kill := context.WithCancel(w.t.Context())
	n.kill = kill
	w.t.Cleanup(kill)
	go n.Run(ctx)
	return n
}

// hold starts the duty at an instance.
func (w *world) hold(n *node) (stop context.CancelFunc) {
	ctx, stop := context.WithCancel(w.t.Context())
	w.t.Cleanup(stop)
	go func() { _ = n.Hold(ctx, func() error { return nil }) }()
	return stop
}

// begin begins a stream at a version, as the gateway does.
func (n *node) begin(ctx context.Context, attempt, version string) error {
	c := n.Track(attempt, "s")
	defer c.Ended()
	c.Sending(version)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return c.Confirm(ctx)
}

// retryAfter returns the error's time, and false if it is no *gateway.OriginUnknownError.
func retryAfter(err error) (time.Duration, bool) {
	var unknown *gateway.OriginUnknownError
	if errors.As(err, &unknown) {
		return unknown.RetryAfter, true
	}
	return 0, false
}

// settled returns a world at whose base v1 streams begin without a record, with two instances, of
// which the first one holds the duty.
func settled(t *testing.T, versions ...string) (w *world, holder, other *node) {
	t.Helper()
	w = newWorld(t, "v1")
	holder, other = w.start(true), w.start(true)
	w.hold(holder)
	time.Sleep(5 * time.Second)
	w.list(versions...)
	time.Sleep(2 * time.Second)
	return w, holder, other
}

func TestStreamAtBaseNeedsNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		before := w.store.commitCount()
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		is.Equal(w.store.commitCount(), before)
		version, err := holder.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestRestartedInstancesFindOrigins guards against streams that go on at another version after all
// instances were killed at once.
func TestRestartedInstancesFindOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		is.NoErr(other.begin(t.Context(), "b", "v2"))
		holder.kill()
		other.kill()
		w.list("v2") // the servers of the base version are gone too
		fresh := w.start(false)
		for attempt, want := range map[string]string{"a": "v1", "b": "v2"} {
			version, err := fresh.Find(t.Context(), attempt, "s")
			is.NoErr(err)
			is.Equal(version, want)
		}
		is.NoErr(fresh.begin(t.Context(), "c", "v2"))
		version, err := w.start(false).Find(t.Context(), "c", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestLateRecordDoesNotUndoLaterVersion guards against a record that the store performs late, after
// a second try has used another version.
func TestLateRecordDoesNotUndoLaterVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2", "v3")
		var late platform.Txn
		var once sync.Once
		other.link.setIntercept(func(txn platform.Txn) (bool, bool) {
			first := false
			once.Do(func() { late, first = txn, true })
			return !first, !first
		})
		c := other.Track("a", "s")
		c.Sending("v2")
		time.Sleep(100 * time.Millisecond) // it is in flight
		c.Sending("v3")
		is.NoErr(c.Confirm(t.Context()))
		for table := range testTables {
			_, err := w.store.apply(table, late)
			is.NoErr(err)
		}
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v3")
	})
}

// TestReturnToBaseIsRecorded guards against a record of another version, performed late, of a stream
// that began at the base version.
func TestReturnToBaseIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		c := other.Track("a", "s")
		c.Sending("v2")
		time.Sleep(100 * time.Millisecond)
		c.Sending("v1")
		is.NoErr(c.Confirm(t.Context()))
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestUnsentRecordLeavesNoTrace checks that a record that was only queued costs nothing.
func TestUnsentRecordLeavesNoTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "z", "v2"))
		synctest.Wait() // the writer pauses
		before := w.store.commitCount()
		c := other.Track("a", "s")
		c.Sending("v2")
		c.Sending("v1")
		is.NoErr(c.Confirm(t.Context()))
		c.Ended()
		time.Sleep(time.Second)
		is.Equal(w.store.commitCount(), before)
	})
}

// TestKilledBeforeFirstEvent checks that a record without a stream is deleted, and names nothing
// but its own attempt.
func TestKilledBeforeFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		c := other.Track("a", "s")
		c.Sending("v2")
		is.NoErr(c.Confirm(t.Context()))
		other.kill() // before the first event
		is.Equal(len(w.store.rows(originPrefix)), 1)
		fresh := w.start(false)
		time.Sleep(2 * time.Second)
		is.NoErr(fresh.begin(t.Context(), "b", "v1")) // the caller's next attempt
		version, err := w.start(false).Find(t.Context(), "b", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
		time.Sleep(2*minQuiet - 10*time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 1) // the sweep leaves it to who wrote it
		time.Sleep(3 * minQuiet)
		is.Equal(len(w.store.rows(originPrefix)), 0)
	})
}

// TestLostAnswerIsTriedAgain guards against a record that counts as failed since an answer was lost.
func TestLostAnswerIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		calls := 0
		other.link.setIntercept(func(platform.Txn) (bool, bool) {
			calls++
			return true, calls > 2
		})
		start := time.Now()
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		is.True(time.Since(start) < 2*time.Second)
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestPartOfStoreAway checks that records go to another part while one does not answer.
func TestPartOfStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		for _, failing := range other.options.Tables {
			other.options.Tables[0].(*linkTable).away = failing == other.options.Tables[0]
			other.options.Tables[1].(*linkTable).away = failing == other.options.Tables[1]
			is.NoErr(other.begin(t.Context(), fmt.Sprint(failing), "v2"))
		}
		is.Equal(len(w.store.rows(originPrefix)), 2)
	})
}

// TestBaseRowOfOtherWriterIsKept guards against a holder that replaces a base row that it has not
// read.
func TestBaseRowOfOtherWriterIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, n, _ := settled(t, "v1", "v2")
		h := &holder{registry: n.Registry, closed: map[string]boottime.Instant{}}
		is.NoErr(h.load(t.Context()))
		_, err := w.store.apply(0, platform.Txn{Writes: []platform.Write{{Key: basePrefix + "s", Value: []byte(`{"version":"v2","epoch":0}`)}}})
		is.NoErr(err)
		var conflict *platform.ConflictError
		is.True(errors.As(h.write(t.Context(), "s", baseRow{Version: "v3"}), &conflict))
	})
}

// TestSlowStore checks that a store that takes half a second for each call is waited for.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		other.link.delay = 500 * time.Millisecond
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		fresh := w.start(false)
		fresh.link.delay = 500 * time.Millisecond
		version, err := fresh.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestStoreAway checks that streams at the base version begin without the store for the time of
// trust, that others fail before their first event, and that resumptions may come again.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		w.store.setDown(true)
		holder.setCut(true)
		other.setCut(true)
		is.NoErr(other.begin(t.Context(), "a", "v1"))
		var failed *NotRecordedError
		is.True(errors.As(other.begin(t.Context(), "b", "v2"), &failed))
		version, err := other.Find(t.Context(), "a", "s") // its own
		is.NoErr(err)
		is.Equal(version, "v1")
		start := time.Now()
		_, err = holder.Find(t.Context(), "a", "s")
		after, ok := retryAfter(err)
		is.True(ok)
		is.Equal(after, findRetryAfter)
		is.Equal(time.Since(start), (300+450+600)*time.Millisecond+findTries*findPause)
		time.Sleep(timesFor(10*time.Second).trust - 5*time.Second)
		is.NoErr(other.begin(t.Context(), "c", "v1"))
		time.Sleep(10 * time.Second)
		is.True(errors.As(other.begin(t.Context(), "d", "v1"), &failed))
		w.store.setDown(false)
		holder.setCut(false)
		other.setCut(false)
		time.Sleep(3 * time.Second)
		is.NoErr(other.begin(t.Context(), "e", "v1"))
	})
}

// TestBaseMovesWhileInstanceIsBehind guards against an instance that goes on to begin streams at
// the former base version without a record.
func TestBaseMovesWhileInstanceIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		other.setCut(true)
		w.list("v2")
		lastBegun := time.Time{}
		for i := range 400 {
			if other.begin(t.Context(), fmt.Sprint("a", i), "v1") == nil {
				lastBegun = time.Now()
			}
			version, err := holder.Find(t.Context(), "unknown", "s")
			is.NoErr(err)
			if version == "v2" {
				break
			}
			time.Sleep(time.Second)
		}
		version, err := holder.Find(t.Context(), "unknown", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
		is.True(time.Since(lastBegun) >= timesFor(10*time.Second).life) // the last one without a record has ended
		other.setCut(false)
		time.Sleep(3 * time.Second)
		is.NoErr(other.begin(t.Context(), "z", "v1")) // recorded
		version, err = holder.Find(t.Context(), "z", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestBaseStaysWhileVersionComesBack checks that a short absence of the base version only closes
// the base.
func TestBaseStaysWhileVersionComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.list("v2")
		time.Sleep(closeAfter + 5*time.Second)
		before := w.store.commitCount()
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		is.Equal(w.store.commitCount(), before+1) // recorded
		w.list("v1", "v2")
		time.Sleep(5 * time.Second)
		before = w.store.commitCount()
		is.NoErr(other.begin(t.Context(), "b", "v1"))
		is.Equal(w.store.commitCount(), before)
	})
}

// TestTwoHolders guards against two holders of the duty that decide differently.
func TestTwoHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, holder, other := settled(t, "v1", "v2")
		w.hold(other)
		w.list("v2", "v3")
		time.Sleep(20 * time.Second)
		holder.setCut(true) // it still sees v2 and v3
		w.list("v3")
		time.Sleep(100 * time.Second)
		holder.setCut(false)
		var answers []string // in order, each change once
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range []*node{holder, other} {
				version, err := n.Find(t.Context(), "unknown", "s")
				is.NoErr(err)
				answers = append(answers, version)
			}
		}
		is.Equal(slices.Compact(answers), []string{"v1", "v3"})
		is.Equal(len(w.store.rows(basePrefix)), 1)
	})
}

// TestRestoredBaseIsNotValid guards against take-ups at the base version of an older copy of the
// store.
func TestRestoredBaseIsNotValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		killed := w.start(true)
		time.Sleep(2 * time.Second)
		w.store.copyRows()
		is.NoErr(killed.begin(t.Context(), "a", "v2")) // lost with the restore, and with who knows it
		killed.kill()
		w.store.restore()
		fresh := w.start(false)
		_, err := fresh.Find(t.Context(), "a", "s")
		after, ok := retryAfter(err)
		is.True(ok)
		is.True(after > 0)
		is.NoErr(other.begin(t.Context(), "b", "v1")) // recorded once the new epoch is known
		time.Sleep(2 * time.Second)
		is.NoErr(other.begin(t.Context(), "c", "v1"))
		version, err := fresh.Find(t.Context(), "c", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
		time.Sleep(timesFor(10*time.Second).life - 3*time.Second)
		_, err = fresh.Find(t.Context(), "a", "s")
		_, ok = retryAfter(err)
		is.True(ok) // the stream may still run
		time.Sleep(10 * time.Second)
		version, err = fresh.Find(t.Context(), "unknown", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestRestoreWithOneVersion checks that the base is back soon if no other version was listed since
// the first start.
func TestRestoreWithOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, _ := settled(t, "v1")
		killed := w.start(true)
		time.Sleep(2 * time.Second)
		w.store.copyRows()
		is.NoErr(killed.begin(t.Context(), "a", "v1"))
		killed.kill()
		w.store.restore()
		fresh := w.start(false)
		_, err := fresh.Find(t.Context(), "a", "s")
		_, ok := retryAfter(err)
		is.True(ok)
		time.Sleep(settling + 2*time.Second)
		version, err := fresh.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestOlderBaseAfterRestore guards against a base version that had moved on before the restore.
func TestOlderBaseAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, _ := settled(t, "v1", "v2")
		w.store.copyRows()
		w.list("v2")
		time.Sleep(3 * minQuiet)
		w.list("v2", "v1")
		time.Sleep(5 * time.Second)
		killed := w.start(true)
		time.Sleep(2 * time.Second)
		before := w.store.commitCount()
		is.NoErr(killed.begin(t.Context(), "a", "v2"))
		is.Equal(w.store.commitCount(), before) // v2 is the base
		killed.kill()
		w.store.restore() // to a copy whose base is v1
		fresh := w.start(false)
		for range 200 {
			time.Sleep(time.Second)
			version, err := fresh.Find(t.Context(), "a", "s")
			if err == nil {
				is.Equal(version, "v2")
			}
		}
		version, err := fresh.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

// TestRecordLostInRestoreIsWrittenAgain guards against a stream that begins although its record
// was lost between the acknowledgement and the first event.
func TestRecordLostInRestoreIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.store.copyRows()
		c := other.Track("a", "s")
		c.Sending("v2")
		time.Sleep(time.Second) // acknowledged
		w.store.restore()
		_, _ = other.Find(t.Context(), "x", "s") // tells the instance of the restore
		is.NoErr(c.Confirm(t.Context()))
		version, err := w.start(false).Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v2")
	})
}

func TestFullQueueFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		w.store.setDown(true)
		failures := 0
		for i := range maxPending + 200 {
			c := other.Track(fmt.Sprint(i), "s")
			c.Sending("v2")
			if c.(*record).failure != nil {
				failures++
				is.True(c.Confirm(t.Context()) != nil)
			}
		}
		is.True(failures >= 100)
		is.True(len(other.queue.items) <= maxPending)
	})
}

// TestRateOfAllInstances checks the transactions a second of many instances under more load than
// they may write at once, and that each stream is recorded.
func TestRateOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "v1", "v2")
		w.rate = 60
		var nodes []*node
		for range 40 {
			nodes = append(nodes, w.start(true))
		}
		time.Sleep(2 * time.Second)
		before, start := w.store.commitCount(), time.Now()
		var running sync.WaitGroup
		var mu sync.Mutex
		var sum, longest time.Duration
		streams := 0
		for i, n := range nodes {
			running.Go(func() {
				for k := range 60 {
					time.Sleep(100 * time.Millisecond)
					begun := time.Now()
					if err := n.begin(t.Context(), fmt.Sprint(i, "/", k), "v2"); err != nil {
						t.Error(err)
					}
					mu.Lock()
					sum, longest, streams = sum+time.Since(begun), max(longest, time.Since(begun)), streams+1
					mu.Unlock()
				}
			})
		}
		running.Wait()
		rate := float64(w.store.commitCount()-before) / time.Since(start).Seconds()
		t.Logf("40 instances: %.1f transactions a second of 60, %d streams, mean wait %v, longest %v", rate, streams, sum/time.Duration(streams), longest)
		is.True(rate <= 60*1.1)
		is.Equal(len(w.store.rows(originPrefix)), 40*60)
	})
}

// TestRecordsAreDeleted checks that records are deleted by who wrote them, and leave no rows.
func TestRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		for i := range 120 {
			is.NoErr(other.begin(t.Context(), fmt.Sprint(i), "v2"))
		}
		is.Equal(len(w.store.rows(originPrefix)), 120)
		before := w.store.commitCount()
		time.Sleep(minQuiet - 10*time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 120)
		time.Sleep(30 * time.Second)
		is.Equal(len(w.store.rows(originPrefix)), 0)
		is.True(w.store.commitCount()-before <= 8)
	})
}

func TestUnnamedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1")
		version, err := other.Find(t.Context(), "", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
		w.list("v1", "v2")
		time.Sleep(2 * time.Second)
		_, err = other.Find(t.Context(), "", "s")
		after, ok := retryAfter(err)
		is.True(ok)
		is.Equal(after, time.Duration(0))
		is.NoErr(other.begin(t.Context(), "b", "v2"))
		w.list("v1")
		time.Sleep(2 * time.Second)
		_, err = other.Find(t.Context(), "", "s") // b's stream may still run
		_, ok = retryAfter(err)
		is.True(ok)
		time.Sleep(3 * minQuiet)
		version, err = other.Find(t.Context(), "", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

func TestOtherServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		for _, n := range []*node{other, w.start(false)} {
			_, err := n.Find(t.Context(), "a", "another")
			after, ok := retryAfter(err)
			is.True(ok)
			is.Equal(after, time.Duration(0))
		}
	})
}

// TestUpgradeWaits checks that without rows and bootstrap the base is not decided before streams of
// an earlier release have ended.
func TestUpgradeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "v1", "v2")
		n := w.start(false)
		w.hold(n)
		time.Sleep(minQuiet - 2*time.Second)
		_, err := n.Find(t.Context(), "a", "s")
		_, ok := retryAfter(err)
		is.True(ok)
		time.Sleep(10 * time.Second)
		version, err := n.Find(t.Context(), "a", "s")
		is.NoErr(err)
		is.Equal(version, "v1")
	})
}

// TestUnreadableBaseIsNotValid guards against a row of another writer that counts as a base.
func TestUnreadableBaseIsNotValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, other := settled(t, "v1", "")
		_, err := w.store.apply(0, platform.Txn{Writes: []platform.Write{{Key: basePrefix + "s", Value: []byte("x")}}})
		is.NoErr(err)
		other.kill()
		fresh := w.start(false)
		time.Sleep(2 * time.Second)
		_, err = fresh.Find(t.Context(), "a", "s")
		is.True(err != nil)
		before := w.store.commitCount()
		is.NoErr(fresh.begin(t.Context(), "b", ""))
		is.True(w.store.commitCount() > before)
	})
}

func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, other := settled(t, "v1", "v2")
		is.NoErr(other.begin(t.Context(), "a", "v2"))
		_, err := other.Find(t.Context(), "a", "s")
		is.NoErr(err)
		var text strings.Builder
		other.WriteMetrics(&text)
		for _, line := range []string{
			"hawthornwick_stream_records_written_total 1", "hawthornwick_stream_records_pending 0", "hawthornwick_stream_records_failed_total 0",
			`hawthornwick_stream_origin_lookups_total{result="local"} 1`, `hawthornwick_stream_base{service="s",version="v1",closed="false"} 1`,
		} {
			is.True(strings.Contains(text.String(), line+"\n"))
		}
	})
}

// TestHolderDecidesOnCurrentState guards against a base that is decided on an old list of servers, or
// on rows of another epoch than the watch.
func TestHolderDecidesOnCurrentState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, n, _ := settled(t, "v1", "v2")
		h := &holder{registry: n.Registry, closed: map[string]boottime.Instant{}, rows: map[string]heldRow{}}
		is.Equal(len(h.decide()), 1) // no row, first start
		h.epoch = 1
		is.Equal(len(h.decide()), 0)
		h.epoch = 0
		n.setCut(true)
		w.list("v2")
		time.Sleep(maxViewAge + time.Second)
		is.Equal(len(h.decide()), 0)
	})
}

// TestTrustedBaseIsNotedBeforeRowsAreRead guards against a restore that is first learned of by the
// read of the base rows, after which the base up to the restore is forgotten.
func TestTrustedBaseIsNotedBeforeRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _, n := settled(t, "v1", "v2")
		w.store.copyRows()
		w.store.restore()
		_, err := n.options.Tables[0].Get(t.Context(), "x") // learns of the restore
		is.NoErr(err)
		is.NoErr(n.readBases(t.Context()))
		is.Equal(n.trusted["s"], "v1")
	})
}

func TestExpiringRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	for range 2 * maxExpiring {
		q.expire(0, 1, originID{})
	}
	is.Equal(len(q.expired[0]), maxExpiring)
}
