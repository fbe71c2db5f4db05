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
	// safeAfter is the age from which usage must survive the loss of its instance.
	safeAfter = 2 * time.Second
	// usageSettle covers the window of the fault and the next one, closed and reported.
	usageSettle = 3 * usage.WindowLength
)

// custodies are the copies that the instances hold for each other.
type custodies struct {
	mu   sync.Mutex
	held map[string]*usage.Custody // by instance that holds
}

// replicator copies an instance's batches to the next instance.
type replicator struct {
	n *node
	c *custodies
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
	custody.Hold(batches)
	return peer.name, nil
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// isSlow reports whether calls of the instance may be waiting. A custody that
// flushes holds its lock over the call, which the synthetic clock cannot wait for.
func (n *node) isSlow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.calmAt)
}

// launchUsage meters, keeps copies, and closes windows under the lease.
func (c *custodies) launchUsage(ctx context.Context, n *node) {
	r := n.recorder()
	o := usage.Options{Instance: n.name, Table: n.table(), Replicator: replicator{n, c}, Recorder: r}
	meter, custody := usage.NewMeter(o), usage.NewCustody(o)
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
	life := n.life
	n.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		if !n.isPaused() {
			m.Add(fmt.Sprintf("%s-%d-%d", n.name, life, i), "o", "c", "m", 0, tokensPerAdd)
		}
		time.Sleep(meterInterval)
	}
}

// sink is the taker of usage reports as one instance reaches it.
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

// checkBilled compares the reports with what was metered before the given
// time. Nothing is billed twice, and only the newest usage of an instance that
// crashed may be missing.
func (f *fleet) checkBilled(crashed bool, through string) {
	metered, slack := int64(0), int64(0)
	for _, e := range f.events() {
		if e.Kind == timeline.UsageMetered && e.Window < through {
			metered += e.Count
		}
	}
	if crashed {
		slack = tokensPerAdd * int64(1+safeAfter/meterInterval)
	}
	billed := int64(0)
	for _, r := range f.platform.Reports() {
		for _, l := range r.Lines {
			if r.Window < through || (l.Late != "" && l.Late < through) {
				billed += l.OutputTokens
			}
		}
	}
	if billed > metered || billed < metered-slack {
		f.t.Errorf("billed %d tokens of %d metered", billed, metered)
	}
}
