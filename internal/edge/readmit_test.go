package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// eventList is a recorder of a test.
type eventList []timeline.Event

// Record implements timeline.Recorder.
func (l *eventList) Record(e timeline.Event) { *l = append(*l, e) }

// TestServerIsAddedAsAnotherExpires guards against a balancer that isn't told of a server which is
// added again at the moment at which another one is removed.
func TestServerIsAddedAsAnotherExpires(t *testing.T) {
	is := is.New(t)
	var events eventList
	b := newBalancer(t)
	v := &storeView{directory: directory.New(), balancer: b, recorder: &events}
	entry := func(id string, sequence int64) directory.Change {
		return directory.Change{ID: id, Entry: &directory.Entry{ID: id, Service: "s", Capacity: 64, StartedMillis: 1, Sequence: sequence}}
	}
	now := boottime.Instant(time.Hour)
	v.directory.Apply(now, []directory.Change{entry("lapsed", 7), entry("lost", 7)}, true, 0)
	v.directory.Apply(now, []directory.Change{{ID: "lapsed"}}, false, 0)
	v.directory.Restored(now)
	v.directory.Apply(now, []directory.Change{entry("lapsed", 3)}, true, 0)
	v.expire(now)
	is.Equal(len(events), 0)
	v.expire(now.Add(time.Minute))
	is.Equal(len(events), 2)
	is.Equal(events[0].Kind, timeline.ServersExpired)
	is.Equal(events[1].Server, "lapsed")
	a, err := b.Acquire(t.Context(), &balance.Query{Service: "s", MaxWait: time.Second})
	is.NoErr(err)
	is.Equal(a.Server, "lapsed")
}
