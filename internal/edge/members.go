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
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/replicas"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	storeCallTimeout = time.Second
	// maxFirstReadWait bounds how long the first write of this instance's row waits for
	// the first read of all rows, which is checked each firstReadCheckInterval.
	maxFirstReadWait       = time.Second
	firstReadCheckInterval = 20 * time.Millisecond
)

// members publishes this instance's row and follows the rows of the other instances.
type members struct {
	settings Settings
	rows     platform.Table
	balancer *balance.Balancer
	suspects *quarantine.Tracker
	clock    *truetime.Clock
	recorder timeline.Recorder
	logger   hclog.Logger
	board    *presence.Registry
	sharing  *sharing
	view     *storeView
	outdated *wait.Signal // notified when this instance's row must be written soon
	follower *tablefeed.Follower
	leaving  atomic.Bool
	read     atomic.Bool  // the others' rows were read
	planning atomic.Bool  // this instance holds the duty of ordering backend servers
	reads    atomic.Int64 // number of reads of the others' rows
	sequence uint64

	mu    sync.Mutex
	names []string
}

func newMembers(s Settings, p Platform, view *storeView, b *balance.Balancer, suspects *quarantine.Tracker, h *sharing, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger) *members {
	m := &members{
		settings: s, rows: h.sharedTable(p.InstanceRows, instancesTable), balancer: b, suspects: suspects, clock: clock, recorder: recorder, logger: logger, board: presence.NewRegistry(),
		sharing: h, view: view, outdated: view.rowOutdated,
	}
	view.instances = m.known
	m.follower = tablefeed.New(h.sharedOptions(tablefeed.Options{
		Feed: p.Instances, Pause: m.readInterval, CallTimeout: feedTimeout, ReadTimeout: readTimeout,
		Apply: m.apply, AnsweredAt: clock.Observe, Recorder: recorder, MaxRetryDelay: otherTablesRetryDelay,
	}, instancesTable, maxInstancesAge))
	return m
}

func (m *members) run(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() { m.follower.Run(ctx) })
	running.Go(func() { m.publishLoop(ctx) })
}

// readInterval returns the interval between two reads of the others' rows. The first
// read may come before all instances have written theirs, so the next ones follow
// sooner.
func (m *members) readInterval() time.Duration {
	switch startup := m.reads.Add(1) <= startupReads; {
	case startup:
		return startupReadInterval
	case m.planning.Load():
		return planningReadInterval
	case m.sharing.role() == roleSource:
		return sourceReadInterval
	}
	return m.interval()
}

// interval returns the maximum interval between two writes of this instance's row.
func (m *members) interval() time.Duration { return presenceInterval(m.balancer.Instances()) }

// publishLoop writes this instance's row until ctx ends. The interval grows with the
// number of known members, so the first writes follow each other soon.
func (m *members) publishLoop(ctx context.Context) {
	m.awaitRows(ctx)
	for {
		demand := m.balancer.TakeDemand()
		m.publish(ctx, demand)
		if m.awaitPublish(ctx, demand) != nil {
			return
		}
	}
}

// awaitRows waits until the rows were read once, at most maxFirstReadWait. The first
// write replaces this instance's row of before its start, whose verdicts would be lost
// otherwise.
func (m *members) awaitRows(ctx context.Context) {
	for end := time.Now().Add(maxFirstReadWait); m.follower.CurrentAsOf().IsZero() && time.Now().Before(end); {
		if wait.For(ctx, firstReadCheckInterval) != nil {
			return
		}
	}
}

// awaitPublish waits until this instance's row is due again. It returns early if the
// demand has grown beyond the published one, and soon after a restore of the store and
// once its rows have settled. It returns the error of ctx if that ends.
func (m *members) awaitPublish(ctx context.Context, published map[string]presence.Demand) error {
	for left := m.interval(); left > 0; left -= demandCheckInterval {
		outdated, err := m.outdated.For(ctx, min(left, demandCheckInterval), maxRepublishDelay)
		if err != nil || outdated {
			return err
		}
		if replicas.HasGrown(published, m.balancer.Demand()) {
			return nil
		}
	}
	return nil
}

// apply applies rows of the instances' table.
func (m *members) apply(u tablefeed.Update) {
	if err := m.board.Apply(boottime.Now(), u); err != nil {
		m.logger.Error("cannot decode the row of an instance; ignoring it", "error", err)
	}
	m.setLive(m.board.Live(boottime.Now()))
	m.read.Store(true)
	m.view.releaseNow()
	m.suspects.Restore(m.board.Verdicts(), time.Now())
}

// publish writes this instance's row and applies the live rows of the others.
func (m *members) publish(ctx context.Context, demand map[string]presence.Demand) {
	if !m.follower.CurrentAsOf().IsZero() {
		m.setLive(m.live())
	}
	m.sequence++
	row := presence.Row{
		Zone: m.settings.Zone, Draining: m.leaving.Load(), Demand: demand, Sequence: m.sequence,
		Quarantine: m.suspects.Verdicts(time.Now()),
	}
	m.sharing.setContact(&row)
	m.view.setEpoch(&row)
	if offset, ok := m.clock.Offset(); ok {
		row.Offset = &offset
	}
	data, err := row.Encode()
	if err != nil {
		m.logger.Error("cannot encode this instance's row; not publishing it", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	write := platform.Write{Key: m.settings.Instance, Value: data}
	if _, err := m.rows.Commit(ctx, platform.Txn{Writes: []platform.Write{write}}); err != nil {
		m.logger.Debug("writing this instance's row failed; retrying at the next interval", "error", err)
	}
}

// setLive passes the live rows on to the clock, the sharing group and the balancer.
func (m *members) setLive(live map[string]presence.Row) {
	m.clock.SetOffsets(presence.Offsets(live))
	m.sharing.setMembers(live)
	names := presence.SortedNames(live)
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

// recordPeers adds an event for each instance that appeared or disappeared.
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

// known returns the live rows, and false before the rows were read.
func (m *members) known() (map[string]presence.Row, bool) {
	return m.live(), m.read.Load()
}

func (m *members) live() map[string]presence.Row { return m.board.Live(m.follower.CurrentAsOf()) }

// staleRowAge is the time without an update after which an instance's row is deleted.
const staleRowAge = time.Minute

// maxDeletesPerTxn bounds the rows deleted in one transaction.
const maxDeletesPerTxn = 40

// deleteStale deletes the rows of instances that have stopped updating them. An
// instance that is still running writes its row again.
func (m *members) deleteStale(ctx context.Context) {
	names := m.board.Stale(m.follower.CurrentAsOf(), staleRowAge)
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var txn platform.Txn
	for _, name := range names[:min(len(names), maxDeletesPerTxn)] {
		txn.Writes = append(txn.Writes, platform.Write{Key: name, Delete: true})
	}
	if _, err := m.rows.Commit(ctx, txn); err != nil {
		m.logger.Debug("deleting the rows of removed instances failed; retrying at the next sweep", "error", err)
		return
	}
	m.logger.Info("deleted the rows of removed instances", "rows", len(txn.Writes))
}

// notLeaving returns the names of the live instances that are not stopping.
func (m *members) notLeaving() []string {
	rows := m.live()
	for name, row := range rows {
		if row.Draining {
			delete(rows, name)
		}
	}
	return presence.SortedNames(rows)
}
