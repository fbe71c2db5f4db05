package faultmatrix

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/peer/peertest"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	peerDelay = 5 * time.Millisecond
	slowPeer  = 300 * time.Millisecond
)

// membership holds the membership services of the instances of one run.
type membership struct {
	network *peertest.Network

	mu       sync.Mutex
	services map[string]*member.Service
}

// launch runs the membership service of one instance.
func (m *membership) launch(ctx context.Context, n *node) {
	self := platform.Instance{Name: n.name, Zone: zoneNames[0], Peer: "127.0.0.1:1"}
	n.f.platform.Register(self)
	s := member.New(member.Options{
		Self:      member.Member{Name: n.name, Zone: self.Zone, Peer: self.Peer, Incarnation: uint64(time.Now().UnixMilli())},
		Instances: instances{n.f.platform.Caller(n.name).Instances(), n},
		Network:   link{m.network.Node(n.name), n},
		Recorder:  n.recorder(),
	})
	m.mu.Lock()
	m.services[n.name] = s
	m.mu.Unlock()
	_ = s.Run(ctx)
}

// instances is one instance's access to the platform's list, with its faults.
type instances struct {
	platform.Instances
	n *node
}

// List implements platform.Instances.
func (i instances) List(ctx context.Context) ([]platform.Instance, error) {
	return call(ctx, i.n, Membership, func(ctx context.Context) ([]platform.Instance, error) { return i.Instances.List(ctx) })
}

// link is one instance's connection to the peer network, with its faults.
type link struct {
	*peertest.Node
	n *node
}

// Request implements member.Network.
func (l link) Request(ctx context.Context, name string, m peer.Message) (peer.Message, error) {
	switch {
	case l.n.isDown() || l.n.isPaused() || l.n.hasFault(Silence):
		<-ctx.Done()
		return peer.Message{}, ctx.Err()
	case l.n.hasFault(Slow):
		time.Sleep(slowPeer)
	case l.n.hasFault(Duplicate):
		_, _ = l.Node.Request(ctx, name, m)
	}
	answer, err := l.Node.Request(ctx, name, m)
	if l.n.hasFault(LostReply) {
		return peer.Message{}, context.DeadlineExceeded
	}
	return answer, err
}

func (n *node) hasFault(f Fault) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[f].interfaces != nil || (f == Duplicate && n.duplicates > 0)
}

// runMember injects the cell's faults into a fleet that tracks its members. After
// recovery, every instance must see all the others as live.
func runMember(t *testing.T, c Cell) {
	synctest.Test(t, func(t *testing.T) {
		m := &membership{network: peertest.New(peerDelay), services: make(map[string]*member.Service)}
		f := newFleet(t, c, m.launch)
		f.run(c)
		for name, s := range m.services {
			if live := len(s.Live()); live != fleetSize {
				t.Errorf("%s sees %d live instances, want %d", name, live, fleetSize)
			}
		}
		f.finish()
	})
}
