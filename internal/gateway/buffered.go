package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/httphead"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// maxBufferedBytes is the size up to which an answer is buffered before any of it is
// sent to the caller, so that the request can be retried if the answer breaks off.
const maxBufferedBytes = 1 << 20

// holdBuffer returns a holder for the unfinished answer. If others need its memory, an
// attempt that may be repeated is cancelled.
func (a *attempt) holdBuffer() *bytebudget.Holder {
	var evict func()
	if a.x.route.Retryable() {
		evict = func() { a.cancel(errStalled) }
	}
	return a.x.gateway.buffers.Hold(answerShare, evict)
}

// relayBuffered relays an answer that is not a stream. It buffers the first
// maxBufferedBytes, or less if there is no memory for them.
func (a *attempt) relayBuffered() *failure {
	began := time.Since(a.started)
	holder := a.holdBuffer()
	defer holder.Release()
	buffered, err := readPieces(a.response.Body, holder, maxBufferedBytes)
	complete := errors.Is(err, io.EOF)
	if err == nil && a.ctx.Err() != nil {
		err = context.Cause(a.ctx) // others needed the memory
	}
	if err != nil && !complete {
		return a.connectionFailure(err)
	}
	if !a.answer.NotRun {
		a.x.recordUsage(began)
	}
	if complete {
		if failed := a.confirmEnd(); failed != nil {
			return failed
		}
	}
	if complete {
		a.pacing.answered(time.Now())
	}
	if complete && a.response.ContentLength < 0 && a.x.r.Method != http.MethodHead {
		a.response.ContentLength = buffered.size()
	}
	if a.watchdog != nil {
		a.watchdog.stop()
	}
	a.writeHead()
	if err := buffered.writeTo(a.x.w); err != nil {
		a.version.callerFailed = true
		return a.connectionFailure(err)
	}
	if !complete {
		if _, err := io.Copy(a.x.w, a.response.Body); err != nil {
			return a.connectionFailure(err)
		}
		if failed := a.confirmEnd(); failed != nil {
			return failed
		}
	}
	_ = a.response.Body.Close()
	a.recordAnswered(1)
	return nil
}

// writeHead sends the head of the answer to the caller, unless an earlier attempt
// has sent it.
func (a *attempt) writeHead() {
	x := a.x
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	head := a.response.Header.Clone()
	httphead.RemoveHopByHop(head)
	h := x.w.Header()
	for name, values := range head {
		h[name] = values
	}
	if a.response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	x.gateway.counters.answered(x, time.Since(x.receivedAt).Seconds())
	x.w.WriteHeader(a.response.StatusCode)
}

// recordAnswered records that the complete answer was sent to the caller.
func (a *attempt) recordAnswered(events int64) {
	took := time.Since(a.x.receivedAt)
	a.x.gateway.counters.completed(a.x, took.Seconds())
	a.x.gateway.counters.framed(a.framing)
	if a.succeeded() {
		a.x.gateway.answerTimes.add(a.x.route.Name, took)
	}
	a.x.record(timeline.Event{
		Kind: timeline.RequestAnswered, Attempt: a.x.head.Attempt, Server: a.assignment.Server, Zone: a.assignment.Zone,
		Count: events, Duration: took, State: strconv.Itoa(a.response.StatusCode),
		Detail: a.x.pauses.describe(a.x.receivedAt) + a.describeStream(),
	})
}
