package quarantine

import (
	"fmt"
	"io"
	"time"
)

// WriteMetrics writes the number of crashes with suspects and of what is refused in the
// Prometheus text format.
func (t *Tracker) WriteMetrics(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.assess(time.Now())
	fmt.Fprintf(w, "hawthornwick_quarantine_crashes %d\n", len(t.incidents))
	fmt.Fprintf(w, "hawthornwick_quarantine_refused{kind=\"request\"} %d\n", len(current.refused))
	fmt.Fprintf(w, "hawthornwick_quarantine_refused{kind=\"part\"} %d\n", len(current.parts.refusals))
}
