package rollout

// Rule says which versions of a service one instance may send requests to.
type Rule struct {
	Order Order
	// Fraction is the fraction of requests that the new version gets; see Step.Fraction.
	Fraction float64
	// Share is the fraction of requests that a bad version may receive.
	Share float64
	// Only is true if old servers get no new requests.
	Only bool
	// Blocked is true if the new version gets no requests.
	Blocked bool
	// Stale is true if the version may have been found bad without this instance knowing.
	// The new version then gets no requests while old servers are listed.
	Stale bool
	// Phase is that of the rollout.
	Phase Phase
}

// RuleOf returns the rule for the state of an order. bad is true if this instance has
// found the new version bad. known is false until the state was read, and current is false
// when the evidence of other instances is out of date.
func RuleOf(o Order, s State, share float64, bad, known, current bool) Rule {
	r := Rule{Order: o, Share: share, Phase: s.Phase}
	switch {
	case s.Phase == Complete:
		r.Only, r.Fraction = true, 1
	case s.Phase == Reverted || bad:
		r.Blocked = true
	default:
		r.Stale = !known || !current
		r.Fraction, r.Only = s.Step.Fraction(share), s.Step == All
	}
	return r
}
