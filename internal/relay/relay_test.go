package relay

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// network delivers messages between relays synchronously. Messages to crashed
// instances are dropped.
type network struct {
	handlers map[string]peer.Handler
	crashed  map[string]bool
	sent     int
}

type endpoint struct {
	net  *network
	name string
}

func (p endpoint) Send(_ context.Context, to string, m peer.Message) error {
	p.net.sent++
	if h := p.net.handlers[to]; h != nil && !p.net.crashed[to] {
		h(p.name, m)
	}
	return nil
}

func (p endpoint) Handle(_ peer.Kind, h peer.Handler) { p.net.handlers[p.name] = h }

// A notice must reach every running instance exactly once, even if some
// instances have crashed. The total number of messages is bounded by
// DefaultDegree per instance.
func TestNoticeDelivery(t *testing.T) {
	is := is.New(t)
	const instances = 40
	net := &network{handlers: map[string]peer.Handler{}, crashed: map[string]bool{"i07": true, "i23": true, "i31": true}}
	var members []spread.Member
	for n := range instances {
		members = append(members, spread.Member{Name: fmt.Sprintf("i%02d", n)})
	}
	view := spread.NewView(members)
	handled := map[string]int{}
	var publisher *Relay
	for _, m := range members {
		r := New(Options{
			Instance: m.Name, Network: endpoint{net, m.Name}, Logger: hclog.NewNullLogger(),
			View: func() spread.View { return view },
		})
		r.Handle(peer.KindQuarantine, func(body []byte) {
			is.Equal(string(body), "crash")
			handled[m.Name]++
		})
		if publisher == nil {
			publisher = r
		}
	}
	is.NoErr(publisher.Publish(peer.KindQuarantine, []byte("crash")))
	is.Equal(len(handled), instances-1-len(net.crashed)) // all except the publisher and crashed instances
	for name, n := range handled {
		if n != 1 {
			t.Errorf("%s handled the notice %d times", name, n)
		}
	}
	is.True(net.sent <= instances*spread.DefaultDegree)
}

func TestIDSetEvictsOldest(t *testing.T) {
	is := is.New(t)
	r := newIDSet(2)
	is.True(r.add([idBytes]byte{1}))
	is.True(!r.add([idBytes]byte{1}))
	is.True(r.add([idBytes]byte{2}))
	is.True(r.add([idBytes]byte{3}))
	is.True(r.add([idBytes]byte{1})) // evicted, so it counts as new
	is.Equal(len(r.members), 2)
}

// A malformed notice must be dropped before its handler is called.
func TestMalformedNotice(t *testing.T) {
	is := is.New(t)
	net := &network{handlers: map[string]peer.Handler{}}
	r := New(Options{
		Instance: "a", Network: endpoint{net, "a"}, Logger: hclog.NewNullLogger(),
		View: func() spread.View { return spread.View{} },
	})
	r.Handle(peer.KindQuarantine, func([]byte) { t.Error("handled") })
	net.handlers["a"]("b", peer.Message{Kind: peer.KindQuarantine, Body: []byte{0xff}})
	is.Equal(len(r.seen.members), 0)
}
