// Package order decides how many backend servers each model needs, and sends orders to
// the platform and to engines so that each takes effect at most once.
package order

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// Duty is the name of the duty that orders backend servers.
const Duty = "orders"

// Demand is the demand of one class for a model, summed over all instances.
type Demand struct {
	Class       string
	Tier        int  // 1 is the highest
	Preemptible bool // the class may run on preemptible servers
	Queued      int
	Running     int
	// Attainment is the share of recent requests that met the class's target, from 0 to
	// 1. A negative value means unknown.
	Attainment float64
}

// Model is the scaler's view of one model.
type Model struct {
	Name string
	// MinServers and MaxServers bound the number of servers that accept work. If
	// MaxServers is zero, the model is not scaled.
	MinServers int
	MaxServers int
	// Slots is the number of concurrent requests that a warm server can run.
	Slots int
	// StartTime is the time from the order of a server until it is warm.
	StartTime time.Duration
	Demands   []Demand
}

// Zone is the scaler's view of an availability zone.
type Zone struct {
	Name string
	// Drained is true while operators have drained the zone.
	Drained bool
	// Price and PreemptiblePrice are per server and hour, in the same currency for all
	// zones.
	Price            float64
	PreemptiblePrice float64
}

// Observation is the input of one decision.
type Observation struct {
	Models  []Model
	Zones   []Zone
	Servers []platform.Server
	// Busy is the number of running and waiting requests by server, over all instances.
	// The load of an absent server is unknown.
	Busy map[string]int
	// Draining maps the servers that accept no new work to the start of their drain.
	Draining map[string]time.Time
	// Open holds the orders whose outcome is unknown.
	Open []platform.Order
}

// ActionKind is the kind of an Action.
type ActionKind string

// Values of ActionKind.
const (
	Start   ActionKind = "start"   // order a server
	Drain   ActionKind = "drain"   // send a server no new work
	Undrain ActionKind = "undrain" // let it accept work again
	Return  ActionKind = "return"  // order the return of an idle server
)

// Action is one step that the scaler decided on.
type Action struct {
	Kind        ActionKind
	Model       string
	Zone        string // for Start
	Preemptible bool   // for Start
	Server      string // for all other kinds
}

// Policy holds the scaler's parameters. A zero field means its default.
type Policy struct {
	// Utilization is the planned share of slots in use. Default 0.7.
	Utilization float64
	// LowUtilization is the share of slots in use below which servers are drained. It is
	// less than Utilization, so that small changes in demand have no effect. Default 0.5.
	LowUtilization float64
	// ScaleDownDelay is how long demand must stay low before a server is drained. Default 5m.
	ScaleDownDelay time.Duration
	// MinDrainTime is the minimum duration of a drain, in which every instance learns of it.
	// Default 10s.
	MinDrainTime time.Duration
	// ZoneRetention is how long the servers of a drained zone are kept. Default 15m.
	ZoneRetention time.Duration
	// ReclaimBackoff is how long no preemptible server is started in a zone after one was
	// reclaimed there. Default 10m.
	ReclaimBackoff time.Duration
	// MaxConcurrentStarts bounds the servers that load weights at once. Default 4.
	MaxConcurrentStarts int
	// TargetAttainment is the attainment below which capacity is added. Default 0.95.
	TargetAttainment float64
}

// missedTargetBoost multiplies the demand of a class that misses its target.
const missedTargetBoost = 1.25

func (p Policy) withDefaults() Policy {
	setDefault(&p.Utilization, 0.7)
	setDefault(&p.LowUtilization, 0.5)
	setDefault(&p.ScaleDownDelay, 5*time.Minute)
	setDefault(&p.MinDrainTime, 10*time.Second)
	setDefault(&p.ZoneRetention, 15*time.Minute)
	setDefault(&p.ReclaimBackoff, 10*time.Minute)
	setDefault(&p.MaxConcurrentStarts, 4)
	setDefault(&p.TargetAttainment, 0.95)
	return p
}

func setDefault[T comparable](field *T, fallback T) {
	var zero T
	if *field == zero {
		*field = fallback
	}
}
