package edge

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// fleet is the instances of one zone.
type fleet []*running

// with returns the instances that have a part in reading the tables.
func (f fleet) with(p part) fleet {
	var found fleet
	for _, r := range f {
		if r.sharing.part() == p {
			found = append(found, r)
		}
	}
	return found
}

// inForce reports whether all instances have a version of the configuration.
func (f fleet) inForce(version uint64) bool {
	for _, r := range f {
		if t := r.view.Table(); t == nil || t.Version != version {
			return false
		}
	}
	return true
}

// TestInstancesOfAZoneFollowItsSources starts a zone of instances. Two of them
// read the store, the others follow these, and hear of each change in time, also
// when a source ends or the store is lost.
func TestInstancesOfAZoneFollowItsSources(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(t)
	w.addServer("a", 0)
	var zone fleet
	for n := range 8 {
		zone = append(zone, w.ready(fmt.Sprint("instance-", n)))
	}
	settled := func() bool { return len(zone.with(partSource)) == 2 && len(zone.with(partFollows)) == len(zone)-2 }
	eventually(t, 20*time.Second, "two sources, followed by all others", settled)

	w.putConfig(2, "key")
	eventually(t, 2*time.Second, "the change in force everywhere", func() bool { return zone.inForce(2) })

	ended := zone.with(partSource)[0]
	ended.stop()
	var rest fleet
	for _, r := range zone {
		if r != ended {
			rest = append(rest, r)
		}
	}
	w.putConfig(3, "key")
	eventually(t, 2*time.Second, "the change in force while a source stops", func() bool { return rest.inForce(3) })

	w.store.SetDown(true)
	eventually(t, 5*time.Second, "keys unproved everywhere", func() bool {
		for _, r := range rest {
			if r.view.KeysProved() {
				return false
			}
		}
		return true
	})
	w.store.SetDown(false)
	eventually(t, 3*time.Second, "keys proved everywhere", func() bool {
		for _, r := range rest {
			if !r.view.KeysProved() {
				return false
			}
		}
		return true
	})
	is.True(len(rest) == len(zone)-1)
}

// gate is a feed of a store that may turn its caller away.
type gate struct {
	tablefeed.Feed
	shut *atomic.Bool
}

func (g gate) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	if g.shut.Load() {
		return tablefeed.Page{}, errors.New("turned away")
	}
	return g.Feed.Changes(ctx, since, wait)
}

// TestInstanceThatTheStoreTurnsAwayServesOn: an instance that alone is turned away
// hears of changes through another one, so that no request under a key is refused.
func TestInstanceThatTheStoreTurnsAwayServesOn(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.addServer("a", 0)
	shut := &atomic.Bool{}
	w.spoil = func(p *Platform) {
		p.Operators, p.Servers, p.Instances = gate{p.Operators, shut}, gate{p.Servers, shut}, gate{p.Instances, shut}
	}
	alone := w.ready("alone")
	w.spoil = nil
	w.ready("other")
	eventually(t, 10*time.Second, "the instances know each other", func() bool { return alone.balancer.Instances() == 2 })
	shut.Store(true)
	end := time.Now().Add(2 * alone.settings.Bounds.Revocation)
	for n := 0; time.Now().Before(end); n++ {
		alone.expect(fmt.Sprint(n), "key", 200)
		time.Sleep(50 * time.Millisecond)
	}
	w.putConfig(2, "new")
	eventually(t, 2*time.Second, "the change in force", func() bool { return alone.view.Table().Version == 2 })
	alone.expect("withdrawn", "key", 401)
}
