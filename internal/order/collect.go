package order

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	summaryTTL         = 30 * time.Second
	startTimeSmoothing = 0.3 // weight of the newest start in the moving average
)

// ClassLoad is the load of one class on one model at one instance.
type ClassLoad struct {
	Model   string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Queued  int    `cbor:"3,keyasint"`
	Running int    `cbor:"4,keyasint"`
	// Met and Missed count recent requests that did or did not meet the class's target.
	Met    int `cbor:"5,keyasint,omitempty"`
	Missed int `cbor:"6,keyasint,omitempty"`
}

// Summary is the load of one instance. A newer summary replaces an older one.
type Summary struct {
	Instance string      `cbor:"1,keyasint"`
	Loads    []ClassLoad `cbor:"2,keyasint"`
}

// CollectorOptions configure a Collector.
type CollectorOptions struct {
	// Servers lists the backend servers. Required.
	Servers platform.Servers
	// Config provides the models, classes and availability zones. Required.
	Config config.Source
	// Instances returns the number of live instances, of which the summaries may be a
	// sample. If nil, every instance is assumed to send summaries.
	Instances func() int
	// Now returns the wall-clock time. If nil, time.Now is used.
	Now func() time.Time
}

// Collector implements Observer from the summaries of instances. It extrapolates the
// load from the received summaries to all live instances, so that the duty's holder
// does not need a summary of each. It is safe for concurrent use.
type Collector struct {
	options CollectorOptions

	mu        sync.Mutex
	summaries map[string]receivedSummary
	starting  map[string]time.Time     // when servers that are starting were first seen
	startTime map[string]time.Duration // moving average by model
}

type receivedSummary struct {
	Summary
	at time.Time
}

// NewCollector returns a Collector without summaries.
func NewCollector(o CollectorOptions) *Collector {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Collector{
		options:   o,
		summaries: make(map[string]receivedSummary),
		starting:  make(map[string]time.Time),
		startTime: make(map[string]time.Duration),
	}
}

// Update replaces the instance's previous summary.
func (c *Collector) Update(s Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summaries[s.Instance] = receivedSummary{s, c.options.Now()}
}

// Observe implements Observer. Without any summary it returns no models, so that unknown
// demand changes nothing.
func (c *Collector) Observe(ctx context.Context) (Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.options.Servers.List(ctx)
	if err != nil {
		return Observation{}, err
	}
	snapshot := c.options.Config.Current()
	if snapshot == nil {
		return Observation{Servers: list}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	maps.DeleteFunc(c.summaries, func(_ string, s receivedSummary) bool { return now.Sub(s.at) > summaryTTL })
	c.recordStarts(now, list)
	o := Observation{Servers: list}
	for _, z := range snapshot.Config.Zones {
		o.Zones = append(o.Zones, Zone{
			Name: z.Name, Drained: snapshot.ZoneDrained(z.Name), Price: z.Price, PreemptiblePrice: z.PreemptiblePrice,
		})
	}
	if len(c.summaries) == 0 {
		return o, nil // unknown demand must not cause returns of servers
	}
	for _, m := range snapshot.Config.Models {
		o.Models = append(o.Models, c.model(snapshot, m))
	}
	return o, nil
}

// model combines a model's configuration with its demand. The caller must hold mu.
func (c *Collector) model(snapshot *config.Snapshot, m config.Model) Model {
	start, ok := c.startTime[m.Name]
	if !ok {
		start = cmp.Or(time.Duration(m.StartTime), config.DefaultStartTime)
	}
	return Model{
		Name: m.Name, MinServers: m.MinServers, MaxServers: m.MaxServers,
		Slots: cmp.Or(m.WarmLimit, config.DefaultWarmLimit), StartTime: start,
		Demands: c.demands(snapshot, m.Name),
	}
}

// demands sums the summaries of a model by class. The caller must hold mu.
func (c *Collector) demands(snapshot *config.Snapshot, model string) []Demand {
	sums := make(map[string]ClassLoad)
	for _, s := range c.summaries {
		for _, l := range s.Loads {
			if l.Model != model {
				continue
			}
			sum := sums[l.Class]
			sum.Queued += l.Queued
			sum.Running += l.Running
			sum.Met += l.Met
			sum.Missed += l.Missed
			sums[l.Class] = sum
		}
	}
	scale := c.sampleScale()
	var list []Demand
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		class := snapshot.Class(name)
		if class == nil {
			continue
		}
		sum := sums[name]
		list = append(list, Demand{
			Class: name, Tier: class.Tier, Preemptible: class.AllowPreemptible, Attainment: attainment(sum),
			Queued: scaleCount(sum.Queued, scale), Running: scaleCount(sum.Running, scale),
		})
	}
	return list
}

// sampleScale returns the number of live instances per received summary, at least 1. The
// caller must hold mu.
func (c *Collector) sampleScale() float64 {
	if c.options.Instances == nil {
		return 1
	}
	return max(1, float64(c.options.Instances())/float64(len(c.summaries)))
}

func scaleCount(n int, scale float64) int { return int(math.Ceil(float64(n) * scale)) }

// attainment returns the share of requests that met the target, or -1 if there are none.
func attainment(l ClassLoad) float64 {
	if l.Met+l.Missed == 0 {
		return -1
	}
	return float64(l.Met) / float64(l.Met+l.Missed)
}

// recordStarts measures how long servers take to start. The caller must hold mu.
func (c *Collector) recordStarts(now time.Time, list []platform.Server) {
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		seen[s.Name] = true
		since, started := c.starting[s.Name]
		switch {
		case s.State == platform.ServerStarting && !started:
			c.starting[s.Name] = now
		case s.State == platform.ServerRunning && started:
			delete(c.starting, s.Name)
			c.recordStart(s.Model, now.Sub(since))
		}
	}
	maps.DeleteFunc(c.starting, func(name string, _ time.Time) bool { return !seen[name] })
}

func (c *Collector) recordStart(model string, took time.Duration) {
	average, ok := c.startTime[model]
	if !ok {
		c.startTime[model] = took
		return
	}
	c.startTime[model] = average + time.Duration(startTimeSmoothing*float64(took-average))
}
