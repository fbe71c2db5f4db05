// Package platform is an in-memory stand-in for the platform, used by the demo and
// by tests: table service, object store, backend servers, usage reports, list of
// instances and weight store. Faults can be injected into each interface. A router
// accesses it in process through Caller or over HTTP through Handler.
package platform

import (
	"context"
	"sync"
	"time"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultStartTime     = 30 * time.Second
	DefaultReclaimNotice = 30 * time.Second
	DefaultWeightRate    = 2 << 30  // bytes per second
	DefaultWeightBytes   = 16 << 30 // bytes per started server
)

// Options configures a stand-in. With the zero value the table service has no rate
// limits.
type Options struct {
	// Recorder receives platform.order and platform.usage events. If nil, they are
	// discarded.
	Recorder timeline.Recorder
	// WritesPerSecond limits the rows that the table service writes. Zero means no
	// limit.
	WritesPerSecond int
	// ReadsPerSecond limits the rows that the table service reads. Zero means no
	// limit.
	ReadsPerSecond int
	// ListLag is the delay after which a change appears in the list of instances.
	ListLag time.Duration
	// InstanceTTL is the time after which a registration that was not renewed
	// expires. Zero means never.
	InstanceTTL time.Duration
	// StartTime is the time from the order to the start of the loading of weights.
	// Zero means DefaultStartTime.
	StartTime time.Duration
	// ReclaimNotice is the time that a reclaimed server stays in state leaving.
	// Zero means DefaultReclaimNotice.
	ReclaimNotice time.Duration
	// WeightRate is the weight store's rate limit in bytes per second. Zero means
	// DefaultWeightRate.
	WeightRate int64
	// WeightBytes is the size of the weights that a server loads at its start. Zero
	// means DefaultWeightBytes.
	WeightBytes int64
	// IgnoreTokens makes Place and Report accept stale fencing tokens.
	IgnoreTokens bool
	// StartServer starts the process of a server and returns its address. If nil,
	// an unreachable address of the documentation range is used.
	StartServer func(o api.Order, name string) (address string, err error)
	// StopServer stops the process of a server that was returned or reclaimed. If
	// nil, nothing is stopped.
	StopServer func(name string)
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	options Options
	ctx     context.Context // ends when the stand-in is closed
	cancel  context.CancelFunc
	running sync.WaitGroup
	faults  faultSwitches
	counts  counters
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *WeightStore

	table     table
	objects   objects
	servers   servers
	usage     usage
	instances instances
}

// New returns a stand-in with empty stores.
func New(o Options) *Platform {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	o.StartTime = defaultTo(o.StartTime, DefaultStartTime)
	o.ReclaimNotice = defaultTo(o.ReclaimNotice, DefaultReclaimNotice)
	o.WeightRate = defaultTo(o.WeightRate, DefaultWeightRate)
	o.WeightBytes = defaultTo(o.WeightBytes, DefaultWeightBytes)
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		options: o,
		ctx:     ctx,
		cancel:  cancel,
		reads:   newLimiter(o.ReadsPerSecond),
		writes:  newLimiter(o.WritesPerSecond),
		weights: NewWeightStore(o.WeightRate),
	}
	p.faults.init()
	p.counts.init()
	p.table.init()
	p.objects.init()
	p.servers.init()
	p.usage.init()
	return p
}

// Close aborts pending calls, starts and removals of servers, and waits for them
// to end.
func (p *Platform) Close() {
	p.cancel()
	p.running.Wait()
}

// Weights returns the weight store from which starting servers load.
func (p *Platform) Weights() *WeightStore { return p.weights }

// Caller returns the access of the named instance. Faults and counts are kept by
// that name.
func (p *Platform) Caller(name string) *Caller { return &Caller{p: p, name: name} }

// Caller is one instance's access to the stand-in.
type Caller struct {
	p    *Platform
	name string
}

// Table returns the table service.
func (c *Caller) Table() api.Table { return tableCaller{c} }

// Objects returns the object store.
func (c *Caller) Objects() api.Objects { return objectsCaller{c} }

// Servers returns the backend servers.
func (c *Caller) Servers() api.Servers { return serversCaller{c} }

// Usage returns the sink of usage reports.
func (c *Caller) Usage() api.UsageSink { return usageCaller{c} }

// Instances returns the lagging list of instances.
func (c *Caller) Instances() api.Instances { return instancesCaller{c} }

// Register registers an instance or renews its registration.
func (c *Caller) Register(ctx context.Context, in api.Instance) error {
	_, err := call(ctx, c, InstancesInterface, cost{}, func() (struct{}, error) {
		c.p.Register(in)
		return struct{}{}, nil
	})
	return err
}

func defaultTo[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// newLimiter returns a limiter whose burst is the rate of one second. Zero means
// no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}
