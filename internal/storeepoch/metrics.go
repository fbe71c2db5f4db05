package storeepoch

import (
	"fmt"
	"io"
)

// WriteMetrics writes the epoch, the restores seen, and the answers discarded by reason in the
// Prometheus text format.
func (t *Tracker) WriteMetrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_store_epoch %d\n", t.current.Number)
	fmt.Fprintf(w, "hawthornwick_store_restores_total %d\n", t.restores)
	for _, reason := range []Reason{Earlier, Unstated, Implausible, Unconfirmed} {
		fmt.Fprintf(w, "hawthornwick_store_answers_discarded_total{reason=%q} %d\n", reason, t.stale[reason])
	}
}
