package clientconn

import (
	"fmt"
	"io"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
)

// WriteMetrics writes the metrics of the guards in the Prometheus text format. The bytes of
// connections are those of all their budgets together.
func WriteMetrics(w io.Writer, guards ...*Guard) {
	held := int64(0)
	budgets := map[*bytebudget.Budget]bool{}
	for _, g := range guards {
		if b := g.options.Budget; !budgets[b] {
			budgets[b] = true
			held += b.Connections()
		}
	}
	fmt.Fprintf(w, "hawthornwick_client_connection_bytes %d\n", held)
	for _, g := range guards {
		g.writeMetrics(w)
	}
}

func (g *Guard) writeMetrics(w io.Writer) {
	g.mu.Lock()
	open := len(g.open)
	g.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_client_connections{listener=%q} %d\n", g.options.Listener, open)
	for _, c := range []struct {
		reason string
		count  uint64
	}{
		{"evicted", g.counters.evicted.Load()},
		{"no room", g.counters.noRoom.Load()},
		{"header lines", g.counters.headLines.Load()},
	} {
		fmt.Fprintf(w, "hawthornwick_client_connections_closed_total{listener=%q,reason=%q} %d\n", g.options.Listener, c.reason, c.count)
	}
	fmt.Fprintf(w, "hawthornwick_client_requests_refused_total{listener=%q} %d\n", g.options.Listener, g.counters.refused.Load())
}
