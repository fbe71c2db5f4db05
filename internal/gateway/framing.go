package gateway

import "net/http"

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

// framingOf returns what marks the end of an answer. An answer to a HEAD request ends with
// its head.
func framingOf(r *http.Response, method string) framing {
	switch {
	case r.ContentLength >= 0 || method == http.MethodHead:
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
