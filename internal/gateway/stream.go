package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
)

const eventStreamType = "text/event-stream"

// streams reports whether the answer is read as a stream of server-sent events. Where runs
// are numbered without gaps, that is so for each answer of status 200 with a body on a route of
// streams: one that is no stream breaks off at its first line. Otherwise the media type decides.
func (a *attempt) streams() bool {
	if a.x.route.Kind != routes.Stream || a.response.StatusCode != http.StatusOK || a.x.r.Method == http.MethodHead {
		return false
	}
	return a.x.gateway.options.Protocol.EventRules().Consecutive || isEventStream(a.response.Header)
}

// isEventStream reports whether the media type is that of server-sent events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == eventStreamType && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// relayStream relays the stream one complete event at a time. The run must go on after the last
// event that the caller received or says it did, also on a route that may not be resumed: there
// the caller would receive events twice otherwise.
func (a *attempt) relayStream() *failure {
	holder := a.holdBuffer()
	defer holder.Release()
	a.events = eventstream.NewReader(a.response.Body, a.x.gateway.options.Protocol.EventRules(), a.x.lastEventID)
	a.events.SetMemory(holder)
	for {
		event, err := a.events.Next()
		if errors.Is(err, io.EOF) {
			return a.streamEnded()
		}
		if err != nil {
			return a.streamFailure(err)
		}
		a.pacing.received(time.Now())
		a.recordProgress()
		if failed := a.admitRun(); failed != nil {
			return failed
		}
		if failed := a.relayEvent(event); failed != nil {
			return failed
		}
		a.pacing.relayed(time.Now())
		a.x.noteLostOrigin()
		if failed := a.leaveServer(event); failed != nil {
			return failed
		}
	}
}

// streamFailure classifies an error of the stream's reader.
func (a *attempt) streamFailure(err error) *failure {
	var invalid *eventstream.InvalidError
	if errors.As(err, &invalid) {
		return a.newFailure(result.StreamBroken, balance.Broken, err)
	}
	return a.connectionFailure(err)
}

// recordProgress reports an event to the usage meter, the balancer and the watchdog.
func (a *attempt) recordProgress() {
	if a.x.events == 0 || !a.x.usageRecorded {
		a.x.recordUsage(0)
	}
	a.sampleEvent()
	if a.assignment.PrefillDone() {
		a.watchStream()
		return
	}
	a.watchdog.progress()
}

// relayEvent writes an event to the caller, after the answer's head if it is the
// first one.
func (a *attempt) relayEvent(event eventstream.Event) *failure {
	x := a.x
	a.response.ContentLength = -1
	a.writeHead()
	if _, err := x.w.Write(event.Bytes); err != nil {
		a.version.callerFailed = true
		return a.connectionFailure(err)
	}
	if err := x.control.Flush(); err != nil {
		a.version.callerFailed = true
		return a.connectionFailure(err)
	}
	x.streamStarted = true
	x.events++
	x.bind(a.assignment)
	x.pauses.record(time.Now())
	if event.ID != "" {
		x.lastEventID = event.ID
	}
	return nil
}

// streamEnded completes the answer at the end of the server's stream, if it is confirmed.
func (a *attempt) streamEnded() *failure {
	if failed := a.confirmEnd(); failed != nil {
		return failed
	}
	if failed := a.admitEnd(); failed != nil {
		return failed
	}
	a.writeHead()
	_ = a.response.Body.Close()
	a.recordAnswered(a.x.events)
	return nil
}
