package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/peer/peertest"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// list is the platform's list of instances.
type list struct {
	mu        sync.Mutex
	instances []platform.Instance
}

func (l *list) List(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Instance(nil), l.instances...), nil
}

func (l *list) add(i platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append(l.instances, i)
}

// process is one simulated instance.
type process struct {
	*Service
	node *peertest.Node
	stop context.CancelFunc
}

func start(t *testing.T, network *peertest.Network, l *list, name, zone string) *process {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	node := network.Node(name)
	s := New(Options{Self: Member{Name: name, Zone: zone, Peer: "127.0.0.1:1"}, Instances: l, Network: node})
	go func() { _ = s.Run(ctx) }()
	return &process{Service: s, node: node, stop: stop}
}

func startFleet(t *testing.T, n int) ([]*process, *peertest.Network, *list) {
	t.Helper()
	network := peertest.New(5 * time.Millisecond)
	l := &list{}
	fleet := make([]*process, n)
	for i := range fleet {
		l.add(platform.Instance{Name: name(i), Zone: zone(i), Peer: "127.0.0.1:1"})
	}
	for i := range fleet {
		fleet[i] = start(t, network, l, name(i), zone(i))
	}
	return fleet, network, l
}

func name(i int) string { return fmt.Sprintf("i%03d", i) }
func zone(i int) string { return fmt.Sprintf("z%02d", i%10) }

func stopAll(fleet []*process) {
	for _, p := range fleet {
		p.stop()
	}
	time.Sleep(time.Second) // until messages in flight arrive
	synctest.Wait()
}

func (p *process) state(name string) State {
	for _, m := range p.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return Down
}

func TestCrashAndRestartDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		fleet, network, l := startFleet(t, 30)
		time.Sleep(10 * time.Second)
		for _, p := range fleet {
			is.Equal(len(p.Live()), 30)
		}
		fleet[7].stop()
		fleet[7].node.SetIsolated(true)
		time.Sleep(10 * time.Second) // two probes, the suspicion and its broadcast
		for i, p := range fleet {
			if i != 7 {
				is.Equal(p.state(name(7)), Down)
			}
		}
		fleet[7] = start(t, network, l, name(7), zone(7))
		time.Sleep(3 * time.Second)
		for _, p := range fleet {
			is.Equal(p.state(name(7)), Alive)
		}
		stopAll(fleet)
	})
}

func TestSuspectRefutes(t *testing.T) {
	is := is.NewRelaxed(t)
	now := time.Unix(0, 0)
	a := NewTracker(Member{Name: "a", Incarnation: 1})
	b := NewTracker(Member{Name: "b", Incarnation: 1})
	a.Merge([]Member{b.Self()}, now)
	a.ProbeFailed("b", now)
	updates := a.ProbeFailed("b", now)
	is.Equal(updates[0].State, Suspect)
	b.Merge(a.ProbeFor("b", now).Updates, now)
	is.Equal(b.Self().Incarnation, uint64(2))
	a.Merge([]Member{b.Self()}, now)
	is.Equal(len(a.Expire(now.Add(time.Hour))), 0)
}

func TestRosterIsEmptyBeforeFirstList(t *testing.T) {
	is := is.NewRelaxed(t)
	tracker := NewTracker(Member{Name: "a", Incarnation: 1})
	is.Equal(len(tracker.Roster()), 0)
	tracker.SetListed([]platform.Instance{{Name: "a"}, {Name: "b"}}, time.Unix(0, 0))
	is.Equal(tracker.Roster(), []string{"a", "b"})
}

func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		fleet, _, _ := startFleet(t, 12)
		time.Sleep(10 * time.Second)
		for i, p := range fleet {
			p.node.SetGroup(i % 2)
		}
		time.Sleep(time.Minute)
		is.Equal(len(fleet[0].Live()), 6)
		is.Equal(len(fleet[0].Roster()), 12) // listed instances still count
		for _, p := range fleet {
			p.node.SetGroup(0)
		}
		time.Sleep(40 * time.Second)
		for _, p := range fleet {
			is.Equal(len(p.Live()), 12)
		}
		stopAll(fleet)
	})
}

func TestUnlistedInstanceIsTracked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		fleet, network, l := startFleet(t, 8)
		time.Sleep(5 * time.Second)
		others := &list{instances: append([]platform.Instance(nil), l.instances...)}
		joined := start(t, network, others, "new", "z00")
		time.Sleep(3 * time.Second)
		for _, p := range fleet {
			is.Equal(p.state("new"), Alive)
		}
		joined.Leave(t.Context())
		time.Sleep(time.Second)
		for _, p := range fleet {
			is.Equal(p.state("new"), Leaving)
		}
		stopAll(append(fleet, joined))
	})
}

func TestTrafficPerInstanceIsConstant(t *testing.T) {
	const maxBytesPerSecond = 1000
	for _, n := range []int{2, 8, 50, 410} {
		synctest.Test(t, func(t *testing.T) {
			is := is.NewRelaxed(t)
			fleet, _, _ := startFleet(t, n)
			time.Sleep(12 * time.Second)
			messages, bytes := total(fleet)
			// Whole rounds of probes are counted, of instances that started together.
			const seconds = 20
			time.Sleep(seconds * time.Second)
			moreMessages, moreBytes := total(fleet)
			per := float64(n * seconds)
			t.Logf("%3d instances: %.2f messages/s, %.0f B/s", n,
				float64(moreMessages-messages)/per, float64(moreBytes-bytes)/per)
			is.True(float64(moreBytes-bytes)/per < maxBytesPerSecond)
			stopAll(fleet)
		})
	}
}

func total(fleet []*process) (messages, bytes int) {
	for _, p := range fleet {
		m, b := p.node.Counts()
		messages += m
		bytes += b
	}
	return messages, bytes
}

// Instances that start together and are missing from each other's first list
// must find each other soon. Otherwise a withdrawal broadcast by one would
// reach no other instance.
func TestSimultaneousStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, l := peertest.New(5*time.Millisecond), &list{}
		fleet := []*process{start(t, network, l, name(0), zone(0)), start(t, network, l, name(1), zone(1))}
		synctest.Wait() // both have read an empty list
		for i := range fleet {
			l.add(platform.Instance{Name: name(i), Zone: zone(i), Peer: "127.0.0.1:1"})
		}
		time.Sleep(time.Second)
		for i, p := range fleet {
			is.Equal(p.state(name(1-i)), Alive)
			is.Equal(p.View().Len(), 2)
		}
		stopAll(fleet)
	})
}
