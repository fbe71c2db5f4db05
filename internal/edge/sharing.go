package edge

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/fanout"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/presence"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
)

// Names under which instances share the tables.
const (
	operatorsTable = "operators"
	serversTable   = "servers"
	instancesTable = "instances"
	dutiesTable    = "duties"
)

const (
	// maxSourceAge bounds the age of the rows that a source returns for the tables
	// on which guarantees depend; maxInstancesAge bounds it for the instances'
	// rows.
	maxSourceAge    = 1600 * time.Millisecond
	maxInstancesAge = 10 * time.Second
	// maxProxyAge applies instead while another instance is the proxy for an
	// unreachable store. It is longer because the proxy may use the longest wait for
	// the store.
	maxProxyAge = 4 * time.Second
)

// sharing connects this instance to the others: those of one zone share the reading of
// the store's tables, and all exchange load reports.
type sharing struct {
	address     string
	token       string
	cores       float64
	epochs      *storeepoch.Tracker // may be nil
	group       *fanout.Group
	client      *fanout.Client
	retrySignal *tablefeed.RetrySignal
	caches      map[string]*fanout.Cache
	writers     map[string]*fanout.Writer
	roster      *roster
	hub         *reports.Hub
	loads       *reports.Mesh
	server      *http.Server // for other instances; nil if there is no listener
	listener    net.Listener
}

func newSharing(s Settings, p Platform, b *balance.Balancer, suspects *quarantine.Tracker, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger, topics ...reports.Topic) *sharing {
	h := &sharing{
		cores:  s.Cores,
		epochs: p.Epochs,
		token:  rand.Text(),
		client: fanout.NewClient(), retrySignal: tablefeed.NewRetrySignal(),
		group: fanout.NewGroup(fanout.GroupOptions{
			Instance: s.Instance, Zone: s.Zone, Recorder: recorder, Now: boottime.Now,
		}),
		caches: map[string]*fanout.Cache{},
		writers: map[string]*fanout.Writer{
			instancesTable: fanout.NewWriter(p.InstanceRows), dutiesTable: fanout.NewWriter(p.Duties),
		},
	}
	for _, table := range []string{operatorsTable, serversTable, instancesTable} {
		h.caches[table] = fanout.NewCache(boottime.Now)
	}
	h.roster = &roster{instance: s.Instance, zone: s.Zone, group: h.group}
	h.hub = reports.NewHub(s.Instance, b, suspects, boottime.Now, topics...)
	h.loads = reports.NewMesh(reports.MeshOptions{
		Instance: s.Instance, Hub: h.hub, Roster: h.roster, Recorder: recorder,
		Interval: func() time.Duration { return loadsInterval(b.Instances()) },
	})
	if s.PeersAddress == "" {
		return h
	}
	listener, err := net.Listen("tcp", s.PeersAddress)
	if err != nil {
		logger.Error("cannot listen for other instances; they cannot read tables or load reports from this one", "address", s.PeersAddress, "error", err)
		return h
	}
	h.listener, h.address = listener, listener.Addr().String()
	server := &fanout.Server{
		Token: h.token, ReadsStore: h.group.ReadsStore, StoreClock: clock.Store, Tables: h.caches, Writers: h.writers,
	}
	mux := http.NewServeMux()
	mux.Handle("/", server.Handler())
	mux.HandleFunc("GET "+reports.Path, fanout.RequireToken(h.token, h.hub.ServeHTTP))
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return h
}

// serve serves other instances until close is called.
func (h *sharing) serve() error {
	if h.server == nil {
		return nil
	}
	if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve other instances: %w", err)
	}
	return nil
}

func (h *sharing) close() {
	if h.server != nil {
		_ = h.server.Close()
	}
	h.client.Close()
}

// sharedOptions changes the options of a follower so that its table is read from a
// source or, if this instance is one, served to other instances. maxAge bounds the
// age of a source's rows.
func (h *sharing) sharedOptions(o tablefeed.Options, table string, maxAge time.Duration) tablefeed.Options {
	cache := h.caches[table]
	o.Name = table
	o.Feed = &fanout.Feed{Name: table, Store: o.Feed, Group: h.group, Client: h.client, MaxAge: maxAge, ProxyMaxAge: maxProxyAge}
	o.OnAnswer = func(u tablefeed.Update, version uint64, currentAsOf boottime.Instant) {
		observeEpoch(h.epochs, version)
		cache.Apply(u, version, currentAsOf)
	}
	o.OnFailure = cache.MarkUnavailable
	o.RetrySignal = h.retrySignal
	return o
}

// sharedTable returns a table whose single-row writes go through a source.
func (h *sharing) sharedTable(store platform.Table, table string) platform.Table {
	return &fanout.Table{Table: store, Name: table, Group: h.group, Client: h.client, Writer: h.writers[table]}
}

// readRole is an instance's role in reading the store's tables.
type readRole int

const (
	roleStandalone readRole = iota // reads the store for itself only
	roleSource                     // reads the store and serves its tables to followers
	roleFollower                   // reads from a source
)

func (h *sharing) role() readRole {
	if !h.group.ReadsStore() {
		return roleFollower
	}
	if h.group.IsSource() {
		return roleSource
	}
	return roleStandalone
}

// setContact sets the fields of this instance's row that others need to call it.
func (h *sharing) setContact(row *presence.Row) {
	if h.address == "" {
		return
	}
	row.Address, row.Token, row.Cores = h.address, h.token, h.cores
}

// setMembers passes the live instances on to the fanout group and the roster.
func (h *sharing) setMembers(live map[string]presence.Row) {
	members := make([]fanout.Member, 0, len(live))
	for name, r := range live {
		members = append(members, fanout.Member{
			Name: name, Zone: r.Zone, Address: r.Address, Token: r.Token, Cores: r.Cores, Leaving: r.Draining,
		})
	}
	h.group.SetMembers(members)
	h.roster.setMembers(members)
}
