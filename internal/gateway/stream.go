package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/routes"
)

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var (
	errEventTooLong = errors.New("a stream event exceeds the maximum size")
	errPartialEvent = errors.New("the stream ended in the middle of an event")
)

// streams reports whether the answer is a stream of server-sent events.
func (a *attempt) streams() bool {
	return a.x.route.Kind == routes.Stream && a.response.StatusCode == http.StatusOK &&
		strings.HasPrefix(a.response.Header.Get("Content-Type"), "text/event-stream")
}

// relayStream relays the stream one complete event at a time.
func (a *attempt) relayStream() *failure {
	events := bufio.NewReaderSize(a.response.Body, eventBufferBytes)
	for {
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return a.streamEnded(event)
		}
		if err != nil {
			return a.connectionFailure(err)
		}
		a.recordProgress()
		if failed := a.relayEvent(event); failed != nil {
			return failed
		}
	}
}

// readEvent reads up to and including the blank line that ends an event. At the
// end of the stream it returns the remaining bytes and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && err == nil {
			return event, nil
		}
	}
}

// recordProgress reports an event to the usage meter, the balancer and the watchdog.
func (a *attempt) recordProgress() {
	if a.x.events == 0 || !a.x.usageRecorded {
		a.x.recordUsage(0)
	}
	if a.assignment.PrefillDone() {
		a.watchStream()
		return
	}
	a.watchdog.progress()
}

// relayEvent writes an event to the caller, after the answer's head if it is the
// first one.
func (a *attempt) relayEvent(event []byte) *failure {
	x := a.x
	a.response.ContentLength = -1
	a.writeHead()
	if _, err := x.w.Write(event); err != nil {
		return a.connectionFailure(err)
	}
	if err := x.control.Flush(); err != nil {
		return a.connectionFailure(err)
	}
	x.events++
	x.pauses.record(time.Now())
	if id, ok := eventID(event); ok {
		x.lastEventID = id
	}
	return nil
}

// eventID returns the event's id. The result is false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// streamEnded completes the answer at the end of the server's stream. rest are the
// bytes after the last complete event.
func (a *attempt) streamEnded(rest []byte) *failure {
	if len(rest) > 0 {
		return a.connectionFailure(errPartialEvent)
	}
	a.writeHead()
	_ = a.response.Body.Close()
	a.recordAnswered(a.x.events)
	return nil
}
