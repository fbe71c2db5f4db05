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
	workInterval   = 300 * time.Millisecond
)

// launchConfig runs a store that polls the table service, takes work while its
// configuration is known to be current, and on two instances commits changes.
func launchConfig(ctx context.Context, n *node) {
	r := n.recorder()
	store := confsync.New(confsync.Options{
		Instance: n.name, Table: n.table(), Recorder: r,
		Compile: func(text string) (config.Config, error) { return config.Config{}, nil },
	})
	n.f.running.Go(func() { n.takeWork(ctx, store, r) })
	if n != n.f.nodes[2] {
		n.f.running.Go(func() { n.commitChanges(ctx, store) })
	}
	_ = store.Run(ctx)
}

// takeWork admits a request now and then while the instance may.
func (n *node) takeWork(ctx context.Context, store *confsync.Store, r timeline.Recorder) {
	for i := 0; ctx.Err() == nil; i++ {
		if store.Fresh() && !n.isPaused() {
			r.Record(timeline.Event{Kind: timeline.RequestAdmitted, Request: fmt.Sprint(n.name, "-", i), Class: "c", Tier: 1})
		}
		time.Sleep(workInterval)
	}
}

// commitChanges races the other operator for each version.
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
