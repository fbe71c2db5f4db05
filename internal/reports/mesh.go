package reports

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	connectTimeout = 300 * time.Millisecond
	// idleTimeout is the time without a report after which a connection is closed.
	idleTimeout = 2500 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff between
	// connection attempts.
	minRetryBackoff = 500 * time.Millisecond
	maxRetryBackoff = 8 * time.Second
	// rosterInterval is how often the connections are compared with the roster.
	rosterInterval = time.Second
	// maxReportBytes bounds the encoded size of one report.
	maxReportBytes = 4 << 20
)

// errIdleTimeout is the cancellation cause of a connection that was idle for too
// long.
var errIdleTimeout = errors.New("no report received before the idle timeout")

// Peer is another instance that accepts subscriptions.
type Peer struct {
	Instance string
	Address  string // IP and port
	Token    string // bearer token for the connection
	Relation Relation
}

// Roster determines which instances to subscribe to.
type Roster interface {
	// Upstream returns the instances that this one subscribes to on its own account:
	// its peers if it reads the store, its source otherwise.
	Upstream() []Peer
	// Follower returns the peer of a follower that has subscribed to this instance.
	// It returns false if the instance is unknown.
	Follower(instance string) (Peer, bool)
}

// MeshOptions configures a Mesh. All fields are required.
type MeshOptions struct {
	Instance string
	Hub      *Hub
	Roster   Roster
	// Recorder receives an event when reports of an instance begin and when they
	// end.
	Recorder timeline.Recorder
	// Interval returns the time between two reports to an instance while its loads
	// change.
	Interval func() time.Duration
}

// Mesh maintains this instance's subscriptions to other instances.
type Mesh struct {
	options       MeshOptions
	transport     *httpcheck.Transport
	running       sync.WaitGroup
	subscriptions map[Peer]context.CancelFunc
}

// NewMesh returns a mesh without connections. Run starts it.
func NewMesh(o MeshOptions) *Mesh {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Mesh{
		options: o, subscriptions: map[Peer]context.CancelFunc{},
		transport: &httpcheck.Transport{Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true, ResponseHeaderTimeout: idleTimeout,
		}},
	}
}

// Run maintains the subscriptions and publishes this instance's reports until ctx
// is cancelled.
func (m *Mesh) Run(ctx context.Context) {
	m.running.Go(func() { m.publishLoop(ctx) })
	wait.Every(ctx, rosterInterval, m.reconcile)
	m.running.Wait()
	m.transport.CloseIdleConnections()
}

// publishLoop publishes reports at the configured interval.
func (m *Mesh) publishLoop(ctx context.Context) {
	for wait.For(ctx, m.options.Interval()) == nil {
		m.options.Hub.publish()
	}
}

// reconcile starts missing subscriptions and stops those that are no longer
// desired.
func (m *Mesh) reconcile(ctx context.Context) {
	desired := desiredPeers(m.options.Roster, m.options.Hub.followers())
	for p, stop := range m.subscriptions {
		if !desired[p] {
			stop()
			delete(m.subscriptions, p)
		}
	}
	for p := range desired {
		if m.subscriptions[p] != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		m.subscriptions[p] = stop
		m.running.Go(func() { m.subscribe(ctx, p) })
	}
}

// desiredPeers returns the instances to subscribe to, given the names of the followers
// that are subscribed to this instance.
func desiredPeers(r Roster, followers map[string]bool) map[Peer]bool {
	desired := map[Peer]bool{}
	for _, p := range r.Upstream() {
		desired[p] = true
	}
	for name := range followers {
		if p, ok := r.Follower(name); ok {
			desired[p] = true
		}
	}
	return desired
}

// subscribe keeps one subscription connected until ctx is cancelled.
func (m *Mesh) subscribe(ctx context.Context, p Peer) {
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		received, err := m.receive(ctx, p)
		if received {
			backoff = minRetryBackoff
			m.record(timeline.LoadsInterrupted, p, err.Error())
		}
		if wait.For(ctx, backoff) != nil {
			return
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// receive applies an instance's reports until the connection fails or is idle for
// too long. It returns whether any report was received, and the error that ended
// the connection.
func (m *Mesh) receive(ctx context.Context, p Peer) (received bool, ended error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := m.connect(ctx, p)
	if err != nil {
		return false, err
	}
	defer func() { _ = body.Close() }()
	idle := time.AfterFunc(idleTimeout, func() { cancel(errIdleTimeout) })
	defer idle.Stop()
	limited := &io.LimitedReader{R: body, N: maxReportBytes}
	reports := cbor.NewDecoder(limited)
	for {
		var r Report
		if err := reports.Decode(&r); err != nil {
			return received, errors.Join(context.Cause(ctx), err)
		}
		limited.N = maxReportBytes
		idle.Reset(idleTimeout)
		m.options.Hub.receive(p.Instance, p.Relation, r)
		if !received {
			received = true
			m.record(timeline.LoadsResumed, p, "")
		}
	}
}

func (m *Mesh) record(kind timeline.Kind, p Peer, detail string) {
	m.options.Recorder.Record(timeline.Event{Kind: kind, Peer: p.Instance, State: string(p.Relation), Detail: detail})
}

// connect opens the stream of an instance's reports.
func (m *Mesh) connect(ctx context.Context, p Peer) (io.ReadCloser, error) {
	query := url.Values{instanceParam: {m.options.Instance}, relationParam: {string(p.Relation)}}
	u := &url.URL{Scheme: "http", Host: p.Address, Path: Path, RawQuery: query.Encode()}
	request := (&http.Request{
		Method: http.MethodGet, URL: u, Host: p.Address, Header: http.Header{"Authorization": {"Bearer " + p.Token}},
	}).WithContext(ctx)
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("connect to instance %s for load reports: %w", p.Instance, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("load reports of instance %s: unexpected status %d", p.Instance, response.StatusCode)
	}
	return response.Body, nil
}
