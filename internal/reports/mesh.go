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

	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

const (
	connectTimeout = 300 * time.Millisecond
	// silence is the time without a report after which a connection is given up.
	silence = lifetime
	// retryFirst and retryMost bound the wait before the next try; it doubles with
	// each failure in a row.
	retryFirst = 500 * time.Millisecond
	retryMost  = 8 * time.Second
	// rosterInterval is how often the instances to be heard are looked at.
	rosterInterval = time.Second
	// mostReportBytes bounds one report.
	mostReportBytes = 4 << 20
)

// errSilent ends a connection on which no report came in time.
var errSilent = errors.New("no report came in time")

// Peer is another instance as it can be called.
type Peer struct {
	Instance string
	Address  string // IP and port
	Token    string // authorises the call
	Role     Role
}

// Roster tells whom to hear.
type Roster interface {
	// Role is this instance's.
	Role() Role
	// Upstream returns the readers that this instance hears: all others for a reader,
	// one for a follower.
	Upstream() []Peer
	// Follower finds an instance that has asked for reports; false: it is not known.
	Follower(instance string) (Peer, bool)
}

// MeshOptions configure a Mesh. All fields are required.
type MeshOptions struct {
	Instance string
	Hub      *Hub
	Roster   Roster
	// Recorder hears whose loads are heard.
	Recorder timeline.Recorder
	// Interval is the time between two reports to an instance while its loads change.
	Interval func() time.Duration
}

// Mesh keeps connections to the instances that this one hears.
type Mesh struct {
	options   MeshOptions
	transport *http.Transport
	running   sync.WaitGroup
	heard     map[hearing]context.CancelFunc
}

// hearing is an instance that is heard, and the part in which this one asks it.
type hearing struct {
	peer Peer
	as   Role
}

// NewMesh returns a mesh without connections.
func NewMesh(o MeshOptions) *Mesh {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Mesh{
		options: o, heard: map[hearing]context.CancelFunc{},
		transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true, ResponseHeaderTimeout: silence},
	}
}

// Run hears the others and reports to them until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.running.Go(func() { m.turns(ctx) })
	wait.Every(ctx, rosterInterval, m.follow)
	m.running.Wait()
	m.transport.CloseIdleConnections()
}

// turns makes the reports due.
func (m *Mesh) turns(ctx context.Context) {
	for wait.For(ctx, m.options.Interval()) == nil {
		m.options.Hub.turn()
	}
}

// follow begins to hear those that are to be heard and ends it for others.
func (m *Mesh) follow(ctx context.Context) {
	wanted := m.wanted()
	for h, stop := range m.heard {
		if !wanted[h] {
			stop()
			delete(m.heard, h)
		}
	}
	for h := range wanted {
		if m.heard[h] != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		m.heard[h] = stop
		m.running.Go(func() { m.hear(ctx, h) })
	}
}

// wanted returns those that are to be heard.
func (m *Mesh) wanted() map[hearing]bool {
	roster := m.options.Roster
	role := roster.Role()
	wanted := map[hearing]bool{}
	for _, p := range roster.Upstream() {
		p.Role = Reader
		wanted[hearing{p, role}] = true
	}
	for name := range m.options.Hub.followers() {
		if p, ok := roster.Follower(name); ok {
			p.Role = Follower
			wanted[hearing{p, role}] = true
		}
	}
	return wanted
}

// hear follows one instance's reports until ctx ends.
func (m *Mesh) hear(ctx context.Context, h hearing) {
	pause := retryFirst
	for ctx.Err() == nil {
		heard, err := m.read(ctx, h)
		if heard {
			pause = retryFirst
			m.options.Hub.lost(h.peer.Instance)
			m.record(timeline.LoadsLost, h, err.Error())
		}
		if wait.For(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, retryMost)
	}
}

// read takes an instance's reports until the connection breaks or goes silent. It
// tells whether there were any, and why they ended.
func (m *Mesh) read(ctx context.Context, h hearing) (heard bool, ended error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := m.call(ctx, h)
	if err != nil {
		return false, err
	}
	defer func() { _ = body.Close() }()
	quiet := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer quiet.Stop()
	limited := &io.LimitedReader{R: body, N: mostReportBytes}
	reports := cbor.NewDecoder(limited)
	for {
		var r Report
		if err := reports.Decode(&r); err != nil {
			return heard, errors.Join(context.Cause(ctx), err)
		}
		limited.N = mostReportBytes
		quiet.Reset(silence)
		m.options.Hub.took(h.peer.Instance, h.peer.Role, r)
		if !heard {
			heard = true
			m.record(timeline.LoadsHeard, h, "")
		}
	}
}

func (m *Mesh) record(kind timeline.Kind, h hearing, detail string) {
	m.options.Recorder.Record(timeline.Event{Kind: kind, Peer: h.peer.Instance, State: string(h.peer.Role), Detail: detail})
}

// call asks an instance for its reports.
func (m *Mesh) call(ctx context.Context, h hearing) (io.ReadCloser, error) {
	p := h.peer
	query := url.Values{instanceField: {m.options.Instance}, roleField: {string(h.as)}}
	u := &url.URL{Scheme: "http", Host: p.Address, Path: Path, RawQuery: query.Encode()}
	request := (&http.Request{
		Method: http.MethodGet, URL: u, Host: p.Address, Header: http.Header{"Authorization": {"Bearer " + p.Token}},
	}).WithContext(ctx)
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("ask instance %s for its loads: %w", p.Instance, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("instance %s answered status %d", p.Instance, response.StatusCode)
	}
	return response.Body, nil
}
