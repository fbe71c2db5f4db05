package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/httphead"
)

// routerPrefix is the prefix of header fields exchanged between the router and
// backend servers. Such fields are removed from callers' requests.
const routerPrefix = "Hawthornwick-"

// forwardHeader returns the fields of a caller's request that a backend server
// may see.
func forwardHeader(caller http.Header) http.Header {
	h := caller.Clone()
	if h == nil {
		h = make(http.Header)
	}
	StripKeys(h, nil)
	httphead.RemoveHopByHop(h)
	delete(h, "Content-Length")
	delete(h, "Expect")
	delete(h, "Accept-Encoding") // the router parses answers, so they must not be compressed
	for name := range h {
		if strings.HasPrefix(name, routerPrefix) {
			delete(h, name)
		}
	}
	return h
}

// setAttemptHeaders adds the router's own fields for the backend server.
func (a *attempt) setAttemptHeaders(h http.Header, now time.Time) {
	r := a.x.call.Request
	h.Set(engineapi.AttemptHeader, a.id)
	if r.Class != nil {
		h.Set(engineapi.PriorityHeader, strconv.Itoa(r.Class.Tier))
	}
	if !r.Deadline.IsZero() {
		h.Set(engineapi.DeadlineHeader, strconv.FormatInt(r.Deadline.Sub(now).Milliseconds(), 10))
	}
	if r.Record != "" {
		h.Set(engineapi.RecordHeader, r.Record)
	}
	if r.Plain {
		return
	}
	h.Set(engineapi.GenerationHeader, r.ID)
	h.Del("Idempotency-Key")
	if a.resumeAfter > 0 {
		h.Set(engineapi.ResumeHeader, strconv.Itoa(a.resumeAfter))
	}
}

// copyAnswerHeader copies a backend server's header fields to the caller's
// answer, without hop-by-hop and router fields.
func copyAnswerHeader(to, from http.Header) {
	from = from.Clone()
	httphead.RemoveHopByHop(from)
	for name, values := range from {
		if strings.HasPrefix(name, routerPrefix) {
			continue
		}
		to[name] = values
	}
}
