package demo

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/entry"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
	"github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

const booking = `{"lane":4}`

// sendBooking sends a non-idempotent request through an instance.
func sendBooking(t *testing.T, d *Demo, instance int, idempotencyKey, body string) (*http.Response, string) {
	t.Helper()
	return call(t, http.MethodPost, d.Description.Callers[instance]+"/services/bookings/lane-4",
		d.Description.Keys["suva-swimming"], body, entry.IdempotencyHeader, idempotencyKey)
}

// executions returns the number of requests that the stand-ins executed.
func executions(d *Demo) int {
	events, _ := d.Backends.Timeline.Snapshot()
	n := 0
	for _, e := range events {
		if e.Kind == timeline.BackendRan {
			n++
		}
	}
	return n
}

// Guards against a second execution if a caller retries through another instance.
func TestRetryThroughOtherInstanceReplaysAnswer(t *testing.T) {
	is := is.New(t)
	d := start(t)
	first, text := sendBooking(t, d, 0, "fee-1", booking)
	is.Equal(first.StatusCode, http.StatusOK)
	again, same := sendBooking(t, d, 1, "fee-1", booking)
	is.Equal(again.StatusCode, http.StatusOK)
	is.Equal(same, text)
	is.Equal(again.Header.Get(ledger.ReplayedHeader), "true")
	is.Equal(executions(d), 1)
}

// Guards against a second execution if the same request arrives on both instances at once.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	is := is.New(t)
	d := start(t)
	const duplicates = 8
	texts := make([]string, duplicates)
	var wg sync.WaitGroup
	for n := range duplicates {
		wg.Go(func() { _, texts[n] = sendBooking(t, d, n%2, "fee-2", booking) })
	}
	wg.Wait()
	for _, text := range texts {
		is.Equal(text, texts[0])
	}
	is.Equal(executions(d), 1)
}

func TestIdempotencyKeyWithOtherBody(t *testing.T) {
	is := is.New(t)
	d := start(t)
	sendBooking(t, d, 0, "fee-3", booking)
	answer, _ := sendBooking(t, d, 1, "fee-3", `{"lane":5}`)
	is.Equal(answer.Header.Get(entry.ResultHeader), "5002")
	is.Equal(executions(d), 1)
}

// Without the table service, non-idempotent requests must be refused as not run, and
// idempotent requests must still be served.
func TestTableServiceOutage(t *testing.T) {
	is := is.New(t)
	d := start(t)
	d.Backends.Platform.SetFault(platform.TableInterface, platform.Fault{Down: true})
	answer, _ := sendBooking(t, d, 0, "fee-4", booking)
	is.Equal(answer.Header.Get(entry.ResultHeader), "5001")
	is.Equal(answer.Header.Get(entry.NotRunHeader), "true")
	is.Equal(executions(d), 0)
	status, _ := call(t, http.MethodGet, d.Description.Callers[0]+"/services/entries/run", d.Description.Keys["suva-swimming"], "")
	is.Equal(status.StatusCode, http.StatusOK)
	d.Backends.Platform.SetFault(platform.TableInterface, platform.Fault{})
	answer, _ = sendBooking(t, d, 0, "fee-4", booking)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(executions(d), 2) // the idempotent request and the booking
}

// Guards against a second execution after an answer broke off: the outcome is unknown,
// and a retry through the other instance must not run.
func TestBrokenAnswerNotRetried(t *testing.T) {
	is := is.New(t)
	d := start(t)
	for _, s := range d.Backends.Plain {
		s.Set(fault.Settings{BreakAfter: 5})
	}
	answer, text := sendBooking(t, d, 0, "fee-5", booking)
	is.Equal(answer.Header.Get(entry.NotRunHeader), "false")
	is.True(strings.Contains(text, `"not_run":false`)) // a complete error response, not a truncated answer
	for _, s := range d.Backends.Plain {
		s.Set(fault.Settings{})
	}
	answer, _ = sendBooking(t, d, 1, "fee-5", booking)
	is.Equal(answer.Header.Get(entry.ResultHeader), "5004")
	is.Equal(answer.Header.Get(entry.NotRunHeader), "false")
	is.Equal(executions(d), 1)
}
