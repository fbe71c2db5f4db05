package rollout

// maxCredit bounds the requests that can be sent to the new version in succession.
const maxCredit = 2

// Credit limits the requests that one instance sends to the new version. It handles the
// load of many instances that receive few requests each: it grows only with requests that
// have arrived, so the sum over any number of instances stays within the bound at every
// moment without messages. The zero value grants nothing; use NewCredit.
type Credit struct {
	credit float64 // requests that may be sent now
	budget float64 // requests that the bound on exposure leaves
}

// NewCredit returns a credit that starts at -random, a number in [0, 1) that should differ
// between instances, so that they do not all send their first request at once.
func NewCredit(random float64) Credit {
	return Credit{credit: -random, budget: -random}
}

// Count counts a request to the service. fraction is that of the step, and share the
// fraction of requests that a bad version may receive.
func (c *Credit) Count(fraction, share float64) {
	c.credit = min(c.credit+fraction, maxCredit)
	c.budget += share
}

// Allows reports whether a request may be sent to the new version.
func (c *Credit) Allows() bool { return c.credit >= 1 && c.budget >= 1 }

// Spend counts a request that is sent to the new version.
func (c *Credit) Spend() {
	c.credit--
	c.budget--
}
