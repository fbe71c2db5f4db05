package dispatch

import (
	"encoding/json"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// errorEvent is the last event of a stream that cannot be continued.
type errorEvent struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	NotRun  bool        `json:"not_run"`
}

// endWithError ends a request without a complete answer. A stream that has
// started ends with an error event. Any other answer that has started is
// aborted.
func (x *exchange) endWithError(err *result.Error) {
	x.outcome.Err = err
	x.outcome.Usage = x.estimateUsage()
	if !x.outcome.AnswerStarted {
		return
	}
	if x.call.Request.Plain || !x.model.stream {
		x.outcome.Abort = true
		return
	}
	event := errorEvent{Error: errorDetail{
		Code: err.Code, Type: err.Code.String(), Message: err.Message, NotRun: err.NotRun(),
	}}
	data, marshalErr := json.Marshal(event)
	if marshalErr != nil || x.writeEvent("", string(data)) != nil || x.flush() != nil {
		x.outcome.Abort = true
	}
}
