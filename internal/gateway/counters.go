package gateway

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

const (
	// maxOrganisationLabels bounds the cardinality of the organisation label.
	maxOrganisationLabels = 200
	// otherOrganisations is the label value for all further organisations.
	otherOrganisations = "(others)"
)

// Values of the "end" label.
const (
	endAnswered = "answered"
	endRefused  = "refused" // the request has not run
	endFailed   = "failed"  // the request may have run
)

// counters are the gateway's metrics.
type counters struct {
	set *metrics.Set

	mu       sync.Mutex
	labelled map[string]bool // organisations that have a label value of their own
}

func newCounters() *counters { return &counters{set: metrics.NewSet(), labelled: map[string]bool{}} }

// ended counts a request that the router refused or failed on its own.
func (c *counters) ended(x *exchange, e *result.Error) {
	c.count(x, fmt.Sprint(e.Code))
	end := endFailed
	if e.NotRun() {
		end = endRefused
	}
	c.countOrganisation(x.organisationName(), end)
}

// answered counts a request that received a backend server's answer. seconds is the
// time until the first byte of the answer.
func (c *counters) answered(x *exchange, seconds float64) {
	c.count(x, endAnswered)
	c.countOrganisation(x.organisationName(), endAnswered)
	c.set.GetOrCreateHistogram(fmt.Sprintf(`hawthornwick_first_byte_seconds{route=%q}`, x.routeName())).Update(seconds)
}

// completed records the time until the answer was complete.
func (c *counters) completed(x *exchange, seconds float64) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`hawthornwick_answer_seconds{route=%q}`, x.routeName())).Update(seconds)
}

// waited records the time that a request waited for a backend server.
func (c *counters) waited(x *exchange, seconds float64) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`hawthornwick_wait_seconds{service=%q}`, x.query.Service)).Update(seconds)
}

// count counts a request by route and result.
func (c *counters) count(x *exchange, result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_requests_total{route=%q,result=%q}`, x.routeName(), result)).Inc()
}

// countOrganisation counts a request by organisation. Requests without an
// organisation are not counted.
func (c *counters) countOrganisation(organisation, end string) {
	if organisation == "" {
		return
	}
	name := c.label(organisation)
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_organisation_requests_total{organisation=%q,end=%q}`, name, end)).Inc()
}

// label returns the label value for an organisation: its name, or
// otherOrganisations once maxOrganisationLabels names are in use.
func (c *counters) label(organisation string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.labelled[organisation] {
		return organisation
	}
	if len(c.labelled) >= maxOrganisationLabels {
		return otherOrganisations
	}
	c.labelled[organisation] = true
	return organisation
}

// attempt counts the outcome of an attempt.
func (c *counters) attempt(outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_attempts_total{outcome=%q}`, outcome)).Inc()
}

// framed counts a complete answer by what marked its end.
func (c *counters) framed(f framing) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_answers_framed_total{framing=%q}`, f)).Inc()
}

// endChecked counts an answer whose end was in doubt by what a check of its server
// found and what was concluded.
func (c *counters) endChecked(found finding, v verdict) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_unframed_ends_total{server=%q,conclusion=%q}`, found, v)).Inc()
}

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.counters.set.WritePrometheus(w)
	fmt.Fprintf(w, "hawthornwick_active_requests %d\n", g.Active())
	used, evicted := g.buffers.Usage()
	fmt.Fprintf(w, "hawthornwick_buffered_bytes %d\n", used)
	fmt.Fprintf(w, "hawthornwick_evicted_answers_total %d\n", evicted)
}
