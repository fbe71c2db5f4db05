package gateway

import "github.com/hawthornwick/hawthornwick/internal/bytebudget"

// Buffers returns the budget of callers' bodies and unfinished answers, which the listeners
// of the process share.
func (g *Gateway) Buffers() *bytebudget.Budget { return g.buffers }
