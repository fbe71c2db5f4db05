package usage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/matryer/is"
)

// cluster is a number of instances, each of which replicates to the next live one.
type cluster struct {
	p       *standin.Platform
	nodes   []*node
	running sync.WaitGroup

	mu              sync.Mutex
	replicatedBytes int64 // bytes sent to peers
}

type node struct {
	name    string
	meter   *Meter
	custody *ReplicaStore
	cancel  context.CancelFunc
	crashed bool // accepts no replicas
}

// ringReplicator implements Replicator by replicating to the next live instance.
type ringReplicator struct {
	s    *cluster
	self int
}

// Replicate implements Replicator.
func (r ringReplicator) Replicate(_ context.Context, batches []Batch) (string, error) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.s.nodes[r.self].crashed {
		return "", fmt.Errorf("%s has crashed", r.s.nodes[r.self].name)
	}
	data, err := cbor.Marshal(batches)
	if err != nil {
		return "", err
	}
	r.s.replicatedBytes += int64(len(data))
	for i := 1; i < len(r.s.nodes); i++ {
		peer := r.s.nodes[(r.self+i)%len(r.s.nodes)]
		if !peer.crashed {
			peer.custody.Add(batches)
			return peer.name, nil
		}
	}
	return "", fmt.Errorf("no peer is live")
}

func newCluster(instances int, withPeers bool) *cluster {
	s := &cluster{p: standin.New(standin.Options{})}
	for i := range instances {
		name := fmt.Sprintf("i%03d", i)
		o := Options{Instance: name, Table: s.p.Caller(name).Table()}
		if withPeers {
			o.Replicator = ringReplicator{s, i}
		}
		s.nodes = append(s.nodes, &node{name: name, meter: NewMeter(o), custody: NewReplicaStore(o)})
	}
	for _, n := range s.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		s.running.Go(func() { _ = n.meter.Run(ctx) })
		s.running.Go(func() { _ = n.custody.Run(ctx) })
	}
	return s
}

// crash stops an instance without a final flush.
func (s *cluster) crash(i int) {
	n := s.nodes[i]
	s.p.SetCallerFault(n.name, standin.TableInterface, standin.Fault{Down: true})
	s.mu.Lock()
	n.crashed = true
	s.mu.Unlock()
	n.cancel()
}

func (s *cluster) stop() {
	for _, n := range s.nodes {
		n.cancel()
	}
	s.running.Wait()
}

// closeWindows runs closers on two instances at once. It returns the tokens that were
// reported to the platform, and those of them that were reported late.
func (s *cluster) closeWindows(t *testing.T) (tokens, late int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var closers sync.WaitGroup
	for i := range uint64(2) {
		c := s.p.Caller(fmt.Sprint("closer", i))
		closer := NewCloser(Options{Instance: "closer", Table: c.Table()}, c.Usage())
		closers.Go(func() { _ = closer.run(ctx, i+1) })
	}
	time.Sleep(3 * WindowLength)
	cancel()
	closers.Wait()
	for _, r := range s.p.Reports() {
		for _, line := range r.Lines {
			tokens += line.InputTokens + line.OutputTokens
			if line.LateWindow != "" {
				late += line.InputTokens + line.OutputTokens
			}
		}
	}
	for _, violation := range s.p.Violations() {
		t.Error(violation)
	}
	return tokens, late
}

func TestUsageSurvivesInstanceCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(3, true)
		for i := range 100 {
			s.nodes[0].meter.Add(fmt.Sprint(i), "club", "status", "m", 10, 1)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		s.crash(0)
		time.Sleep(peerSilenceTimeout + 2*batchInterval)
		tokens, _ := s.closeWindows(t)
		s.stop()
		is.Equal(tokens, int64(1100))
	})
}

func TestMeterFlushesDirectlyWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(1, false)
		s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1)
		time.Sleep(2 * time.Second)
		s.crash(0)
		tokens, _ := s.closeWindows(t)
		s.stop()
		is.Equal(tokens, int64(11))
	})
}

func TestMeterDeduplicatesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(2, true)
		is.True(s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1))
		is.True(!s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1))
		s.stop()
		tokens, _ := s.closeWindows(t)
		is.Equal(tokens, int64(11))
	})
}

func TestUsageReportedLateAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(3, true)
		used := int64(0)
		// One instance is cut off while windows close; then the store is down for an hour.
		s.p.SetCallerFault("i001", standin.TableInterface, standin.Fault{Down: true})
		s.p.SetCallerFault("i002", standin.TableInterface, standin.Fault{Down: true}) // holds i001's replica
		s.nodes[0].meter.Add("a", "club", "status", "m", 5, 0)
		s.nodes[1].meter.Add("b", "club", "status", "m", 7, 0)
		used += 12
		before, _ := s.closeWindows(t)
		is.Equal(before, int64(5))
		s.p.SetFault(standin.TableInterface, standin.Fault{Down: true})
		s.p.SetCallerFault("i001", standin.TableInterface, standin.Fault{})
		s.p.SetCallerFault("i002", standin.TableInterface, standin.Fault{})
		for i := range 3600 {
			s.nodes[i%3].meter.Add(fmt.Sprint(i), "club", "status", "m", 1, 1)
			used += 2
			time.Sleep(time.Second)
		}
		is.True(s.nodes[0].meter.Unflushed() <= maxBatches)
		s.p.SetFault(standin.TableInterface, standin.Fault{})
		time.Sleep(2 * replicatedFlushInterval)
		after, late := s.closeWindows(t)
		s.stop()
		is.Equal(after, used)
		is.True(late >= 7)
	})
}

func TestMeterFlushesOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(1, false)
		s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1)
		time.Sleep(3 * time.Second)
		s.nodes[0].meter.Add("2", "club", "status", "m", 10, 1)
		s.p.SetFault(standin.TableInterface, standin.Fault{LoseReplies: 1}) // of the flush
		s.stop()
		is.Equal(s.nodes[0].meter.Unflushed(), 0)
		tokens, _ := s.closeWindows(t)
		is.Equal(tokens, int64(22))
	})
}

func TestReportSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(1, false)
		s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1)
		var managers sync.WaitGroup
		var cancels []context.CancelFunc
		members := []string{"a", "b"}
		for _, name := range members {
			c := s.p.Caller(name)
			m := lease.NewManager(lease.Options{
				Instance: name, Table: c.Table(), Duties: []string{Duty},
				Members: func() []string { return members },
			})
			closer := NewCloser(Options{Instance: name, Table: c.Table()}, c.Usage())
			m.Do(Duty, closer.Work)
			ctx, cancel := context.WithCancel(t.Context())
			cancels = append(cancels, cancel)
			managers.Go(func() { _ = m.Run(ctx) })
		}
		s.p.SetFault(standin.UsageInterface, standin.Fault{LoseReplies: -1})
		time.Sleep(2*WindowLength + closeGrace)
		is.Equal(len(s.p.Reports()), 1) // took effect without a confirmation
		for _, name := range members {
			s.p.SetCallerFault(name, standin.TableInterface, standin.Fault{Down: true})
			time.Sleep(time.Minute)
			s.p.SetCallerFault(name, standin.TableInterface, standin.Fault{})
			time.Sleep(time.Minute)
		}
		s.p.SetFault(standin.UsageInterface, standin.Fault{})
		time.Sleep(time.Minute)
		rows, err := s.p.Caller("test").Table().List(t.Context(), frozenPrefix, "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 0) // confirmed
		for _, cancel := range cancels {
			cancel()
		}
		managers.Wait()
		s.stop()
		is.Equal(len(s.p.Violations()), 0)
		is.Equal(len(s.p.Reports()), 1)
	})
}

func TestCloserRejectsStaleFreeze(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	now := time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC)
	o := Options{Instance: "a", Table: p.Caller("a").Table(), Now: func() time.Time { return now }}
	slow, fast := NewCloser(o, p.Caller("a").Usage()), NewCloser(o, p.Caller("b").Usage())
	is.NoErr(fast.step(t.Context(), 1))
	now = now.Add(WindowLength + closeGrace)
	is.NoErr(slow.advanceFrontier(t.Context()))
	f, version, err := slow.readFrontier(t.Context())
	is.NoErr(err)
	now = now.Add(WindowLength)
	is.NoErr(fast.step(t.Context(), 2))
	var conflict *platform.ConflictError
	is.True(errors.As(slow.freeze(t.Context(), f, version), &conflict))
}

func TestCloserSweepsOldCursors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(2, false)
		s.nodes[0].meter.Add("1", "club", "status", "m", 10, 1)
		time.Sleep(3 * time.Second)
		s.crash(0)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		c := s.p.Caller("closer")
		closer := NewCloser(Options{Instance: "closer", Table: c.Table()}, c.Usage())
		go func() { done <- closer.run(ctx, 1) }()
		for hour := range 26 {
			s.nodes[1].meter.Add(fmt.Sprint(hour), "club", "status", "m", 10, 1)
			time.Sleep(time.Hour)
		}
		rows, err := c.Table().List(t.Context(), cursorPrefix, "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		is.Equal(rows[0].Key, cursorKey(s.nodes[1].meter.origin))
		cancel()
		<-done
		s.stop()
	})
}

func TestExpiredReplicasAreNotFlushed(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	now := time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC)
	c := NewReplicaStore(Options{Instance: "a", Table: p.Caller("a").Table(), Now: func() time.Time { return now }})
	c.Add([]Batch{{Origin: Origin{Instance: "gone"}, Sequence: 1, Window: WindowAt(now)}})
	now = now.Add(cursorTTL)
	c.flushSilent(t.Context(), peerSilenceTimeout)
	c.Add([]Batch{{Origin: Origin{Instance: "lost"}, Sequence: 1, Window: WindowAt(now)}})
	now = now.Add(time.Hour)
	c.flushSilent(t.Context(), peerSilenceTimeout)
	rows, err := p.Caller("a").Table().List(t.Context(), cursorPrefix, "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, cursorKey(Origin{Instance: "lost"}))
}

// Load and limits for the cost of replicated and direct flushes: 58 requests per second
// and instance, from 20 organisations that an instance sees at a time.
const (
	costRequests       = 58
	costOrgs           = 20
	costSpan           = 40
	maxUsageRows       = 100.0 // row writes per second of all instances
	maxReplicatedBytes = 2000  // bytes per second from an instance to its peer
)

type usageCost struct{ rows, replicated float64 }

func measureCost(t *testing.T, instances int, withPeers bool) (cost usageCost) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(instances, withPeers)
		for second := range costSpan {
			for _, n := range s.nodes {
				for r := range costRequests {
					org := fmt.Sprintf("organisation-%04d", r%costOrgs)
					n.meter.Add(fmt.Sprint(second, r), org, "interactive", "model-07", 900, 250)
				}
			}
			time.Sleep(time.Second)
		}
		rows := s.p.Counts("", standin.TableInterface).WriteRows
		s.stop()
		cost = usageCost{float64(rows) / costSpan, float64(s.replicatedBytes) / costSpan / float64(instances)}
	})
	return cost
}

func TestReplicationCost(t *testing.T) {
	t.Logf("%9s %6s %12s %20s", "instances", "peers", "row writes/s", "copied bytes/s each")
	for _, instances := range []int{2, 8, 50, 410} {
		for _, withPeers := range []bool{false, true} {
			cost := measureCost(t, instances, withPeers)
			t.Logf("%9d %6v %12.1f %20.0f", instances, withPeers, cost.rows, cost.replicated)
			if withPeers && (cost.rows > maxUsageRows || cost.replicated > maxReplicatedBytes) {
				t.Errorf("%d instances write %.1f rows and replicate %.0f bytes each per second", instances, cost.rows, cost.replicated)
			}
		}
	}
}
