package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// errorBody is the JSON body of a refusal or failure: the OpenAI API's error
// object with additional fields of the router.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	NotRun  bool        `json:"not_run"`
	Request string      `json:"request"`
}

func newErrorBody(request string, e *result.Error) errorBody {
	return errorBody{Error: errorFields{
		Code:    e.Code,
		Type:    e.Code.String(),
		Message: e.Message,
		NotRun:  e.NotRun(),
		Request: request,
	}}
}

// writeResult answers with the error. The header must not have been written.
func writeResult(w http.ResponseWriter, request string, e *result.Error) {
	body, err := json.Marshal(newErrorBody(request, e))
	if err != nil {
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(ResultHeader, strconv.Itoa(int(e.Code)))
	h.Set(NotRunHeader, strconv.FormatBool(e.NotRun()))
	if e.RetryAfter > 0 {
		setRetryAfter(h, e.RetryAfter)
	}
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(body)
}
