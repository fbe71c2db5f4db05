package edge

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/fanout"
	"github.com/hawthornwick/hawthornwick/internal/loadshare"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// rosterOf is the roster of one of n instances of a zone, beside two of another.
func rosterOf(instance string, n int) *roster {
	var members []fanout.Member
	add := func(zone string, i int) {
		name := fmt.Sprintf("%s%d", zone, i)
		members = append(members, fanout.Member{Name: name, Zone: zone, Address: name + ":1", Token: "t-" + name})
	}
	for i := range n {
		add("a", i)
	}
	add("b", 0)
	add("b", 1)
	group := fanout.NewGroup(fanout.GroupOptions{
		Instance: instance, Zone: instance[:1], Recorder: timeline.Discard, Now: boottime.Now,
	})
	group.SetMembers(members)
	r := &roster{instance: instance, zone: instance[:1], group: group}
	r.learn(members)
	return r
}

func TestInstancesOfSmallZonesHearOneAnotherDirectly(t *testing.T) {
	is := is.New(t)
	r := rosterOf("a0", 3)
	is.Equal(r.Role(), loadshare.Reader)
	is.Equal(len(r.Upstream()), 4)
	for _, p := range r.Upstream() {
		is.True(p.Instance != "a0" && p.Token == "t-"+p.Instance)
	}
}

func TestInstancesOfLargeZonesHearTheirSource(t *testing.T) {
	is := is.New(t)
	roles := map[loadshare.Role]int{}
	for i := range 20 {
		r := rosterOf(fmt.Sprint("a", i), 20)
		roles[r.Role()]++
		want := 1 // its source
		if r.Role() == loadshare.Reader {
			want = 3 // the other source, and two of the small zone
		}
		is.Equal(len(r.Upstream()), want)
	}
	is.Equal(roles, map[loadshare.Role]int{loadshare.Reader: 2, loadshare.Follower: 18})
	p, known := rosterOf("a0", 20).Follower("a7")
	is.True(known)
	is.Equal(p.Address, "a7:1")
	_, known = rosterOf("a0", 20).Follower("stranger")
	is.True(!known)
}

// TestInstancesTellOneAnotherWhatTheyHaveOnAServer runs two instances before a slow
// server.
func TestInstancesTellOneAnotherWhatTheyHaveOnAServer(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.addServer("a", 3*time.Second)
	first, second := w.ready("first"), w.ready("second")
	eventually(t, 10*time.Second, "the second hears the first", func() bool {
		return second.shows("hawthornwick_loads_heard_instances 1")
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _, _ = first.call(newClient(t), "1", "key")
	}()
	eventually(t, 2*time.Second, "the load is told", func() bool {
		return second.shows(`hawthornwick_server_others_in_flight{service="s",server="a"} 1`)
	})
	<-answered
	eventually(t, 2*time.Second, "its end is told", func() bool {
		return second.shows(`hawthornwick_server_others_in_flight{service="s",server="a"} 0`)
	})
}

// shows reports whether the instance's metrics have a line.
func (r *running) shows(line string) bool {
	w := httptest.NewRecorder()
	r.serveMetrics(w, nil)
	return strings.Contains(w.Body.String(), "\n"+line+"\n")
}
