package pace

import (
	"fmt"
	"io"
)

// WriteMetrics writes the metrics in the Prometheus text format.
func (b *Book) WriteMetrics(w io.Writer) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(w, "hawthornwick_pace_observations_total{kind=\"section\"} %d\n", b.observed.sections)
	fmt.Fprintf(w, "hawthornwick_pace_observations_total{kind=\"answer\"} %d\n", b.observed.answers)
	fmt.Fprintf(w, "hawthornwick_pace_observations_total{kind=\"first_event\"} %d\n", b.observed.firstEvents)
	fmt.Fprintf(w, "hawthornwick_pace_states_sent_total %d\n", b.observed.states)
	fmt.Fprintf(w, "hawthornwick_pace_state_bytes_sent_total %d\n", b.observed.stateBytes)
	fmt.Fprintf(w, "hawthornwick_pace_states_invalid_total %d\n", b.observed.invalid)
	fmt.Fprintf(w, "hawthornwick_pace_servers %d\n", len(b.records))
	fmt.Fprintf(w, "hawthornwick_pace_instances_heard %d\n", len(b.origins))
}
