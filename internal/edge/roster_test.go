package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/fanout"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// rosterOf returns the roster of one instance in a zone "a" of n instances, next to a
// zone "b" of two.
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
	r.setMembers(members)
	return r
}

func TestRosterSmallZone(t *testing.T) {
	is := is.New(t)
	r := rosterOf("a0", 3)
	is.Equal(len(r.Upstream()), 4)
	for _, p := range r.Upstream() {
		is.True(p.Instance != "a0" && p.Token == "t-"+p.Instance)
		is.Equal(p.Relation, reports.RelationPeer)
	}
}

func TestRosterLargeZone(t *testing.T) {
	is := is.New(t)
	subscriptions := map[reports.Relation]int{}
	followers := 0
	for i := range 20 {
		r := rosterOf(fmt.Sprint("a", i), 20)
		want := 3 // the other source, and two of the small zone
		if r.follows() {
			followers++
			want = 1 // its source
		}
		is.Equal(len(r.Upstream()), want)
		for _, p := range r.Upstream() {
			subscriptions[p.Relation]++
		}
	}
	is.Equal(followers, 18)
	is.Equal(subscriptions, map[reports.Relation]int{reports.RelationSource: 18, reports.RelationPeer: 6})
	p, known := rosterOf("a0", 20).Follower("a7")
	is.True(known)
	is.Equal(p.Address, "a7:1")
	is.Equal(p.Relation, reports.RelationFollower)
	_, known = rosterOf("a0", 20).Follower("unknown")
	is.True(!known)
}

// TestInstancesShareLoads checks that an instance's requests in flight at a slow server
// appear in the metrics of another instance, and disappear with their end.
func TestInstancesShareLoads(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.addServer("a", 3*time.Second)
	first, second := w.startReady("first"), w.startReady("second")
	eventually(t, 10*time.Second, "the second instance receives the first one's reports", func() bool {
		return second.hasMetric("hawthornwick_loads_heard_instances 1")
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _, _ = first.call(newClient(t), "1", "key")
	}()
	eventually(t, 2*time.Second, "the request in flight reported", func() bool {
		return second.hasMetric(`hawthornwick_server_others_in_flight{service="s",server="a"} 1`)
	})
	<-answered
	eventually(t, 2*time.Second, "the end of the request reported", func() bool {
		return second.hasMetric(`hawthornwick_server_others_in_flight{service="s",server="a"} 0`)
	})
}

// hasMetric reports whether the instance's metrics contain a line.
func (r *testInstance) hasMetric(line string) bool {
	w := httptest.NewRecorder()
	r.serveMetrics(w, nil)
	return strings.Contains(w.Body.String(), "\n"+line+"\n")
}

// TestCrashQuarantineShared guards against a request that crashes servers through each
// instance in turn because its caller retries it at all of them.
func TestCrashQuarantineShared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		w.addServer(id, 0)
	}
	fleet := fleet{w.startReady("0"), w.startReady("1"), w.startReady("2")}
	for _, r := range fleet {
		eventually(t, 10*time.Second, "all instances receive each other's reports", func() bool { return r.hasMetric("hawthornwick_loads_heard_instances 2") })
	}
	failed := 0
	for n := range 12 {
		status, _, err := fleet[n%3].send(newClient(t), fmt.Sprint(n), "key", poison)
		is.NoErr(err)
		if status == http.StatusBadGateway {
			failed++ // it may have run
		} else {
			is.Equal(status, http.StatusServiceUnavailable)
		}
		time.Sleep(500 * time.Millisecond) // longer than crash notices take to propagate and crashes to settle
	}
	is.Equal(failed, 2)
	for n, r := range fleet {
		r.expect(fmt.Sprint("other-", n), "key", http.StatusOK) // other requests are not quarantined
	}
}

// TestDeadlyPartQuarantineShared guards against requests of which no two are alike and
// that crash one server after the other, because one part of their prompts does, also
// after all instances were started anew.
func TestDeadlyPartQuarantineShared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTestPlatform(t)
	for n := range 12 {
		w.addServer(fmt.Sprint("server-", n), 0)
	}
	fleet := fleet{w.startReady("0"), w.startReady("1"), w.startReady("2")}
	for _, r := range fleet {
		eventually(t, 10*time.Second, "all instances receive each other's reports", func() bool { return r.hasMetric("hawthornwick_loads_heard_instances 2") })
	}
	const common, deadly, harmless = "1", "66", "77"
	crashes, refused := 0, 0
	for n := range 12 {
		own := fmt.Sprint(1000 + n)
		status, _, err := fleet[n%3].send(newClient(t), "deadly-"+own, "key", poison+own, common, deadly, own)
		is.NoErr(err)
		switch status {
		case http.StatusBadGateway:
			crashes++ // it may have run
			is.Equal(refused, 0)
		default:
			refused++
			is.Equal(status, http.StatusServiceUnavailable)
		}
		for i, r := range fleet {
			own := fmt.Sprint(2000 + 10*n + i)
			status, _, err := r.send(newClient(t), "sound-"+own, "key", own, common, harmless, own)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		}
		time.Sleep(500 * time.Millisecond)
	}
	is.True(crashes <= 6) // three crashes, and those until all instances know of them
	is.True(refused > 0)

	published := func() bool {
		rows, err := w.store.Table("instances").List(t.Context(), "", "", 10)
		is.NoErr(err)
		return slices.ContainsFunc(rows, func(r platform.Row) bool { return strings.Contains(string(r.Value), `"quarantine":[{"part":66,`) })
	}
	eventually(t, 10*time.Second, "the part is kept in the store", published)
	for _, r := range fleet {
		r.stop()
	}
	for _, r := range fleet {
		<-r.done
		r.done <- nil
	}
	for n := range 3 { // all instances are started anew
		r := w.startReady(fmt.Sprint(n))
		eventually(t, time.Second, "the part is known", func() bool { return r.hasMetric(`hawthornwick_quarantine_refused{kind="part"} 1`) })
		own := fmt.Sprint(3000 + n)
		status, _, err := r.send(newClient(t), "deadly-"+own, "key", poison+own, common, deadly, own)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		status, _, err = r.send(newClient(t), "sound-"+own, "key", own, common, harmless, own)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
}
