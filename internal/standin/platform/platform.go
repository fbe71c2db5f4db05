// Package platform is an in-memory stand-in for the platform: table service,
// object store, backend servers, usage reports, list of instances and weight
// store, with a fault switch for each. Demo and tests import it; a router talks
// to it in process through Caller or over HTTP through Handler.
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

// Options configure a stand-in. The zero value gives a platform without limits.
type Options struct {
	// Recorder takes platform.order and platform.usage events. Nil: timeline.Discard.
	Recorder timeline.Recorder
	// WritesPerSecond bounds the rows that the table service writes. Zero: unlimited.
	WritesPerSecond int
	// ReadsPerSecond bounds the rows that the table service reads. Zero: unlimited.
	ReadsPerSecond int
	// ListLag is the age of the list of instances. Zero: none.
	ListLag time.Duration
	// InstanceTTL drops an instance that has not registered again for that
	// long. Zero: registrations last.
	InstanceTTL time.Duration
	// StartTime is how long a server takes before it loads weights. Zero: DefaultStartTime.
	StartTime time.Duration
	// ReclaimNotice is how long a reclaimed server stays in state leaving. Zero: DefaultReclaimNotice.
	ReclaimNotice time.Duration
	// WeightRate is the weight store's limit in bytes per second. Zero: DefaultWeightRate.
	WeightRate int64
	// WeightBytes is what one started server loads. Zero: DefaultWeightBytes.
	WeightBytes int64
	// IgnoreTokens makes Place and Report accept old fencing tokens.
	IgnoreTokens bool
	// StartServer runs a started server and returns its address. Nil: an
	// address of the documentation range that nobody listens on.
	StartServer func(o api.Order, name string) (address string, err error)
	// StopServer ends a server that was returned or reclaimed. Nil: nothing.
	StopServer func(name string)
}

// Platform is the stand-in. It is safe for concurrent use.
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

// Close ends the starts under way and waits for them.
func (p *Platform) Close() {
	p.cancel()
	p.running.Wait()
}

// Weights returns the weight store that starts draw on.
func (p *Platform) Weights() *WeightStore { return p.weights }

// Caller returns the platform as the named instance sees it; faults and counts
// are kept by that name.
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

// Register announces an instance or renews its registration.
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

// newLimiter allows bursts of one second.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}
