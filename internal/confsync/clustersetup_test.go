package confsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/peer/peertest"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

const testZones = 10

// memberList is the membership that all instances of a test share.
type memberList struct {
	mu      sync.Mutex
	view    spread.View
	members []spread.Member
	changed chan struct{}
}

func (r *memberList) View() spread.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

func (r *memberList) Roster() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.members))
	for _, m := range r.members {
		names = append(names, m.Name)
	}
	return names
}

func (r *memberList) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *memberList) add(m spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append(r.members, m)
	r.view = spread.NewView(r.members)
	close(r.changed)
	r.changed = make(chan struct{})
}

// instance is one store of a cluster.
type instance struct {
	*Store
	node *peertest.Node
	path *tablePath
	stop context.CancelFunc
}

func (i *instance) setCut(cut bool) {
	i.path.cut.Store(cut)
	i.node.SetIsolated(cut)
}

// cluster is a set of stores that share a table service.
type cluster struct {
	t         *testing.T
	table     *fakeTable
	network   *peertest.Network
	members   *memberList
	instances []*instance
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, table: newFakeTable(), network: peertest.New(*delayFlag),
		members: &memberList{changed: make(chan struct{})},
	}
	for i := range n {
		c.members.add(memberAt(i))
	}
	for i := range n {
		c.instances = append(c.instances, c.start(i))
	}
	return c
}

func memberAt(i int) spread.Member {
	return spread.Member{Name: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", i%testZones)}
}

// start starts a new process of instance i, without any state.
func (c *cluster) start(i int) *instance {
	ctx, stop := context.WithCancel(c.t.Context())
	m := memberAt(i)
	in := &instance{node: c.network.Node(m.Name), path: &tablePath{fakeTable: c.table}, stop: stop}
	in.Store = New(Options{
		Instance: m.Name, Zone: m.Zone, Table: in.path, Compile: fakeCompile,
		Network: in.node, Members: c.members,
	})
	go func() { _ = in.Run(ctx) }()
	return in
}

// replace stops the process of instance i and starts a new one.
func (c *cluster) replace(i int) {
	c.instances[i].stop()
	c.instances[i] = c.start(i)
}

func (c *cluster) close() {
	for _, in := range c.instances {
		in.stop()
	}
	time.Sleep(20 * time.Second) // until messages in flight arrive and commits time out
	synctest.Wait()
}

// countBehind returns how many instances have no version or a lower one in
// force.
func (c *cluster) countBehind(version uint64) int {
	n := 0
	for _, in := range c.instances {
		if s := in.Current(); s == nil || s.Version < version {
			n++
		}
	}
	return n
}

func (c *cluster) countFresh() int {
	n := 0
	for _, in := range c.instances {
		if in.Fresh() {
			n++
		}
	}
	return n
}

// sent returns the messages and bytes that all instances have sent.
func (c *cluster) sent() (messages, bytes int) {
	for _, in := range c.instances {
		m, b := in.node.Counts()
		messages += m
		bytes += b
	}
	return messages, bytes
}
