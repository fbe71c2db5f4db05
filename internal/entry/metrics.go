package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// metricSet counts requests for the operators' listener.
type metricSet struct {
	set *metrics.Set
}

func newMetricSet() *metricSet {
	return &metricSet{set: metrics.NewSet()}
}

// Metrics returns the server's metrics.
func (s *Server) Metrics() *metrics.Set { return s.metrics.set }

func (m *metricSet) failed(class string, code result.Code) {
	name := fmt.Sprintf(`hawthornwick_requests_failed_total{class=%q,result="%d"}`, class, int(code))
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *metricSet) answered(class string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_requests_answered_total{class=%q}`, class)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthornwick_answer_seconds{class=%q}`, class)).Update(took.Seconds())
}

func (m *metricSet) tokens(class string, input, output int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_input_tokens_total{class=%q}`, class)).AddInt64(input)
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornwick_output_tokens_total{class=%q}`, class)).AddInt64(output)
}

// count adds a refusal or a failure.
func (s *Server) count(e *result.Error) {
	if e.NotRun() {
		s.refused.Add(1)
		return
	}
	s.failed.Add(1)
}
