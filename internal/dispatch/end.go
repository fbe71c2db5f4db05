package dispatch

import (
	"encoding/json"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// errorEvent is the event that ends a stream which can't be continued.
type errorEvent struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	NotRun  bool        `json:"not_run"`
}

// end settles a request that did not get its whole answer. A stream that had
// begun ends with an error event; any other answer that had begun is cut.
func (x *exchange) end(err *result.Error) {
	x.outcome.Err = err
	x.outcome.Usage = x.estimate()
	if !x.outcome.Started {
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
