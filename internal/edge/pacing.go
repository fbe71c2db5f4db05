package edge

import (
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/pace"
	"github.com/hawthornwick/hawthornwick/internal/reports"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// paceTopic exchanges what instances observe of the servers' performance. It implements
// reports.Topic.
type paceTopic struct{ book *pace.Book }

var _ reports.Topic = paceTopic{}

// Name implements reports.Topic.
func (paceTopic) Name() string { return "pace" }

// Collect implements reports.Topic.
func (t paceTopic) Collect() []byte { return t.book.Collect() }

// Apply implements reports.Topic.
func (t paceTopic) Apply(origin reports.Origin, state []byte) error {
	return t.book.Apply(runOf(origin), state)
}

// Forget implements reports.Topic.
func (t paceTopic) Forget(origin reports.Origin) { t.book.Forget(runOf(origin)) }

func runOf(o reports.Origin) string { return fmt.Sprintf("%s/%x", o.Instance, o.Incarnation) }

// newPaceBook returns a collection of estimates whose changes are recorded as events.
func newPaceBook(recorder timeline.Recorder) *pace.Book {
	return pace.NewBook(pace.Options{Notify: func(c pace.Change) { recorder.Record(paceEvent(c)) }})
}

func paceEvent(c pace.Change) timeline.Event {
	state := "normal"
	if c.Slow {
		state = "slow"
	}
	return timeline.Event{
		Kind: timeline.ServerPace, Server: c.Server.ID, Service: c.Server.Service, State: state,
		Detail: fmt.Sprintf("relative=%.2f certainty=%.2f observations=%.0f event_ms=%d longest_gap_ms=%d prefill_rate=%.1f own_age_ms=%d",
			c.Estimate.Relative, c.Estimate.Certainty, c.Observations, c.Estimate.EventInterval.Milliseconds(),
			c.Estimate.TypicalGap().Milliseconds(), c.Estimate.Rate(), c.Age.Milliseconds()),
	}
}
