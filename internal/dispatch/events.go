package dispatch

import (
	"errors"

	"github.com/tmaxmax/go-sse"

	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// eventReader reads a stream one whole event at a time. The decoder of events drops lines
// that are no field, and a piece with them; eventReader ends the stream there with an
// error instead.
type eventReader struct {
	events *eventstream.Reader
	rest   []byte // of the current event
}

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		event, err := r.events.Next()
		if err != nil {
			return 0, err
		}
		r.rest = event.Bytes
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// readEvents decodes the events of the attempt's answer.
func (a *attempt) readEvents() func(func(sse.Event, error) bool) {
	rules := eventstream.Rules{KnownFieldsOnly: true, IgnoreIDs: true}
	source := &eventReader{events: eventstream.NewReader(a.body, rules, "")}
	return sse.Read(source, &sse.ReadConfig{MaxEventSize: maxEventBytes})
}

// streamFailure classifies an error of readEvents.
func (a *attempt) streamFailure(err error) *attemptError {
	var invalid *eventstream.InvalidError
	if errors.As(err, &invalid) || errors.Is(err, eventstream.ErrTooLong) {
		return &attemptError{code: result.StreamBroken, cause: err}
	}
	return a.classify(err)
}
