package faultmatrix

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/lease"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/usage"
)

const (
	meterInterval = 3 * time.Second
	tokensPerAdd  = 10
	// maxUnreplicatedAge is the age above which usage must survive the crash of its
	// instance.
	maxUnreplicatedAge = 2 * time.Second
	// usageSettle is the time in which the window of the fault and the next one are
	// closed and reported.
	usageSettle = 3 * usage.WindowLength
)

// custodySet holds the replicas of usage that the instances keep for each other.
type custodySet struct {
	mu   sync.Mutex
	held map[string]*usage.ReplicaStore // by the instance that holds the replicas
}

// replicator copies an instance's batches to the next instance.
type replicator struct {
	n *node
	c *custodySet
}

// Replicate implements usage.Replicator.
func (r replicator) Replicate(_ context.Context, batches []usage.Batch) (string, error) {
	nodes := r.n.f.nodes
	peer := nodes[(slices.Index(nodes, r.n)+1)%len(nodes)]
	if peer.isDown() || r.n.isDown() || peer.isPaused() || r.n.isPaused() || peer.isSlow() {
		return "", platform.ErrUnavailable
	}
	r.c.mu.Lock()
	custody := r.c.held[peer.name]
	r.c.mu.Unlock()
	if custody == nil {
		return "", platform.ErrUnavailable
	}
	custody.Add(batches)
	return peer.name, nil
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// isSlow reports whether calls of the instance may be blocked by a fault. A custody
// that flushes holds its lock during the call. A goroutine that waits for that lock
// would stop the synthetic clock.
func (n *node) isSlow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.quietAt)
}

// launchUsage meters usage, holds replicas for other instances, and closes windows
// while the instance holds the lease.
func (c *custodySet) launchUsage(ctx context.Context, n *node) {
	r := n.recorder()
	o := usage.Options{Instance: n.name, Table: n.table(), Replicator: replicator{n, c}, Recorder: r}
	meter, custody := usage.NewMeter(o), usage.NewReplicaStore(o)
	c.mu.Lock()
	c.held[n.name] = custody
	c.mu.Unlock()
	m := lease.NewManager(lease.Options{
		Instance: n.name, Table: n.table(), Duties: []string{usage.Duty}, Recorder: r,
		Members: func() []string { return []string{"i0", "i1", "i2"} },
	})
	m.Do(usage.Duty, usage.NewCloser(o, sink{n.f.platform.Caller(n.name).Usage(), n}).Work)
	var parts sync.WaitGroup
	parts.Go(func() { _ = m.Run(ctx) })
	parts.Go(func() { _ = meter.Run(ctx) })
	parts.Go(func() { _ = custody.Run(ctx) })
	parts.Go(func() { n.addUsage(ctx, meter) })
	parts.Wait()
}

func (n *node) addUsage(ctx context.Context, m *usage.Meter) {
	n.mu.Lock()
	incarnation := n.incarnation
	n.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		if !n.isPaused() {
			m.Add(fmt.Sprintf("%s-%d-%d", n.name, incarnation, i), "o", "c", "m", 0, tokensPerAdd)
		}
		time.Sleep(meterInterval)
	}
}

// sink is one instance's access to the platform's usage reports, with its faults.
type sink struct {
	platform.UsageSink
	n *node
}

// Report implements platform.UsageSink.
func (s sink) Report(ctx context.Context, r platform.UsageReport) error {
	_, err := call(ctx, s.n, UsageReport, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.UsageSink.Report(ctx, r)
	})
	return err
}

// checkBilled compares the reports with the usage metered before the window through.
// Nothing may be billed twice. If an instance crashed, only its newest usage, which
// is not replicated yet, may be missing.
func (f *fleet) checkBilled(crashed bool, through string) {
	metered, slack := int64(0), int64(0)
	for _, e := range f.events() {
		if e.Kind == timeline.UsageMetered && e.Window < through {
			metered += e.Count
		}
	}
	if crashed {
		slack = tokensPerAdd * int64(1+maxUnreplicatedAge/meterInterval)
	}
	billed := int64(0)
	for _, r := range f.platform.Reports() {
		for _, l := range r.Lines {
			if r.Window < through || (l.LateWindow != "" && l.LateWindow < through) {
				billed += l.OutputTokens
			}
		}
	}
	if billed > metered || billed < metered-slack {
		f.t.Errorf("billed %d tokens, metered %d", billed, metered)
	}
}
