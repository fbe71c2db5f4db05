package entry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// metricSet holds request metrics by class. Classes that are removed from the
// configuration are pruned, which bounds the set's size. It is safe for concurrent use.
type metricSet struct {
	mu      sync.RWMutex
	classes map[string]*classMetrics
}

// classMetrics are the metrics of one class. The class with the empty name counts
// requests that were refused before a class was selected.
type classMetrics struct {
	set            *metrics.Set
	answered       *metrics.Counter
	retries        *metrics.Counter
	inputTokens    *metrics.Counter
	outputTokens   *metrics.Counter
	answerSeconds  *metrics.Histogram
	firstByteDelay *metrics.Histogram
}

func newMetricSet() *metricSet {
	return &metricSet{classes: make(map[string]*classMetrics)}
}

func newClassMetrics(class string) *classMetrics {
	set := metrics.NewSet()
	label := fmt.Sprintf("{class=%q}", class)
	return &classMetrics{
		set:            set,
		answered:       set.NewCounter("hawthornwick_requests_answered_total" + label),
		retries:        set.NewCounter("hawthornwick_retries_total" + label),
		inputTokens:    set.NewCounter("hawthornwick_input_tokens_total" + label),
		outputTokens:   set.NewCounter("hawthornwick_output_tokens_total" + label),
		answerSeconds:  set.NewHistogram("hawthornwick_answer_seconds" + label),
		firstByteDelay: set.NewHistogram("hawthornwick_first_byte_seconds" + label),
	}
}

// WriteMetrics writes the server's metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	metrics.WriteGaugeUint64(w, "hawthornwick_requests_open", uint64(max(0, s.Active())))
	s.metrics.mu.RLock()
	defer s.metrics.mu.RUnlock()
	for _, c := range s.metrics.classes {
		c.set.WritePrometheus(w)
	}
}

func (m *metricSet) class(name string) *classMetrics {
	m.mu.RLock()
	c := m.classes[name]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c = m.classes[name]; c == nil {
		c = newClassMetrics(name)
		m.classes[name] = c
	}
	return c
}

// prune removes the classes that the snapshot does not have.
func (m *metricSet) prune(snap *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.classes {
		if name != "" && snap.Class(name) == nil {
			delete(m.classes, name)
		}
	}
}

func (m *metricSet) failed(class string, code result.Code) {
	name := fmt.Sprintf(`hawthornwick_requests_failed_total{class=%q,result="%d"}`, class, int(code))
	m.class(class).set.GetOrCreateCounter(name).Inc()
}

func (m *metricSet) answered(class string, took, firstByte time.Duration) {
	c := m.class(class)
	c.answered.Inc()
	c.answerSeconds.Update(took.Seconds())
	c.firstByteDelay.Update(firstByte.Seconds())
}

// retried counts all attempts but the first.
func (m *metricSet) retried(class string, attempts int) {
	if attempts > 1 {
		m.class(class).retries.Add(attempts - 1)
	}
}

func (m *metricSet) tokens(class string, input, output int64) {
	c := m.class(class)
	c.inputTokens.AddInt64(input)
	c.outputTokens.AddInt64(output)
}

// countError counts a refusal or a failure.
func (s *Server) countError(e *result.Error) {
	if e.NotRun() {
		s.refused.Add(1)
		return
	}
	s.failed.Add(1)
}
