package demo

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/invariant"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// eventually waits until the condition holds and fails the test after the limit.
func eventually(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

// Guards against repeated orders for the same missing server.
func TestScalerOrdersMinimumOnce(t *testing.T) {
	is := is.New(t)
	d := start(t)
	awaitPeers(t, d)
	editor := d.instances[0].Editor()
	text := strings.Replace(d.Backends.configuration(), "  - name: label-2b\n", "  - name: label-2b\n    min-servers: 3\n    max-servers: 4\n", 1)
	_, err := editor.Apply(context.Background(), text, d.instances[0].ConfigVersion())
	is.NoErr(err)
	running := func() int {
		n := 0
		for _, s := range d.Backends.Platform.ServerList() {
			if s.Model == "label-2b" && s.State == platform.ServerRunning {
				n++
			}
		}
		return n
	}
	eventually(t, "a third engine runs", 40*time.Second, func() bool { return running() == 3 })
	time.Sleep(6 * time.Second) // at least one more decision of the scaler
	is.Equal(running(), 3)
	is.Equal(d.Backends.Platform.Orders(), 1)
	is.NoErr(d.Close())
	events := d.events()
	for _, v := range invariant.Check(events, invariant.Options{Complete: true}) {
		t.Errorf("%v", v)
	}
}

// events merges the timelines of the instances and the stand-ins.
func (d *Demo) events() []timeline.Event {
	rings := make([][]timeline.Event, 0, len(d.instances)+1)
	for _, i := range d.instances {
		events, _ := i.Timeline().Snapshot()
		rings = append(rings, events)
	}
	events, _ := d.Backends.Timeline.Snapshot()
	return timeline.Merge(append(rings, events)...)
}
