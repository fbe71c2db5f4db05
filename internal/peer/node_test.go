package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/peer/testcert"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const testTimeout = 10 * time.Second

func newAuthority(t *testing.T) *testcert.Authority {
	t.Helper()
	a, err := testcert.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newNode(t *testing.T, name string, id Identity) *Node {
	t.Helper()
	n, err := New(Options{Instance: name, Listen: "127.0.0.1:0", Identity: id})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func issue(t *testing.T, a *testcert.Authority, name string) Identity {
	t.Helper()
	c, err := a.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	return Identity{Certificate: c, Roots: a.Pool()}
}

func list(nodes ...*Node) []platform.Instance {
	var instances []platform.Instance
	for _, n := range nodes {
		instances = append(instances, platform.Instance{Name: n.options.Instance, Peer: n.Addr().String()})
	}
	return instances
}

func TestMessagesAndRequests(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ca := newAuthority(t)
	a, b := newNode(t, "a", issue(t, ca, "a")), newNode(t, "b", issue(t, ca, "b"))
	a.SetPeers(list(a, b))

	got := make(chan string, 1)
	b.Handle(KindQuarantine, func(from string, m Message) { got <- from + ":" + string(m.Body) })
	b.HandleRequest(KindHeartbeat, func(from string, m Message) (Message, error) {
		return Message{Kind: m.Kind, Body: append([]byte(from), m.Body...)}, nil
	})
	is.NoErr(a.Send(ctx, "b", Message{Kind: 9999})) // unknown kinds are ignored
	is.NoErr(a.Send(ctx, "b", Message{Kind: KindQuarantine, Body: []byte("x")}))
	is.Equal(<-got, "a:x")
	reply, err := a.Request(ctx, "b", Message{Kind: KindHeartbeat, Body: []byte("1")})
	is.NoErr(err)
	is.Equal(string(reply.Body), "a1")
	is.Equal(a.Connected(), []string{"b"})

	back := make(chan string, 1) // b has no address of a and uses the connection from a
	a.Handle(KindUsage, func(from string, _ Message) { back <- from })
	is.NoErr(b.Send(ctx, "a", Message{Kind: KindUsage}))
	is.Equal(<-back, "b")
	is.True(errors.Is(a.Send(ctx, "c", Message{Kind: KindUsage}), ErrUnknownPeer))
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name string
		id   Identity
	}{
		{"other authority", func() Identity {
			id := issue(t, theirs, "b")
			id.Roots = ours.Pool()
			return id
		}()},
		{"no certificate", Identity{Roots: ours.Pool()}},
		{"another instance's name", issue(t, ours, "c")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			a := newNode(t, "a", issue(t, ours, "a"))
			var handled atomic.Int32
			a.HandleRequest(KindHeartbeat, func(string, Message) (Message, error) {
				handled.Add(1)
				return Message{Kind: KindHeartbeat}, nil
			})
			client := c.id.config(time.Now)
			stranger := newNode(t, "s", issue(t, ours, "s"))
			stranger.tls = client
			stranger.SetPeers(list(a))
			_, err := stranger.Request(ctx, "a", Message{Kind: KindHeartbeat})
			if c.name == "another instance's name" { // authenticated, but dialled as b
				is.NoErr(err)
				a.SetPeers([]platform.Instance{{Name: "b", Peer: stranger.Addr().String()}})
				_, err = a.Request(ctx, "b", Message{Kind: KindHeartbeat})
				is.True(err != nil)
				return
			}
			is.True(err != nil)
			is.Equal(handled.Load(), int32(0))
		})
	}
}

func TestPinnedKeysNeedNoAuthority(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	first, second := newAuthority(t), newAuthority(t)
	idA, idB := issue(t, first, "a"), issue(t, second, "b")
	idA.Roots, idB.Roots = nil, nil
	idA.Pins = []Pin{PinOf(idB.Certificate.Leaf)}
	idB.Pins = []Pin{PinOf(idA.Certificate.Leaf)}
	a, b := newNode(t, "a", idA), newNode(t, "b", idB)
	a.SetPeers(list(b))
	b.HandleRequest(KindHeartbeat, func(string, Message) (Message, error) { return Message{Kind: KindHeartbeat}, nil })
	_, err := a.Request(ctx, "b", Message{Kind: KindHeartbeat})
	is.NoErr(err)
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ca := newAuthority(t)
	a, b := newNode(t, "a", issue(t, ca, "a")), newNode(t, "b", issue(t, ca, "b"))
	r := newRelay(t, b.Addr())
	a.SetPeers([]platform.Instance{{Name: "b", Peer: r.front.LocalAddr().String()}})
	b.HandleRequest(KindHeartbeat, func(string, Message) (Message, error) { return Message{Kind: KindHeartbeat}, nil })
	for range 5 {
		_, err := a.Request(ctx, "b", Message{Kind: KindHeartbeat})
		is.NoErr(err)
	}
	r.dropKnownConns()
	_, err := a.Request(ctx, "b", Message{Kind: KindHeartbeat}) // needs a new connection
	is.NoErr(err)
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	a := newNode(t, "a", issue(t, ca, "a"))
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	a.SetPeers([]platform.Instance{{Name: "b", Peer: silent.LocalAddr().String()}})
	accepted := 0
	for range queueLength + 2 {
		err := a.Send(t.Context(), "b", Message{Kind: KindUsage})
		if err == nil {
			accepted++
			continue
		}
		is.True(errors.Is(err, ErrQueueFull))
	}
	is.True(accepted >= queueLength)
	is.True(accepted <= queueLength+1) // one message may have left the queue for sending
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(map[int]any{1: KindUsage, 2: []byte("x"), 77: map[int]string{1: "new"}})
	is.NoErr(err)
	m, err := Decode(data)
	is.NoErr(err)
	is.Equal(m, Message{Kind: KindUsage, Body: []byte("x")})
}

// BenchmarkMessageBytes measures the bytes and packets per message, the source
// of peertest.PacketBytes.
func BenchmarkMessageBytes(b *testing.B) {
	const bodyBytes = 100
	ca, err := testcert.New()
	if err != nil {
		b.Fatal(err)
	}
	var nodes [2]*Node
	for i, name := range []string{"a", "b"} {
		c, err := ca.Issue(name)
		if err != nil {
			b.Fatal(err)
		}
		nodes[i], err = New(Options{Instance: name, Listen: "127.0.0.1:0", Identity: Identity{Certificate: c, Roots: ca.Pool()}})
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = nodes[i].Close() }()
	}
	nodes[0].SetPeers(list(nodes[0], nodes[1]))
	got := make(chan struct{})
	nodes[1].Handle(KindUsage, func(string, Message) { got <- struct{}{} })
	send := func() {
		if err := nodes[0].Send(b.Context(), "b", Message{Kind: KindUsage, Body: make([]byte, bodyBytes)}); err != nil {
			b.Fatal(err)
		}
		<-got
	}
	send() // the handshake
	time.Sleep(100 * time.Millisecond)
	before := nodes[0].Traffic()
	b.ReportAllocs()
	for b.Loop() {
		send()
		time.Sleep(30 * time.Millisecond) // longer than the delay of an acknowledgement
	}
	after := nodes[0].Traffic()
	messages := float64(b.N)
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/messages, "B/sent")
	b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/messages, "B/acknowledgement")
	b.ReportMetric(float64(after.PacketsSent-before.PacketsSent)/messages, "packets/sent")
	b.ReportMetric(float64(before.BytesSent+before.BytesReceived), "B/handshake")
}

func TestMessageSizeLimit(t *testing.T) {
	is := is.New(t)
	fits, err := Encode(Message{Kind: KindUsage, Body: make([]byte, 100)})
	is.NoErr(err)
	long, err := Encode(Message{Kind: KindUsage, Body: make([]byte, 64<<10)})
	is.NoErr(err)
	messages := newReader(bytes.NewReader(slices.Concat(fits, fits, long)), 32<<10)
	for range 2 {
		m, err := messages.next()
		is.NoErr(err)
		is.Equal(len(m.Body), 100)
	}
	_, err = messages.next()
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	valid, _ := Encode(Message{Kind: KindConfigDelta, Body: []byte("body")})
	f.Add(valid)
	f.Add([]byte{0xbf, 0x01, 0x02, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
		back, err := Decode(again)
		if err != nil || back.Kind != m.Kind || string(back.Body) != string(m.Body) {
			t.Fatalf("message changed in a round trip: %+v, %+v, %v", m, back, err)
		}
	})
}
