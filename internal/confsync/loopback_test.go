package confsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/peer/testcert"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// list is the platform's list of instances.
type list []platform.Instance

func (l list) List(context.Context) ([]platform.Instance, error) { return l, nil }

// TestStoresOverQUIC connects stores, membership and peer nodes as an instance
// does.
func TestStoresOverQUIC(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	authority, err := testcert.New()
	is.NoErr(err)
	names := []string{"a", "b", "c"}
	nodes := make([]*peer.Node, len(names))
	var instances list
	for i, name := range names {
		certificate, err := authority.Issue(name)
		is.NoErr(err)
		nodes[i], err = peer.New(peer.Options{
			Instance: name, Listen: "127.0.0.1:0",
			Identity: peer.Identity{Certificate: certificate, Roots: authority.Pool()},
		})
		is.NoErr(err)
		instances = append(instances, platform.Instance{Name: name, Zone: "z" + name, Peer: nodes[i].Addr().String()})
	}
	table := newFakeTable()
	var running sync.WaitGroup
	stores := make([]*Store, len(names))
	for i, in := range instances {
		members := member.New(member.Options{
			Self:      member.Member{Name: in.Name, Zone: in.Zone, Peer: in.Peer},
			Instances: instances, Network: nodes[i],
		})
		stores[i] = New(Options{
			Instance: in.Name, Zone: in.Zone, Table: table, Compile: fakeCompile,
			Network: nodes[i], Members: members,
		})
		running.Go(func() { _ = members.Run(ctx) })
		running.Go(func() { _ = stores[i].Run(ctx) })
	}
	version, err := stores[0].Apply(ctx, sampleText, 0)
	is.NoErr(err)
	for _, s := range stores {
		for s.inForce() < version {
			select {
			case <-s.Changed(s.inForce()):
			case <-ctx.Done():
				t.Fatal("change is not in force everywhere")
			}
		}
	}
	table.setDown(true)
	_, err = stores[1].WithdrawKey(ctx, "key")
	is.NoErr(err)
	for _, s := range stores {
		for {
			changed := s.Changed(version)
			if k, _ := s.Current().Key("key"); k.Withdrawn {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				t.Fatal("withdrawal is not in force everywhere")
			}
		}
	}
	cancel()
	running.Wait()
	for _, n := range nodes {
		_ = n.Close()
	}
}
