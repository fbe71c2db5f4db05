package reports

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const testInterval = 5 * time.Millisecond

// node is one instance on the loopback interface.
type node struct {
	name     string
	relation Relation // to the instances upstream
	balancer *fakeBalancer
	tracker  *quarantine.Tracker
	hub      *Hub
	server   *httptest.Server
	events   *timeline.Ring

	mu       sync.Mutex
	upstream []*node
	children []*node
}

// Upstream implements Roster.
func (n *node) Upstream() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []Peer
	for _, u := range n.upstream {
		peers = append(peers, u.peer(n.relation))
	}
	return peers
}

// Follower implements Roster.
func (n *node) Follower(instance string) (Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.children {
		if c.name == instance {
			return c.peer(RelationFollower), true
		}
	}
	return Peer{}, false
}

// setUpstream changes the readers that the instance subscribes to.
func (n *node) setUpstream(upstream ...*node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream = upstream
}

// subscribers returns the names of the instances that are subscribed to n.
func (n *node) subscribers() []string {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	var names []string
	for s := range n.hub.subscribers {
		names = append(names, s.instance)
	}
	slices.Sort(names)
	return names
}

func (n *node) peer(relation Relation) Peer {
	return Peer{Instance: n.name, Address: n.server.Listener.Addr().String(), Token: "t", Relation: relation}
}

// newNode returns an instance that serves reports and has no subscriptions yet.
func newNode(t *testing.T, name string, upstream Relation, inFlight int) *node {
	t.Helper()
	n := &node{name: name, relation: upstream, tracker: newTracker(name), balancer: &fakeBalancer{own: loadsOf(inFlight, 0)}, events: timeline.NewRing(name, 64, nil)}
	n.hub = NewHub(name, n.balancer, n.tracker, boottime.Now)
	n.server = httptest.NewServer(n.hub)
	t.Cleanup(func() {
		n.server.CloseClientConnections()
		n.server.Close()
	})
	return n
}

// run starts the instance's mesh. The returned function stops it and waits.
func (n *node) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	mesh := NewMesh(MeshOptions{
		Instance: n.name, Hub: n.hub, Roster: n, Recorder: n.events, Interval: func() time.Duration { return testInterval },
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		mesh.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after 15 s: %s", what)
}

// TestMeshDelivery runs two readers, one of them with two followers: every instance
// must receive the load and the prompts of all others.
func TestMeshDelivery(t *testing.T) {
	a, b := newNode(t, "a", RelationPeer, 1), newNode(t, "b", RelationPeer, 10)
	c, d := newNode(t, "c", RelationSource, 100), newNode(t, "d", RelationSource, 1000)
	a.upstream, b.upstream = []*node{b}, []*node{a}
	c.upstream, d.upstream = []*node{a}, []*node{a}
	a.children = []*node{c, d}
	for _, n := range []*node{a, b, c, d} {
		n.run(t)
	}
	for n, others := range map[*node]int{a: 1110, b: 1101, c: 1011, d: 111} {
		eventually(t, fmt.Sprintf("%s receives the load of all others", n.name), func() bool { return n.balancer.othersOn("s").InFlight == others })
	}
	d.balancer.mu.Lock()
	d.balancer.sent = []balance.SentPrompt{{Server: "s", Parts: []uint64{7}}}
	d.balancer.mu.Unlock()
	for _, n := range []*node{a, b, c} {
		eventually(t, n.name+" receives the prompt", func() bool { return n.balancer.recordedCount() == 1 })
	}
}

// TestLoadsDoNotGrowRoundCircle guards against loads that grow without bound while
// instances disagree on who reads the store: each of three takes the next one for its
// source.
func TestLoadsDoNotGrowRoundCircle(t *testing.T) {
	is := is.New(t)
	a, b, c := newNode(t, "a", RelationSource, 1), newNode(t, "b", RelationSource, 10), newNode(t, "c", RelationSource, 100)
	a.upstream, b.upstream, c.upstream = []*node{b}, []*node{c}, []*node{a}
	a.children, b.children, c.children = []*node{c}, []*node{a}, []*node{b}
	others := map[*node]int{a: 110, b: 101, c: 11}
	for n := range others {
		n.run(t)
	}
	for n, sum := range others {
		eventually(t, n.name+" receives the load of all others", func() bool { return n.balancer.othersOn("s").InFlight >= sum })
	}
	for range 100 {
		time.Sleep(testInterval)
		for n, sum := range others {
			is.Equal(n.balancer.othersOn("s").InFlight, sum)
		}
	}
}

// TestFormerSourceIsLeft guards against two followers that stay subscribed to each other
// for ever: b took a for its source for a time, while a is a follower itself.
func TestFormerSourceIsLeft(t *testing.T) {
	is := is.New(t)
	r := newNode(t, "r", RelationPeer, 1)
	a, b := newNode(t, "a", RelationSource, 10), newNode(t, "b", RelationSource, 100)
	a.upstream, b.upstream = []*node{r}, []*node{a}
	r.children, a.children, b.children = []*node{a, b}, []*node{b}, []*node{a}
	for _, n := range []*node{r, a, b} {
		n.run(t)
	}
	eventually(t, "a and b are subscribed to each other", func() bool {
		return slices.Contains(a.subscribers(), "b") && slices.Contains(b.subscribers(), "a")
	})
	time.Sleep(2 * rosterInterval)
	b.setUpstream(r)
	eventually(t, "b follows r alone", func() bool {
		return slices.Equal(a.subscribers(), []string{"r"}) && slices.Equal(b.subscribers(), []string{"r"})
	})
	for n, others := range map[*node]int{r: 110, a: 101, b: 11} {
		eventually(t, n.name+" receives the load of all others", func() bool { return n.balancer.othersOn("s").InFlight == others })
	}
	is.Equal(r.subscribers(), []string{"a", "b"})
}

// TestMeshIdleConnection: an instance stops publishing while its connection stays
// open. Its load must expire, and return when it publishes again.
func TestMeshIdleConnection(t *testing.T) {
	is := is.New(t)
	a, b := newNode(t, "a", RelationPeer, 1), newNode(t, "b", RelationPeer, 10)
	a.upstream = []*node{b}
	a.run(t)
	stop := b.run(t)
	eventually(t, "load received", func() bool { return a.balancer.othersOn("s").InFlight == 10 })
	stop()
	eventually(t, "load expired", func() bool { return a.balancer.othersOn("s").InFlight == 0 })
	b.run(t)
	eventually(t, "load received again", func() bool { return a.balancer.othersOn("s").InFlight == 10 })
	var kinds []timeline.Kind
	events, _ := a.events.Snapshot()
	for _, e := range events {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []timeline.Kind{timeline.LoadsResumed, timeline.LoadsInterrupted, timeline.LoadsResumed})
}

func TestServeHTTPRejectsInvalidParameters(t *testing.T) {
	is := is.New(t)
	hub := NewHub("a", &fakeBalancer{}, newTracker("a"), boottime.Now)
	for _, query := range []string{"", "?instance=a", "?instance=a&relation=king", "?relation=peer"} {
		w := httptest.NewRecorder()
		hub.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+query, nil))
		is.Equal(w.Code, http.StatusBadRequest)
	}
}

// TestMeshRejectsInvalidStream: another program may have been given the address of
// a crashed instance.
func TestMeshRejectsInvalidStream(t *testing.T) {
	is := is.New(t)
	otherProgram := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("hello, I am another program"))
	}))
	defer otherProgram.Close()
	balancer := &fakeBalancer{}
	hub := NewHub("a", balancer, newTracker("a"), boottime.Now)
	mesh := NewMesh(MeshOptions{Instance: "a", Hub: hub, Recorder: timeline.Discard})
	address := otherProgram.Listener.Addr().(*net.TCPAddr).String()
	received, err := mesh.receive(t.Context(), Peer{Instance: "b", Address: address, Relation: RelationPeer})
	is.True(!received)
	is.True(err != nil)
}
