package timeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// ClassStats summarises the requests of one class in a timeline. Requests without a
// RequestReceived event in the timeline are not counted.
type ClassStats struct {
	Class     string      `json:"class"`
	Tier      int         `json:"tier"`
	Received  int         `json:"received"`
	Answered  int         `json:"answered"`
	Refused   int         `json:"refused"`
	Failed    int         `json:"failed"`
	Attempts  int         `json:"attempts"`
	Codes     []CodeCount `json:"codes,omitempty"` // of refusals and failures
	QueueP50  Millis      `json:"queue_p50_ms"`
	QueueP99  Millis      `json:"queue_p99_ms"`
	AnswerP50 Millis      `json:"answer_p50_ms"` // from receipt of the request to the end of a complete response
	AnswerP99 Millis      `json:"answer_p99_ms"`
}

// Millis is a duration in milliseconds.
type Millis float64

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Count int         `json:"count"`
}

// Histograms record latencies in microseconds, from 1 µs to 1 h, with three significant
// digits.
const (
	minLatencyMicros = int64(1)
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	latencyDigits    = 3
)

// Stats summarises a merged timeline per class, ordered by tier and class name.
func Stats(events []Event) []ClassStats {
	s := summary{requests: make(map[string]*requestTimes), classes: make(map[string]*classSummary)}
	for _, e := range events {
		s.add(e)
	}
	stats := make([]ClassStats, 0, len(s.classes))
	for _, c := range s.classes {
		stats = append(stats, c.stats())
	}
	slices.SortFunc(stats, func(a, b ClassStats) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	return stats
}

// requestTimes holds the timestamps of a request that has not ended yet.
type requestTimes struct {
	class            *classSummary
	received, queued time.Time
}

type classSummary struct {
	counts        ClassStats
	codes         map[result.Code]int
	queue, answer *hdrhistogram.Histogram
}

type summary struct {
	requests map[string]*requestTimes
	classes  map[string]*classSummary
}

func (s *summary) add(e Event) {
	if e.Kind == RequestReceived {
		s.received(e)
		return
	}
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	counts := &r.class.counts
	switch e.Kind {
	case RequestQueued:
		r.queued = e.Time
	case RequestAdmitted:
		observe(r.class.queue, r.queued, e.Time)
	case AttemptSent:
		counts.Attempts++
	case RequestAnswered:
		counts.Answered++
		observe(r.class.answer, r.received, e.Time)
		delete(s.requests, e.Request)
	case RequestRefused:
		counts.Refused++
		r.class.codes[e.Code]++
		delete(s.requests, e.Request)
	case RequestFailed:
		counts.Failed++
		r.class.codes[e.Code]++
		delete(s.requests, e.Request)
	}
}

func (s *summary) received(e Event) {
	c := s.classes[e.Class]
	if c == nil {
		c = &classSummary{
			counts: ClassStats{Class: e.Class, Tier: e.Tier},
			codes:  make(map[result.Code]int),
			queue:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
			answer: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		}
		s.classes[e.Class] = c
	}
	c.counts.Received++
	s.requests[e.Request] = &requestTimes{class: c, received: e.Time}
}

func observe(h *hdrhistogram.Histogram, from, to time.Time) {
	if from.IsZero() {
		return
	}
	micros := to.Sub(from).Microseconds()
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(micros, minLatencyMicros), maxLatencyMicros))
}

func (c *classSummary) stats() ClassStats {
	stats := c.counts
	for code, count := range c.codes {
		stats.Codes = append(stats.Codes, CodeCount{code, count})
	}
	slices.SortFunc(stats.Codes, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	stats.QueueP50, stats.QueueP99 = quantile(c.queue, 50), quantile(c.queue, 99)
	stats.AnswerP50, stats.AnswerP99 = quantile(c.answer, 50), quantile(c.answer, 99)
	return stats
}

func quantile(h *hdrhistogram.Histogram, percent float64) Millis {
	return Millis(float64(h.ValueAtQuantile(percent)) / 1000)
}
