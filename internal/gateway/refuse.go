package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// defaultRetryAfter is sent in Retry-After when the error states no delay.
const defaultRetryAfter = 300 * time.Millisecond

// newRefusal returns the refusal of a request that was sent to no backend server.
func newRefusal(code result.Code, format string, args ...any) *result.Error {
	var gate result.Gate
	return gate.Refuse(code, format, args...)
}

// statusOf returns the HTTP status of a refusal or failure. The statuses 408, 429
// and 503 promise that the request has not run.
func statusOf(e *result.Error) int {
	status := e.Code.HTTPStatus()
	if !e.NotRun() {
		if e.Code == result.AttemptTimeout || e.Code == result.DeadlineHopeless {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return status
	}
	return http.StatusServiceUnavailable
}

// refusalBody is the JSON form of a refusal or failure.
type refusalBody struct {
	Code    int    `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	NotRun  bool   `json:"not_run"`
}

// refuse answers the request with a refusal or failure of the router's own. If part
// of an answer was relayed already, it aborts the connection, so that the caller
// sees a truncated answer.
func (x *exchange) refuse(e *result.Error) {
	x.gateway.counters.ended(x, e)
	kind := timeline.RequestFailed
	if e.NotRun() {
		kind = timeline.RequestRefused
	}
	x.record(timeline.Event{
		Kind: kind, Code: e.Code, NotRun: e.NotRun(), Detail: e.Message,
		Duration: time.Since(x.receivedAt), Count: x.events,
	})
	if x.responseStarted || e.Code == result.CallerGone {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(map[string]refusalBody{"error": {
		Code: int(e.Code), Type: e.Code.String(), Message: e.Message, NotRun: e.NotRun(),
	}})
	if err != nil {
		panic(err) // not reached: strings and numbers can always be encoded
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.NotRun() && (e.Code.SendsRetryAfter() || e.RetryAfter > 0) {
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	x.w.WriteHeader(statusOf(e))
	_, _ = x.w.Write(body)
}

// retryAfter formats a delay as seconds with three decimals.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
