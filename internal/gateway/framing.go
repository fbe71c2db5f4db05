package gateway

import (
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// framing is what marks the end of a backend server's answer.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	// framedByConnection: the answer has neither a length nor chunks. Its end looks the
	// same as that of its server's process.
	framedByConnection
)

var framingNames = [...]string{framedByLength: "length", framedByChunks: "chunks", framedByConnection: "connection"}

// String returns the name, as used in metrics and the timeline.
func (f framing) String() string { return framingNames[f] }

// framingOf returns what marks the end of an answer.
func framingOf(r *http.Response) framing {
	switch {
	case r.ContentLength >= 0:
		return framedByLength
	case len(r.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByConnection
}

// describeStream returns the framing and the ids of the attempt's stream as key=value
// pairs, after a space. It returns an empty string if the answer is no stream.
func (a *attempt) describeStream() string {
	if a.events == nil {
		return ""
	}
	return " framing=" + a.framing.String() + " " + a.events.Seen().String()
}

// recordEndCheck records what a check of the server found after the answer ended with
// its connection. age is the time since that end.
func (a *attempt) recordEndCheck(found reachability, age time.Duration) {
	a.x.gateway.counters.endChecked(found)
	a.x.record(timeline.Event{
		Kind: timeline.AttemptUnframed, Attempt: a.x.head.Attempt, Server: a.assignment.Server, Zone: a.assignment.Zone,
		Count: a.x.events, State: found.String(), Duration: age,
	})
}
