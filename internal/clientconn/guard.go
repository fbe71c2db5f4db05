// Package clientconn bounds what clients can make a process hold before a handler sees a
// request, and how many requests are held at once. net/http parses a head before any handler
// runs; the connections of this package therefore account the bytes and lines that it reads,
// and close those that hold most for longest when the budget is used up.
package clientconn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
)

// DefaultHeaderBytes bounds the head of a request to a server that names no limit.
const DefaultHeaderBytes = 16 << 10

const (
	// connectionShare and headShare are the percentages of the budget for connections with
	// unfinished heads, and for the complete heads of requests that are served.
	connectionShare = 40
	headShare       = 45
	logInterval     = time.Second
)

// Options configure a Guard.
type Options struct {
	// Listener names the listener in metrics and log lines. Required.
	Listener string
	// Budget is shared by all listeners of the process, bodies and answers. If nil, a budget
	// of DefaultBudgetBytes is used.
	Budget *bytebudget.Budget
	// MaxHeaderBytes is the limit of the configuration for the head of one request. Zero
	// means DefaultHeaderBytes.
	MaxHeaderBytes int
	// MaxHeaderLines bounds the lines of the head of one request. Zero means as many as
	// MaxHeaderBytes can hold, which no client within that limit exceeds.
	MaxHeaderLines int
	// MaxConnections bounds open connections; above it, the connection is closed that has
	// held most for longest without a complete request. Zero means DefaultConnections.
	MaxConnections int
	// DrainBodies bounds the time in which net/http reads the rest of a body after the
	// handler has returned, for handlers that do not bound it themselves.
	DrainBodies bool
	// TLS states that the connections are encrypted above the guard.
	TLS bool
	// Logger receives a line at most once a second while connections are closed or requests
	// refused. If nil, nothing is logged.
	Logger hclog.Logger
}

// Guard bounds what the clients of one listener hold. It is safe for concurrent use.
type Guard struct {
	options  Options
	counters counters

	mu     sync.Mutex
	open   map[*Conn]struct{}
	logged time.Time // time of the last log line
}

type counters struct {
	evicted   atomic.Uint64 // connections closed to make room for others
	noRoom    atomic.Uint64 // connections closed for which none could make room
	headLines atomic.Uint64 // connections closed, or requests refused, for the lines of a head
	refused   atomic.Uint64 // requests refused with 503
}

// New returns a guard for one listener.
func New(o Options) *Guard {
	if o.Budget == nil {
		o.Budget = bytebudget.New(DefaultBudgetBytes())
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = DefaultHeaderBytes
	}
	if o.MaxHeaderLines <= 0 {
		o.MaxHeaderLines = o.MaxHeaderBytes / minLineBytes
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultConnections()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Guard{options: o, open: map[*Conn]struct{}{}}
}

// maxHeadCost is the cost of the largest head that net/http reads.
func (g *Guard) maxHeadCost() int64 {
	return int64(serverLimitFactor*g.options.MaxHeaderBytes+readSlack) * (byteCost + lineCost/minLineBytes)
}

// Listener returns a listener whose connections are accounted.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{inner, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the accounted connection, or nil if there is no room and it was closed.
func (g *Guard) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, guard: g}
	c.close = sync.OnceValue(c.closeOnce)
	c.hold = g.options.Budget.HoldConnection(connectionShare, g, func() {
		_ = c.Close()
		g.counters.evicted.Add(1)
		g.log()
	})
	c.hold.SetUnread(func() bool { return unread(inner) })
	cost := int64(connectionCost)
	if g.options.TLS {
		cost += tlsCost
	}
	g.mu.Lock()
	g.open[c] = struct{}{}
	tooMany := len(g.open) > g.options.MaxConnections
	g.mu.Unlock()
	if tooMany && !g.options.Budget.EvictConnection(g) || !c.hold.Grow(cost) {
		_ = c.Close()
		g.noRoom()
		return nil
	}
	return c
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// noRoom records that a connection was closed for which no other one could make room.
func (g *Guard) noRoom() {
	g.counters.noRoom.Add(1)
	g.log()
}

// log states the use of the budget. It contains no client's text.
func (g *Guard) log() {
	g.mu.Lock()
	now := time.Now()
	due := now.Sub(g.logged) >= logInterval
	if due {
		g.logged = now
	}
	open := len(g.open)
	g.mu.Unlock()
	if !due {
		return
	}
	used, _ := g.options.Budget.Usage()
	g.options.Logger.Warn("clients' connections are closed or requests refused, because there are too many or they hold too much",
		"listener", g.options.Listener, "connections", open, "held_bytes", g.options.Budget.Connections(), "budget_used_bytes", used,
		"closed", g.counters.evicted.Load()+g.counters.noRoom.Load(), "refused", g.counters.refused.Load())
}

// Install makes the server use the guard: its handler, its hooks and its limits. The server
// must serve a listener that Listener returned, or its TLS form. Requests on other
// connections are bounded by the budget only.
func (g *Guard) Install(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	s.MaxHeaderBytes = serverLimitFactor * g.options.MaxHeaderBytes
	state := s.ConnState
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if guarded := from(c); guarded != nil {
			guarded.setState(to)
		}
		if state != nil {
			state(c, to)
		}
	}
	connContext := s.ConnContext
	s.ConnContext = contextWith(connContext)
	if s.HTTP2 == nil {
		s.HTTP2 = &http.HTTP2Config{}
	}
	s.HTTP2.MaxConcurrentStreams = http2Streams
	s.HTTP2.MaxDecoderHeaderTableSize = http2TableBytes
	s.HTTP2.MaxEncoderHeaderTableSize = http2TableBytes
	s.HTTP2.MaxReadFrameSize = http2FrameBytes
	s.HTTP2.MaxReceiveBufferPerConnection = http2ConnectionBytes
	s.HTTP2.MaxReceiveBufferPerStream = http2StreamBytes
}
