package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/confsync"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const (
	changeInterval = 7 * time.Second
	admitInterval  = 300 * time.Millisecond
)

// launchConfig runs a configuration store that polls the table service. The
// instance admits requests while its configuration is fresh. Two of the instances
// also commit changes.
func launchConfig(ctx context.Context, n *node) {
	r := n.recorder()
	store := confsync.New(confsync.Options{
		Instance: n.name, Table: n.table(), Recorder: r,
		Compile: func(text string) (config.Config, error) { return config.Config{}, nil },
	})
	n.f.running.Go(func() { n.admitRequests(ctx, store, r) })
	if n != n.f.nodes[2] {
		n.f.running.Go(func() { n.commitChanges(ctx, store) })
	}
	_ = store.Run(ctx)
}

// admitRequests admits a request every admitInterval while the configuration is
// fresh and the instance is not paused.
func (n *node) admitRequests(ctx context.Context, store *confsync.Store, r timeline.Recorder) {
	for i := 0; ctx.Err() == nil; i++ {
		if store.Fresh() && !n.isPaused() {
			r.Record(timeline.Event{Kind: timeline.RequestAdmitted, Request: fmt.Sprint(n.name, "-", i), Class: "c", Tier: 1})
		}
		time.Sleep(admitInterval)
	}
}

// commitChanges commits changes in a race with the other instance that does so.
func (n *node) commitChanges(ctx context.Context, store *confsync.Store) {
	for i := 0; ctx.Err() == nil; i++ {
		text := fmt.Sprintf("# change %d of %s\n", i, n.name)
		_, _ = store.Apply(ctx, text, store.State().Version)
		time.Sleep(changeInterval)
	}
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.pausedUntil)
}
