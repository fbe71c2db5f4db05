// Package rollout decides how the traffic of a service moves to servers of another
// version: how many requests each instance may send there, whether the responses show
// that the version is bad, and when the traffic shifts. Decisions are pure: callers pass
// the time. Types are not safe for concurrent use unless stated otherwise.
package rollout

import "time"

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service string
	// To is the version that the traffic moves to. All others are the old ones.
	To string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision is the version of the order's row. A row that was written again is another
	// order, even with the same content.
	Revision uint64
}

// Phase is the state of a rollout as the platform reads it.
type Phase string

// Values of Phase. Complete and Reverted are final.
const (
	Progressing Phase = "progressing"
	Complete    Phase = "complete"
	Reverted    Phase = "reverted"
)

// Final reports whether nothing leaves the phase.
func (p Phase) Final() bool { return p == Complete || p == Reverted }

// Step is the part of the traffic that goes to the new version.
type Step int

// Values of Step. Traffic shifts in steps so that a version that is bad only under load is
// found before it carries all traffic.
const (
	Observe Step = iota // canary requests only
	Quarter
	Half
	All
)

// Fraction returns the fraction of requests that the new version gets, where share is the
// fraction of requests that a bad version may receive. The canary leaves the rest of share
// to the shift, in which a quarter and half of the traffic go to the new version for
// seconds.
func (s Step) Fraction(share float64) float64 {
	switch s {
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case All:
		return 1
	}
	return canaryPart * share
}

// canaryPart is the part of the bound on exposure that canary requests use.
const canaryPart = 0.5

// State is how far a rollout is. The holder of the control duty writes it to the store.
type State struct {
	Revision uint64 `json:"order" cbor:"1,keyasint"` // Order.Revision
	To       string `json:"to" cbor:"2,keyasint"`
	Phase    Phase  `json:"phase" cbor:"3,keyasint"`
	Step     Step   `json:"step" cbor:"4,keyasint"`
	// StartedMillis is when the order was first seen, and StepMillis when the step began,
	// by the store's clock.
	StartedMillis int64  `json:"started_ms" cbor:"5,keyasint"`
	StepMillis    int64  `json:"step_ms" cbor:"6,keyasint"`
	Reason        string `json:"reason" cbor:"7,keyasint,omitempty"`
}

// Supersedes reports whether s is a later state of the same order than other, or that of
// a later order. A final phase is superseded by no state of its order.
func (s State) Supersedes(other State) bool {
	switch {
	case s.Revision != other.Revision:
		return s.Revision > other.Revision
	case other.Phase.Final():
		return false
	case s.Phase.Final():
		return true
	}
	return s.Step > other.Step
}

// Valid reports whether the phase and the step are known ones.
func (s State) Valid() bool {
	return (s.Phase == Progressing || s.Phase.Final()) && s.Step >= Observe && s.Step <= All
}
