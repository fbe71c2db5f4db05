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

// fleet is a group of instances.
type fleet []*testInstance

// withRole returns the instances with a role in reading the tables.
func (f fleet) withRole(role readRole) fleet {
	var found fleet
	for _, r := range f {
		if r.sharing.role() == role {
			found = append(found, r)
		}
	}
	return found
}

// hasVersion reports whether all instances have applied a version of the configuration.
func (f fleet) hasVersion(version uint64) bool {
	for _, r := range f {
		if t := r.view.Table(); t == nil || t.Version != version {
			return false
		}
	}
	return true
}

// TestZoneFollowsSources starts the instances of one zone. Two of them read the store
// and the others follow these. It guards against followers that receive changes late
// when a source stops or after an outage of the store.
func TestZoneFollowsSources(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	w.addServer("a", 0)
	var zone fleet
	for n := range 8 {
		zone = append(zone, w.startReady(fmt.Sprint("instance-", n)))
	}
	settled := func() bool {
		return len(zone.withRole(roleSource)) == 2 && len(zone.withRole(roleFollower)) == len(zone)-2
	}
	eventually(t, 20*time.Second, "two sources, and all others followers", settled)

	w.putConfig(2, "key")
	eventually(t, 2*time.Second, "the change applied by all instances", func() bool { return zone.hasVersion(2) })

	stopped := zone.withRole(roleSource)[0]
	stopped.stop()
	var rest fleet
	for _, r := range zone {
		if r != stopped {
			rest = append(rest, r)
		}
	}
	w.putConfig(3, "key")
	eventually(t, 2*time.Second, "the change applied while a source stops", func() bool { return rest.hasVersion(3) })

	w.store.SetDown(true)
	eventually(t, 5*time.Second, "keys refused by all instances", func() bool {
		for _, r := range rest {
			if r.view.KeysFresh() {
				return false
			}
		}
		return true
	})
	w.store.SetDown(false)
	eventually(t, 3*time.Second, "keys accepted by all instances", func() bool {
		for _, r := range rest {
			if !r.view.KeysFresh() {
				return false
			}
		}
		return true
	})
	is.True(len(rest) == len(zone)-1)
}

// rejectingFeed is a feed whose Changes fails while rejecting is true.
type rejectingFeed struct {
	tablefeed.Feed
	rejecting *atomic.Bool
}

func (f rejectingFeed) Changes(ctx context.Context, since uint64, wait time.Duration) (tablefeed.Page, error) {
	if f.rejecting.Load() {
		return tablefeed.Page{}, errors.New("rejected")
	}
	return f.Feed.Changes(ctx, since, wait)
}

// TestRejectedInstanceReadsThroughProxy guards against refused requests at an instance
// whose calls the store rejects while another instance can still read the store. The
// other one must act as a proxy for it.
func TestRejectedInstanceReadsThroughProxy(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 0)
	rejecting := &atomic.Bool{}
	w.adjust = func(p *Platform) {
		p.Operators, p.Servers, p.Instances = rejectingFeed{p.Operators, rejecting}, rejectingFeed{p.Servers, rejecting}, rejectingFeed{p.Instances, rejecting}
	}
	alone := w.startReady("alone")
	w.adjust = nil
	w.startReady("other")
	eventually(t, 10*time.Second, "both instances are members", func() bool { return alone.balancer.Instances() == 2 })
	rejecting.Store(true)
	end := time.Now().Add(2 * alone.settings.Bounds.Revocation)
	for n := 0; time.Now().Before(end); n++ {
		alone.expect(fmt.Sprint(n), "key", 200)
		time.Sleep(50 * time.Millisecond)
	}
	w.putConfig(2, "new")
	eventually(t, 2*time.Second, "the change applied", func() bool { return alone.view.Table().Version == 2 })
	alone.expect("withdrawn", "key", 401)
}
