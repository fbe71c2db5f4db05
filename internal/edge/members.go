package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/replicas"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const storeCallTimeout = time.Second

// members tells the other instances of this one and learns of them.
type members struct {
	settings Settings
	rows     platform.Table
	balancer *balance.Balancer
	clock    *truetime.Clock
	recorder timeline.Recorder
	logger   hclog.Logger
	board    *presence.Board
	sharing  *sharing
	follower *tablefeed.Follower
	leaving  atomic.Bool
	planning atomic.Bool  // this instance orders backend servers by the demand of all
	reads    atomic.Int64 // of the others' rows
	sequence uint64

	mu    sync.Mutex
	names []string
}

func newMembers(s Settings, p Platform, b *balance.Balancer, h *sharing, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger) *members {
	m := &members{
		settings: s, rows: h.rows(p.InstanceRows, instancesTable), balancer: b, clock: clock, recorder: recorder, logger: logger, board: presence.NewBoard(),
		sharing: h,
	}
	m.follower = tablefeed.New(h.follow(tablefeed.Options{
		Feed: p.Instances, Pause: m.readInterval, CallTimeout: feedPatience, ReadTimeout: readPatience,
		Apply: m.apply, AnsweredAt: clock.Observe, Recorder: recorder, MaxRetryDelay: othersRetry,
	}, instancesTable, instancesAge))
	return m
}

func (m *members) run(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { m.follower.Run(ctx) })
	running.Go(func() { m.tellAgain(ctx) })
}

// readInterval is the time between two reads of the others' rows. The first one
// comes before all have written theirs, so the next ones follow soon.
func (m *members) readInterval() time.Duration {
	switch early := m.reads.Add(1) <= earlyReads; {
	case early:
		return earlyReadInterval
	case m.planning.Load():
		return planningReadInterval
	case m.sharing.part() == partSource:
		return sourceReadInterval
	}
	return m.interval()
}

// interval is the longest time between two writes of the own row.
func (m *members) interval() time.Duration { return presenceInterval(m.balancer.Instances()) }

// tellAgain writes the own row until ctx ends. Few members are known at first, so
// the first writes follow each other soon.
func (m *members) tellAgain(ctx context.Context) {
	for {
		demand := m.balancer.TakeDemand()
		m.tell(ctx, demand)
		if m.awaitNews(ctx, demand) != nil {
			return
		}
	}
}

// awaitNews waits until the own row is due again, which it is early when the
// demand has grown beyond what the last one told. It returns the error of ctx.
func (m *members) awaitNews(ctx context.Context, told map[string]presence.Demand) error {
	for left := m.interval(); left > 0; left -= demandInterval {
		if err := wait.For(ctx, min(left, demandInterval)); err != nil {
			return err
		}
		if replicas.Grown(told, m.balancer.Demand()) {
			return nil
		}
	}
	return nil
}

// apply takes rows of the other instances.
func (m *members) apply(u tablefeed.Update) {
	if err := m.board.Apply(boottime.Now(), u); err != nil {
		m.logger.Error("an instance's row cannot be read", "error", err)
	}
	m.learn(m.board.Live(boottime.Now()))
}

// tell writes the own row and acts on those of the others.
func (m *members) tell(ctx context.Context, demand map[string]presence.Demand) {
	if !m.follower.CurrentAsOf().IsZero() {
		m.learn(m.live())
	}
	m.sequence++
	row := presence.Row{
		Zone: m.settings.Zone, Leaving: m.leaving.Load(), Demand: demand, Sequence: m.sequence,
	}
	m.sharing.introduce(&row)
	if offset, ok := m.clock.Offset(); ok {
		row.Offset = &offset
	}
	data, err := row.Encode()
	if err != nil {
		m.logger.Error("the own row cannot be written", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	write := platform.Write{Key: m.settings.Instance, Value: data}
	if _, err := m.rows.Commit(ctx, platform.Txn{Writes: []platform.Write{write}}); err != nil {
		m.logger.Debug("the own row was not written", "error", err)
	}
}

// learn hands the live rows on to the balancer and the clock.
func (m *members) learn(live map[string]presence.Row) {
	m.clock.SetOffsets(presence.Offsets(live))
	m.sharing.learn(live)
	names := presence.Names(live)
	if !slices.Contains(names, m.settings.Instance) {
		names = append(names, m.settings.Instance)
	}
	m.mu.Lock()
	before := m.names
	m.names = names
	m.mu.Unlock()
	if slices.Equal(names, before) {
		return
	}
	m.recordPeers(before, names)
	m.balancer.SetMembers(names)
}

// recordPeers adds an event for each instance that came or went.
func (m *members) recordPeers(before, after []string) {
	for _, name := range after {
		if name != m.settings.Instance && !slices.Contains(before, name) {
			m.recorder.Record(timeline.Event{Kind: timeline.PeerUp, Peer: name, Count: int64(len(after))})
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			m.recorder.Record(timeline.Event{Kind: timeline.PeerDown, Peer: name, Count: int64(len(after))})
		}
	}
}

func (m *members) live() map[string]presence.Row { return m.board.Live(m.follower.CurrentAsOf()) }

// staleAge is the silence after which the row of an instance is deleted.
const staleAge = time.Minute

// dropsPerCall is the number of rows deleted at once.
const dropsPerCall = 40

// dropStale deletes the rows of instances that are gone. One that lives after all
// writes its row again.
func (m *members) dropStale(ctx context.Context) {
	names := m.board.Stale(m.follower.CurrentAsOf(), staleAge)
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var txn platform.Txn
	for _, name := range names[:min(len(names), dropsPerCall)] {
		txn.Writes = append(txn.Writes, platform.Write{Key: name, Delete: true})
	}
	if _, err := m.rows.Commit(ctx, txn); err != nil {
		m.logger.Debug("rows of instances that are gone were not deleted", "error", err)
		return
	}
	m.logger.Info("rows of instances that are gone were deleted", "rows", len(txn.Writes))
}

// staying returns the names of the live instances that are not leaving.
func (m *members) staying() []string {
	rows := m.live()
	for name, row := range rows {
		if row.Leaving {
			delete(rows, name)
		}
	}
	return presence.Names(rows)
}
