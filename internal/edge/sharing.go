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
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/truetime"
)

// Names of the tables among instances.
const (
	operatorsTable = "operators"
	serversTable   = "servers"
	instancesTable = "instances"
	dutiesTable    = "duties"
)

const (
	// promisedAge bounds the age of a source's proof for tables on which promises
	// rest, and instancesAge that for the instances' rows.
	promisedAge  = 1600 * time.Millisecond
	instancesAge = 10 * time.Second
	// standInAge bounds it while another instance stands in for a lost store: the
	// one that stands in may wait longest for the store.
	standInAge = 4 * time.Second
)

// sharing is how this instance and the others of its zone follow the tables
// together, and how all tell one another their loads.
type sharing struct {
	address string
	token   string
	cores   float64
	group   *fanout.Group
	client  *fanout.Client
	contact *tablefeed.RetrySignal
	caches  map[string]*fanout.Cache
	writers map[string]*fanout.Writer
	roster  *roster
	hub     *reports.Hub
	loads   *reports.Mesh
	server  *http.Server // nil: other instances cannot call this one
	on      net.Listener
}

func newSharing(s Settings, p Platform, b *balance.Balancer, suspects *quarantine.Tracker, clock *truetime.Clock, recorder timeline.Recorder, logger hclog.Logger) *sharing {
	h := &sharing{
		cores:  s.Cores,
		token:  rand.Text(),
		client: fanout.NewClient(), contact: tablefeed.NewRetrySignal(),
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
	h.hub = reports.NewHub(b, suspects, boottime.Now)
	h.loads = reports.NewMesh(reports.MeshOptions{
		Instance: s.Instance, Hub: h.hub, Roster: h.roster, Recorder: recorder,
		Interval: func() time.Duration { return loadsInterval(b.Instances()) },
	})
	if s.Peers == "" {
		return h
	}
	on, err := net.Listen("tcp", s.Peers)
	if err != nil {
		logger.Error("other instances cannot follow this one", "address", s.Peers, "error", err)
		return h
	}
	h.on, h.address = on, on.Addr().String()
	server := &fanout.Server{
		Token: h.token, Reads: h.group.Reads, StoreClock: clock.Store, Tables: h.caches, Writers: h.writers,
	}
	mux := http.NewServeMux()
	mux.Handle("/", server.Handler())
	mux.HandleFunc("GET "+reports.Path, fanout.RequireToken(h.token, h.hub.ServeHTTP))
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return h
}

// serve answers other instances until close.
func (h *sharing) serve() error {
	if h.server == nil {
		return nil
	}
	if err := h.server.Serve(h.on); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve instances: %w", err)
	}
	return nil
}

func (h *sharing) close() {
	if h.server != nil {
		_ = h.server.Close()
	}
	h.client.Close()
}

// follow adds to the options of a follower that its table is shared.
func (h *sharing) follow(o tablefeed.Options, table string, age time.Duration) tablefeed.Options {
	cache := h.caches[table]
	o.Name = table
	o.Feed = &fanout.Feed{Name: table, Store: o.Feed, Group: h.group, Client: h.client, MaxAge: age, StandInAge: standInAge}
	o.OnAnswer, o.OnFailure = cache.Took, cache.Lost
	o.RetrySignal = h.contact
	return o
}

// rows returns a table of which single rows are written through a source.
func (h *sharing) rows(store platform.Table, table string) platform.Table {
	return &fanout.Table{Table: store, Name: table, Group: h.group, Client: h.client, Writer: h.writers[table]}
}

// part is this instance's part in reading the tables.
type part int

const (
	partAlone   part = iota // reads the store for itself
	partSource              // reads it for others as well
	partFollows             // follows another instance
)

func (h *sharing) part() part {
	if !h.group.Reads() {
		return partFollows
	}
	if h.group.Serves() {
		return partSource
	}
	return partAlone
}

// introduce fills in how others reach this instance.
func (h *sharing) introduce(row *presence.Row) {
	if h.address == "" {
		return
	}
	row.Address, row.Token, row.Cores = h.address, h.token, h.cores
}

// learn takes the live instances.
func (h *sharing) learn(live map[string]presence.Row) {
	members := make([]fanout.Member, 0, len(live))
	for name, r := range live {
		members = append(members, fanout.Member{
			Name: name, Zone: r.Zone, Address: r.Address, Token: r.Token, Cores: r.Cores, Leaving: r.Leaving,
		})
	}
	h.group.SetMembers(members)
	h.roster.learn(members)
}
