package enginewatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/engine"
)

// memoryNetwork connects watches in memory.
type memoryNetwork struct {
	mu       sync.Mutex
	handlers map[string]peerHandler
}

type peerHandler = peer.Handler

type endpoint struct {
	network *memoryNetwork
	name    string
}

func (e endpoint) Handle(_ peer.Kind, h peer.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.name] = h
}

func (e endpoint) Send(_ context.Context, to string, m peer.Message) error {
	e.network.mu.Lock()
	h := e.network.handlers[to]
	e.network.mu.Unlock()
	if h != nil {
		go h(e.name, m)
	}
	return nil
}

// reports is a Sink that forwards the server names of load reports.
type reports chan string

func (r reports) LoadReport(server string, _ engineapi.LoadReport) {
	select {
	case r <- server:
	default:
	}
}

func (reports) CacheEvents(string, engineapi.CacheEvents) {}

// countingListener counts connections and bytes. It can make connections stop
// responding.
type countingListener struct {
	net.Listener
	accepted, read, written atomic.Int64
	silent                  atomic.Int64 // connections up to this number never respond
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, listener: l, number: l.accepted.Add(1)}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
	number   int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.number <= c.listener.silent.Load() {
		return len(b), nil
	}
	c.listener.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// startCountingProxy serves an engine's responses through a counting listener.
func startCountingProxy(t *testing.T, e *engine.Engine) *countingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: l}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		copyResponse(w, "http://"+e.Address()+r.URL.RequestURI())
	})}
	go func() { _ = server.Serve(counting) }()
	t.Cleanup(func() { _ = server.Close() })
	return counting
}

func copyResponse(w http.ResponseWriter, url string) {
	answer, err := http.Get(url)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	buffer := make([]byte, 1<<16)
	n, _ := answer.Body.Read(buffer)
	_, _ = w.Write(buffer[:n])
}

func startEngine(t *testing.T) *engine.Engine {
	t.Helper()
	e, err := engine.Start(engine.Options{Name: "engine-1", Zone: "zone-a", Model: "m", Slots: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startWatch(t *testing.T, o Options, list []platform.Instance, address string) {
	t.Helper()
	w := New(o)
	w.SetMembers(list)
	w.SetServers([]platform.Server{{Name: "engine-1", Address: address, Model: "m", State: platform.ServerRunning}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func TestInstancesShareOneReader(t *testing.T) {
	is := is.New(t)
	l := startCountingProxy(t, startEngine(t))
	x := &memoryNetwork{handlers: make(map[string]peerHandler)}
	list := []platform.Instance{{Name: "a"}, {Name: "b"}}
	sinks := make(map[string]reports)
	for _, i := range list {
		sinks[i.Name] = make(reports, 16)
		startWatch(t, Options{Instance: i.Name, Peers: endpoint{x, i.Name}, Sink: sinks[i.Name]}, list, l.Addr().String())
	}
	for range 3 {
		is.Equal(<-sinks["a"], "engine-1")
		is.Equal(<-sinks["b"], "engine-1")
	}
}

func TestSilentEngineConnectionReplaced(t *testing.T) {
	is := is.New(t)
	l := startCountingProxy(t, startEngine(t))
	sink := make(reports)
	startWatch(t, Options{Instance: "a", Sink: sink}, nil, l.Addr().String())
	is.Equal(<-sink, "engine-1")
	l.silent.Store(l.accepted.Load()) // connections that are open now never respond again
	is.Equal(<-sink, "engine-1")
	is.Equal(<-sink, "engine-1")
	is.True(l.accepted.Load() > 1)
}

// TestReadSize checks that readBytes, which the budgets are based on, is not
// below the actual size of a read.
func TestReadSize(t *testing.T) {
	is := is.New(t)
	l := startCountingProxy(t, startEngine(t))
	r := newReader(time.Now)
	defer r.close()
	for range 4 {
		_, err := r.read(t.Context(), readTask{server: watched{name: "engine-1", address: l.Addr().String()}})
		is.NoErr(err)
	}
	each := (l.read.Load() + l.written.Load()) / 4
	t.Logf("a read transfers %d bytes", each)
	is.True(each <= readBytes)
}
