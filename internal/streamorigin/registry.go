package streamorigin

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Options configure a Registry. All fields but ReadRate, Bootstrap, Epoch and Now are required.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Tables hold the records, and the first one the base rows. Each instance writes to one of
	// them, and a reader reads all. All instances must have the same number.
	Tables []platform.Table
	// View returns the list of servers.
	View func() View
	// Instances returns the number of instances.
	Instances func() int
	// Rate is the number of transactions a second that all instances together may use.
	Rate float64
	// ReadRate is the number of resumptions a second that all instances together may look up. Zero
	// means without limit.
	ReadRate float64
	// LongestTimeout returns the longest timeout of a route with streams.
	LongestTimeout func() time.Duration
	// Bootstrap is true if the whole system starts for the first time.
	Bootstrap bool
	// Epoch returns the highest epoch of the store that is known. It must rise before a call of
	// a table in the new epoch returns. Nil means that the store is never restored.
	Epoch func() uint64
	// Now reads the clock. Nil means boottime.Now.
	Now    func() boottime.Instant
	Logger hclog.Logger
}

// Registry knows the origins of streams. It implements gateway.Origins. It is safe for concurrent
// use.
type Registry struct {
	options Options
	now     func() boottime.Instant
	epoch   func() uint64
	wake    chan struct{} // receives after the queue has changed
	measure chan struct{} // receives when measureLoop is to read
	counts  counts

	mu          sync.Mutex
	queue       *queue
	own         *ownOrigins
	reads       readPace
	readTimes   latency // of the reads for resumptions
	known       *knownBases
	watch       *watch
	view        View
	longest     time.Duration // longest timeout of a route so far
	firstEpoch  uint64
	started     bool   // firstEpoch was read
	seenEpoch   uint64 // at the last tick
	epochSeen   boottime.Instant
	trusted     map[string]string // base versions up to the last restore
	table       int               // that records are written to
	lastWarning boottime.Instant
	lostSince   int // records that could not be written since lastWarning
}

var _ gateway.Origins = (*Registry)(nil)

// New returns a Registry. It knows no base until Run is called.
func New(o Options) *Registry {
	r := &Registry{
		options: o, now: o.Now, epoch: o.Epoch, wake: make(chan struct{}, 1), measure: make(chan struct{}, 1),
		queue: newQueue(len(o.Tables)), own: newOwnOrigins(), known: newKnownBases(),
		trusted: map[string]string{}, table: int(hashOf(o.Instance) % uint32(len(o.Tables))),
	}
	if r.now == nil {
		r.now = boottime.Now
	}
	if r.epoch == nil {
		r.epoch = func() uint64 { return 0 }
	}
	r.watch = newWatch(r.now(), o.Bootstrap)
	return r
}

func hashOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Run writes records and follows the base rows until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { r.writeLoop(ctx) })
	running.Go(func() { r.baseLoop(ctx) })
	running.Go(func() { r.measureLoop(ctx) })
	running.Wait()
}

// times returns the times in force. The longest timeout so far counts, since streams that began
// under it may still run. The caller must hold r.mu.
func (r *Registry) times() times { return timesFor(r.longest) }

// bootstrapped reports whether a missing base row was never written. The caller must hold r.mu.
func (r *Registry) bootstrapped() bool {
	return r.options.Bootstrap && r.started && r.seenEpoch == r.firstEpoch
}

// neverBegan reports whether no stream of a service, or of a route, without a base row can have begun.
// The requests of a route that came later may have been those of another one. The caller must hold
// r.mu.
func (r *Registry) neverBegan(service string) bool {
	return r.bootstrapped() && (!isRouteGroup(service) || r.watch.sinceFirst(service))
}

// mayOmit reports whether a stream of a route may begin at a version without a record.
func (r *Registry) mayOmit(group, service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.now().Sub(r.view.AsOf)
	return !r.view.AsOf.IsZero() && age <= r.times().trust && r.known.relied(service, version, r.epoch()) && r.leadsOnlyTo(group, service)
}

func (r *Registry) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
