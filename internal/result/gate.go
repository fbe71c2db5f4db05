package result

import "sync/atomic"

// Proof states that no byte of a request was handed to a connection to a
// backend server. Only a Gate issues one; the zero Proof proves nothing.
type Proof struct{ issued bool }

// Issued reports whether a Gate issued the proof.
func (p Proof) Issued() bool { return p.issued }

// gateDecision is what a Gate decided.
type gateDecision struct {
	opened  bool
	refusal *Error // nil if the gate was opened, or sealed without a reason
}

var (
	gateOpened = &gateDecision{opened: true}
	gateSealed = &gateDecision{}
)

// Gate decides, once per request, between sending it and proving that it was
// not run. Whichever of Open, Seal and Refuse comes first wins for good.
// The zero Gate is undecided. A Gate is safe for concurrent use.
type Gate struct{ decision atomic.Pointer[gateDecision] }

// Open must be called right before the first byte of any attempt is written.
// It reports false when the request was already declared not run; the attempt
// must then write nothing.
func (g *Gate) Open() bool {
	g.decision.CompareAndSwap(nil, gateOpened)
	return g.Opened()
}

// Opened reports whether a byte may have been written.
func (g *Gate) Opened() bool {
	d := g.decision.Load()
	return d != nil && d.opened
}

// Seal forbids every later attempt and returns the proof that none was made.
// It reports false when an attempt may have written a byte.
func (g *Gate) Seal() (Proof, bool) { return g.seal(gateSealed) }

func (g *Gate) seal(d *gateDecision) (Proof, bool) {
	g.decision.CompareAndSwap(nil, d)
	sealed := !g.Opened()
	return Proof{issued: sealed}, sealed
}

// TryRefuse ends the request with the code as not run. It returns nil when an
// attempt may have written a byte.
func (g *Gate) TryRefuse(code Code, format string, args ...any) *Error {
	refusal := NotRun(code, Proof{issued: true}, format, args...)
	kept := *refusal // the caller may still add to its own
	if _, ok := g.seal(&gateDecision{refusal: &kept}); !ok {
		return nil
	}
	return refusal
}

// Refuse ends the request with the code: as not run when the gate can be
// sealed, as may-have-run otherwise.
func (g *Gate) Refuse(code Code, format string, args ...any) *Error {
	if refusal := g.TryRefuse(code, format, args...); refusal != nil {
		return refusal
	}
	return MayHaveRun(code, format, args...)
}

// Refusal returns the refusal that sealed the gate; nil if none did.
func (g *Gate) Refusal() *Error {
	if d := g.decision.Load(); d != nil {
		return d.refusal
	}
	return nil
}
