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

// roll is the member list that all instances of a test share.
type roll struct {
	mu      sync.Mutex
	view    spread.View
	members []spread.Member
	changed chan struct{}
}

func (r *roll) View() spread.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

func (r *roll) Roster() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.members))
	for _, m := range r.members {
		names = append(names, m.Name)
	}
	return names
}

func (r *roll) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *roll) add(m spread.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append(r.members, m)
	r.view = spread.NewView(r.members)
	close(r.changed)
	r.changed = make(chan struct{})
}

// instance is one store of a test fleet.
type instance struct {
	*Store
	node *peertest.Node
	path *path
	stop context.CancelFunc
}

func (i *instance) setCut(cut bool) {
	i.path.cut.Store(cut)
	i.node.SetOff(cut)
}

// cluster is a fleet of stores that share a table service.
type cluster struct {
	t         *testing.T
	table     *fakeTable
	network   *peertest.Network
	roll      *roll
	instances []*instance
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, table: newFakeTable(), network: peertest.New(*delayFlag),
		roll: &roll{changed: make(chan struct{})},
	}
	for i := range n {
		c.roll.add(memberAt(i))
	}
	for i := range n {
		c.instances = append(c.instances, c.start(i))
	}
	return c
}

func memberAt(i int) spread.Member {
	return spread.Member{Name: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", i%testZones)}
}

// start starts a process in the place of instance i, which knows nothing.
func (c *cluster) start(i int) *instance {
	ctx, stop := context.WithCancel(c.t.Context())
	m := memberAt(i)
	in := &instance{node: c.network.Node(m.Name), path: &path{fakeTable: c.table}, stop: stop}
	in.Store = New(Options{
		Instance: m.Name, Zone: m.Zone, Table: in.path, Compile: fakeCompile,
		Network: in.node, Members: c.roll,
	})
	go func() { _ = in.Run(ctx) }()
	return in
}

// replace stops the process of instance i and starts another one.
func (c *cluster) replace(i int) {
	c.instances[i].stop()
	c.instances[i] = c.start(i)
}

func (c *cluster) close() {
	for _, in := range c.instances {
		in.stop()
	}
	time.Sleep(20 * time.Second) // messages on their way arrive, commits give up
	synctest.Wait()
}

// behind returns how many instances have less than the version in force.
func (c *cluster) behind(version uint64) int {
	n := 0
	for _, in := range c.instances {
		if s := in.Current(); s == nil || s.Version < version {
			n++
		}
	}
	return n
}

func (c *cluster) fresh() int {
	n := 0
	for _, in := range c.instances {
		if in.Fresh() {
			n++
		}
	}
	return n
}

// bytes returns what all instances have sent.
func (c *cluster) bytes() (messages, bytes int) {
	for _, in := range c.instances {
		m, b := in.node.Counts()
		messages += m
		bytes += b
	}
	return messages, bytes
}
