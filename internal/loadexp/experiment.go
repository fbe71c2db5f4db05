package loadexp

import (
	"fmt"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/admission"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/placement"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/routing"
)

// Policy names the placement, admission and retry policies of a run.
type Policy string

// Policies. Each policy other than Full is a baseline that replaces or disables one
// decision.
const (
	Full             Policy = "full"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
	LowestPrice      Policy = "cheapest of all"
	BestOfTwo        Policy = "best of two"
	FIFO             Policy = "fifo"
	NoEarlyRefusal   Policy = "no early refusal"
	NoRetryBudget    Policy = "no retry budget"
)

// Experiment configures one run. The zero value of a field means its default.
type Experiment struct {
	Policy Policy
	Seed   uint64
	// Load is the offered load relative to the capacity of the servers. Default 1.
	Load float64
	// Instances is the number of instances that share the servers. Default 4.
	Instances int
	// Servers is the number of servers, spread evenly over three zones. Default 20.
	Servers int
	// SlowFactor multiplies the token times of the servers in the second zone.
	// Default 2.
	SlowFactor float64
	// FailShare is the share of attempts that fail in the middle third of the run.
	// Default 0.
	FailShare float64
	// Length is the synthetic time in which requests arrive. Default 90 s.
	Length time.Duration
}

func (x Experiment) withDefaults() Experiment {
	if x.Policy == "" {
		x.Policy = Full
	}
	if x.Load == 0 {
		x.Load = 1
	}
	if x.Instances == 0 {
		x.Instances = 4
	}
	if x.Servers == 0 {
		x.Servers = 20
	}
	if x.SlowFactor == 0 {
		x.SlowFactor = 2
	}
	if x.Length == 0 {
		x.Length = 90 * time.Second
	}
	return x
}

// zones are the availability zones of the servers. The one at index slowZone is
// slowed.
var zones = []string{"a", "b", "c"}

const (
	slowZone = 1
	// Every preemptibleEvery-th server of a zone is preemptible.
	preemptibleEvery = 3
	warmLimit        = 32
)

// servers returns the simulated servers.
func (x Experiment) servers() []*server {
	all := make([]*server, x.Servers)
	for i := range all {
		zone := i % len(zones)
		s := &server{slow: 1, Server: platform.Server{
			Name:        fmt.Sprintf("s%02d", i),
			Address:     fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone:        zones[zone],
			Model:       modelName,
			Epoch:       1,
			State:       platform.ServerRunning,
			Preemptible: (i/len(zones))%preemptibleEvery == preemptibleEvery-1,
		}}
		if zone == slowZone {
			s.slow = x.SlowFactor
		}
		all[i] = s
	}
	return all
}

// capacity returns the work per second that the servers can do, in answer tokens.
func capacity(servers []*server) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += knee / (s.slow * tokenTime.Seconds())
	}
	return sum
}

func (x Experiment) config(loads []classLoad) *config.Snapshot {
	c := config.Config{
		Models: []config.Model{{Name: modelName, Class: loads[0].spec.Name, WarmLimit: warmLimit}},
	}
	for _, l := range loads {
		c.Classes = append(c.Classes, l.spec)
	}
	for _, z := range zones {
		c.Zones = append(c.Zones, config.Zone{Name: z})
	}
	return config.NewSnapshot(1, "", c, nil, nil)
}

func (x Experiment) engine(name string, seed uint64) *placement.Engine {
	o := placement.Options{
		Instance: name,
		Zone:     zones[0],
		Seed:     seed,
		Timing:   routing.Timing{FreshFor: time.Hour},
	}
	switch x.Policy {
	case RoundRobin:
		o.Picker = &routing.RoundRobin{}
	case LeastOutstanding:
		o.Picker = routing.LeastOutstanding{}
	case BestOfTwo:
		o.Picker = routing.BestOf{N: 2}
	case LowestPrice:
		o.Picker = routing.LowestPrice{}
	case FIFO:
		o.Queue = admission.Options{FIFO: true}
	case NoEarlyRefusal:
		o.NoEarlyRefusal = true
	case NoRetryBudget:
		o.NoRetryBudget = true
	}
	return placement.New(o)
}
