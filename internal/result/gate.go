package result

import "sync/atomic"

// Proof states that no byte of a request was handed to a connection to a
// backend server. Only a Gate issues one; the zero Proof proves nothing.
type Proof struct{ issued bool }

// Issued reports whether a Gate issued the proof.
func (p Proof) Issued() bool { return p.issued }

const (
	gateUndecided int32 = iota
	gateOpened
	gateSealed
)

// Gate decides, once per request, between sending it and proving that it was
// not run. Whichever of Open and Seal comes first wins for good.
// The zero Gate is undecided. A Gate is safe for concurrent use.
type Gate struct{ state atomic.Int32 }

// Open must be called right before the first byte of any attempt is written.
// It reports false when the request was already declared not run; the attempt
// must then write nothing.
func (g *Gate) Open() bool {
	if g.state.CompareAndSwap(gateUndecided, gateOpened) {
		return true
	}
	return g.state.Load() == gateOpened
}

// Opened reports whether a byte may have been written.
func (g *Gate) Opened() bool { return g.state.Load() == gateOpened }

// Seal forbids every later attempt and returns the proof that none was made.
// It reports false when an attempt may have written a byte.
func (g *Gate) Seal() (Proof, bool) {
	if g.state.CompareAndSwap(gateUndecided, gateSealed) {
		return Proof{issued: true}, true
	}
	return Proof{issued: g.state.Load() == gateSealed}, g.state.Load() == gateSealed
}

// Refuse ends the request with the code: as not run when the gate can be
// sealed, as may-have-run otherwise.
func (g *Gate) Refuse(code Code, format string, args ...any) *Error {
	proof, ok := g.Seal()
	if !ok {
		return MayHaveRun(code, format, args...)
	}
	return NotRun(code, proof, format, args...)
}
