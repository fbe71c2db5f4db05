// Package order decides how many backend servers each model needs, and carries
// orders to the platform and to engines so that each takes effect at most once.
package order

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Duty is the name of the duty that orders backend servers.
const Duty = "orders"

// Demand is what one class asks of a model, summed over all instances.
type Demand struct {
	Class   string
	Tier    int  // 1 is the highest
	Cheap   bool // the class may run on cheap servers
	Queued  int
	Running int
	// Attainment is the share of recent answers within the class's target, 0 to
	// 1. Negative: unknown.
	Attainment float64
}

// Model is what the scaler knows of one model.
type Model struct {
	Name string
	// MinServers and MaxServers bound the servers that take work. MaxServers 0
	// means that the model is not scaled.
	MinServers int
	MaxServers int
	// Slots is the number of requests that a warm server bears.
	Slots int
	// StartTime is how long a server takes from its order until it is warm.
	StartTime time.Duration
	Demands   []Demand
}

// Zone is an availability zone as the scaler sees it.
type Zone struct {
	Name string
	// Out is true while operators have taken the zone out.
	Out bool
	// Price and CheapPrice are per server and hour in any one currency.
	Price      float64
	CheapPrice float64
}

// Observation is everything that one decision looks at.
type Observation struct {
	Models  []Model
	Zones   []Zone
	Servers []platform.Server
	// Busy is the number of requests that each server runs or has waiting, over
	// all instances, by name. A server that is absent is of unknown load.
	Busy map[string]int
	// Draining names the servers that take no new work since a time.
	Draining map[string]time.Time
	// Open are the orders whose outcome is unknown.
	Open []platform.Order
}

// ActionKind tells what an action does.
type ActionKind string

// Values of ActionKind.
const (
	Start   ActionKind = "start"   // order a server
	Drain   ActionKind = "drain"   // give a server no new work
	Undrain ActionKind = "undrain" // give it work again
	Return  ActionKind = "return"  // order its return; it is idle
)

// Action is one step that the scaler wants.
type Action struct {
	Kind   ActionKind
	Model  string
	Zone   string // for Start
	Cheap  bool   // for Start
	Server string // for the others
}

// Policy holds the scaler's constants. Zero fields mean the defaults.
type Policy struct {
	// Use is the share of the slots that is planned to be in use. Default 0.7.
	Use float64
	// LowUse is the share below which servers are returned; it is less than
	// Use, so that small changes cause nothing. Default 0.5.
	LowUse float64
	// LowTime is how long demand stays low before a server is drained. Default 5m.
	LowTime time.Duration
	// DrainTime is the shortest drain, so that every instance has heard of it. Default 10s.
	DrainTime time.Duration
	// ZoneHold is how long servers of a zone that was taken out are kept. Default 15m.
	ZoneHold time.Duration
	// ReclaimHold is how long no cheap server is ordered in a zone after a
	// reclaim there. Default 10m.
	ReclaimHold time.Duration
	// StartsAtOnce bounds the servers that load weights at the same time. Default 4.
	StartsAtOnce int
	// Target is the attainment below which capacity is added. Default 0.95.
	Target float64
}

// Boost is the factor on demand while a class misses its target.
const boost = 1.25

func (p Policy) withDefaults() Policy {
	setDefault(&p.Use, 0.7)
	setDefault(&p.LowUse, 0.5)
	setDefault(&p.LowTime, 5*time.Minute)
	setDefault(&p.DrainTime, 10*time.Second)
	setDefault(&p.ZoneHold, 15*time.Minute)
	setDefault(&p.ReclaimHold, 10*time.Minute)
	setDefault(&p.StartsAtOnce, 4)
	setDefault(&p.Target, 0.95)
	return p
}

func setDefault[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}
