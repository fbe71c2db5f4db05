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
	summaryLifetime = 30 * time.Second
	startTimeWeight = 0.3 // of a new start
)

// ClassLoad is what one class asks of one model on one instance.
type ClassLoad struct {
	Model   string `cbor:"1,keyasint"`
	Class   string `cbor:"2,keyasint"`
	Queued  int    `cbor:"3,keyasint"`
	Running int    `cbor:"4,keyasint"`
	// Met and Missed count recent answers within and beyond the class's target.
	Met    int `cbor:"5,keyasint,omitempty"`
	Missed int `cbor:"6,keyasint,omitempty"`
}

// Summary is the load of one instance.
type Summary struct {
	Instance string      `cbor:"1,keyasint"`
	Loads    []ClassLoad `cbor:"2,keyasint"`
}

// CollectorOptions configure a Collector.
type CollectorOptions struct {
	// Servers lists the backend servers. Required.
	Servers platform.Servers
	// Config gives the models, classes and availability zones. Required.
	Config config.Source
	// Instances is the number of live instances, of which summaries may be a
	// sample. Nil: every instance sends summaries.
	Instances func() int
	// Now is the clock. Nil: time.Now.
	Now func() time.Time
}

// Collector implements Observer from the summaries of instances. The load is
// scaled from those that were heard to all live ones, so that the duty's holder
// need not hear every instance. It is safe for concurrent use.
type Collector struct {
	options CollectorOptions

	mu        sync.Mutex
	summaries map[string]heardSummary
	starting  map[string]time.Time     // servers seen starting, since when
	startTime map[string]time.Duration // smoothed, by model
}

type heardSummary struct {
	Summary
	at time.Time
}

// NewCollector returns a collector that has heard nothing yet.
func NewCollector(o CollectorOptions) *Collector {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Collector{
		options:   o,
		summaries: make(map[string]heardSummary),
		starting:  make(map[string]time.Time),
		startTime: make(map[string]time.Duration),
	}
}

// Take takes an instance's summary in place of its former one.
func (c *Collector) Take(s Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summaries[s.Instance] = heardSummary{s, c.options.Now()}
}

// Observe implements Observer.
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
	maps.DeleteFunc(c.summaries, func(_ string, s heardSummary) bool { return now.Sub(s.at) > summaryLifetime })
	c.noteStarts(now, list)
	o := Observation{Servers: list}
	for _, z := range snapshot.Config.Zones {
		o.Zones = append(o.Zones, Zone{
			Name: z.Name, Out: snapshot.ZoneOut(z.Name), Price: z.Price, CheapPrice: z.CheapPrice,
		})
	}
	if len(c.summaries) == 0 {
		return o, nil // without any demand known, nothing is scaled
	}
	for _, m := range snapshot.Config.Models {
		o.Models = append(o.Models, c.model(snapshot, m))
	}
	return o, nil
}

// model joins a model's configuration with its demand; mu is held.
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

// demands sums the summaries by class; mu is held.
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
	scale := c.scale()
	var list []Demand
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		class := snapshot.Class(name)
		if class == nil {
			continue
		}
		sum := sums[name]
		list = append(list, Demand{
			Class: name, Tier: class.Tier, Cheap: class.Cheap, Attainment: attainment(sum),
			Queued: scaled(sum.Queued, scale), Running: scaled(sum.Running, scale),
		})
	}
	return list
}

// scale is the number of live instances per one that was heard; mu is held.
func (c *Collector) scale() float64 {
	if c.options.Instances == nil {
		return 1
	}
	return max(1, float64(c.options.Instances())/float64(len(c.summaries)))
}

func scaled(n int, scale float64) int { return int(math.Ceil(float64(n) * scale)) }

// attainment is the share of answers within the target, -1 without answers.
func attainment(l ClassLoad) float64 {
	if l.Met+l.Missed == 0 {
		return -1
	}
	return float64(l.Met) / float64(l.Met+l.Missed)
}

// noteStarts learns how long servers take to start; mu is held.
func (c *Collector) noteStarts(now time.Time, list []platform.Server) {
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		seen[s.Name] = true
		since, started := c.starting[s.Name]
		switch {
		case s.State == platform.ServerStarting && !started:
			c.starting[s.Name] = now
		case s.State == platform.ServerRunning && started:
			delete(c.starting, s.Name)
			c.noteStart(s.Model, now.Sub(since))
		}
	}
	maps.DeleteFunc(c.starting, func(name string, _ time.Time) bool { return !seen[name] })
}

func (c *Collector) noteStart(model string, took time.Duration) {
	before, ok := c.startTime[model]
	if !ok {
		c.startTime[model] = took
		return
	}
	c.startTime[model] = before + time.Duration(startTimeWeight*float64(took-before))
}
