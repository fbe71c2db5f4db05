package result

import "sync/atomic"

// Proof is evidence that no byte of a request was written to a connection to a backend
// server. Only a Gate issues a valid Proof; the zero Proof is not valid.
type Proof struct{ issued bool }

// Issued reports whether the proof was issued by a Gate.
func (p Proof) Issued() bool { return p.issued }

// gateDecision is the final decision of a Gate.
type gateDecision struct {
	opened  bool
	refusal *Error // nil if the gate was opened, or sealed by Seal
}

var (
	gateOpened = &gateDecision{opened: true}
	gateSealed = &gateDecision{}
)

// Gate decides once per request whether it may be sent or is refused as not run. The
// first call of Open, Seal, Refuse or TryRefuse decides, and later calls cannot change
// the decision. The zero Gate is undecided. It is safe for concurrent use.
type Gate struct{ decision atomic.Pointer[gateDecision] }

// Open must be called immediately before the first byte of each attempt is written.
// It returns false if the gate is sealed; the attempt must then not write anything.
func (g *Gate) Open() bool {
	g.decision.CompareAndSwap(nil, gateOpened)
	return g.Opened()
}

// Opened reports whether the gate was opened, so that a byte may have been written.
func (g *Gate) Opened() bool {
	d := g.decision.Load()
	return d != nil && d.opened
}

// Seal prevents all later attempts and returns the proof that no byte was sent. It
// returns false if an attempt may already have written a byte.
func (g *Gate) Seal() (Proof, bool) { return g.seal(gateSealed) }

func (g *Gate) seal(d *gateDecision) (Proof, bool) {
	g.decision.CompareAndSwap(nil, d)
	sealed := !g.Opened()
	return Proof{issued: sealed}, sealed
}

// TryRefuse seals the gate and returns an error with the code that states that the
// request was not run. It returns nil if an attempt may have written a byte.
func (g *Gate) TryRefuse(code Code, format string, args ...any) *Error {
	refusal := NotRun(code, Proof{issued: true}, format, args...)
	stored := *refusal // a copy, because the caller may still modify refusal
	if _, ok := g.seal(&gateDecision{refusal: &stored}); !ok {
		return nil
	}
	return refusal
}

// Refuse returns an error with the code. The error states that the request was not
// run if the gate could be sealed, and that it may have run otherwise.
func (g *Gate) Refuse(code Code, format string, args ...any) *Error {
	if refusal := g.TryRefuse(code, format, args...); refusal != nil {
		return refusal
	}
	return MayHaveRun(code, format, args...)
}

// Refusal returns the error of the call of Refuse or TryRefuse that sealed the gate, or
// nil if there was none. It must not be modified.
func (g *Gate) Refusal() *Error {
	if d := g.decision.Load(); d != nil {
		return d.refusal
	}
	return nil
}
