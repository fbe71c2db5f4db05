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

// network delivers messages between relays at once, but not to crashed ones.
type network struct {
	handlers map[string]peer.Handler
	crashed  map[string]bool
	sent     int
}

type port struct {
	net  *network
	name string
}

func (p port) Send(_ context.Context, to string, m peer.Message) error {
	p.net.sent++
	if h := p.net.handlers[to]; h != nil && !p.net.crashed[to] {
		h(p.name, m)
	}
	return nil
}

func (p port) Handle(_ peer.Kind, h peer.Handler) { p.net.handlers[p.name] = h }

func TestNoticeReachesEveryLiveInstanceOnce(t *testing.T) {
	is := is.New(t)
	const instances = 40
	net := &network{handlers: map[string]peer.Handler{}, crashed: map[string]bool{"i07": true, "i23": true, "i31": true}}
	var members []spread.Member
	for n := range instances {
		members = append(members, spread.Member{Name: fmt.Sprintf("i%02d", n)})
	}
	view := spread.NewView(members)
	got := map[string]int{}
	var first *Relay
	for _, m := range members {
		r := New(Options{
			Instance: m.Name, Network: port{net, m.Name}, Logger: hclog.NewNullLogger(),
			View: func() spread.View { return view },
		})
		r.Handle(peer.KindQuarantine, func(body []byte) {
			is.Equal(string(body), "crash")
			got[m.Name]++
		})
		if first == nil {
			first = r
		}
	}
	is.NoErr(first.Publish(peer.KindQuarantine, []byte("crash")))
	is.Equal(len(got), instances-1-len(net.crashed)) // all but the origin and the crashed
	for name, n := range got {
		if n != 1 {
			t.Errorf("%s handled the notice %d times", name, n)
		}
	}
	is.True(net.sent <= instances*spread.DefaultDegree)
}

func TestRecentForgetsOldest(t *testing.T) {
	is := is.New(t)
	r := newRecent(2)
	is.True(r.add([idBytes]byte{1}))
	is.True(!r.add([idBytes]byte{1}))
	is.True(r.add([idBytes]byte{2}))
	is.True(r.add([idBytes]byte{3}))
	is.True(r.add([idBytes]byte{1})) // forgotten by then
	is.Equal(len(r.known), 2)
}

func TestMalformedNoticeIsDropped(t *testing.T) {
	is := is.New(t)
	net := &network{handlers: map[string]peer.Handler{}}
	r := New(Options{
		Instance: "a", Network: port{net, "a"}, Logger: hclog.NewNullLogger(),
		View: func() spread.View { return spread.View{} },
	})
	r.Handle(peer.KindQuarantine, func([]byte) { t.Error("handled") })
	net.handlers["a"]("b", peer.Message{Kind: peer.KindQuarantine, Body: []byte{0xff}})
	is.Equal(len(r.seen.known), 0)
}
