package config

import "time"

func (v *validator) checkClass(path string, c *Class) {
	if c.Tier < 1 || c.Tier > TierCount {
		v.doc.AddFaultOnce(path+".tier", "%d is not a tier from 1 (highest) to %d", c.Tier, TierCount)
	}
	if !(c.Floor >= 0 && c.Floor < 1) {
		v.doc.AddFaultOnce(path+".floor", "%v is not a share from 0 to below 1", c.Floor)
	}
	if !(*c.RetryBudget >= 0 && *c.RetryBudget <= 1) {
		v.doc.AddFaultOnce(path+".retry-budget", "%v is not a share from 0 to 1", *c.RetryBudget)
	}
	v.checkClassDurations(path, c)
	if c.NonIdempotent && c.HedgeAfter != 0 {
		v.doc.AddFaultOnce(path+".hedge-after", "a non-idempotent class cannot send a second attempt")
	}
	if c.NonIdempotent && c.AllowPreemptible {
		v.doc.AddFaultOnce(path+".cheap", "a non-idempotent class cannot use backend servers that may be reclaimed")
	}
}

func (v *validator) checkClassDurations(path string, c *Class) {
	for _, f := range []struct {
		name  string
		value Duration
	}{
		{"deadline", c.Deadline},
		{"first-token", c.FirstToken},
		{"between-tokens", c.BetweenTokens},
		{"queue-limit", c.QueueTimeout},
		{"hedge-after", c.HedgeAfter},
	} {
		if f.value < 0 {
			v.doc.AddFaultOnce(path+"."+f.name, "%v is negative", f.value)
		}
		if f.value > c.Deadline && c.Deadline >= 0 {
			v.doc.AddFaultOnce(path+"."+f.name, "%v exceeds the deadline of %v", f.value, c.Deadline)
		}
	}
	if time.Duration(c.Deadline) > maxDeadline {
		v.doc.AddFaultOnce(path+".deadline", "%v exceeds the limit of %v", c.Deadline, maxDeadline)
	}
}

const (
	maxDeadline = 24 * time.Hour
	// floorTolerance absorbs rounding errors of sums such as ten times 0.1.
	floorTolerance = 1e-9
)

func (v *validator) checkFloorSum() {
	sum := 0.0
	for i := range v.config.Classes {
		sum += v.config.Classes[i].EffectiveFloor()
	}
	if sum >= 1-floorTolerance {
		v.doc.AddFaultOnce("classes", "floors sum to %.4g, not below 1 (a class without a floor counts %v)", sum, DefaultFloor)
	}
}
