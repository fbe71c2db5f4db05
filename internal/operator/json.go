package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// maxBodyBytes leaves room for JSON escapes in a text of the maximum length.
const maxBodyBytes = 2 * yamlfault.MaxTextBytes

// refuse returns an error for an operator's request. It is always "not run",
// because no caller's request is involved.
func refuse(code result.Code, format string, args ...any) *result.Error {
	return new(result.Gate).Refuse(code, format, args...)
}

// readJSON decodes the body. If the body is invalid, it answers with an error and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, refuse(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit))
		return false
	}
	if err != nil {
		writeError(w, refuse(result.BadRequest, "body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// writeError answers with a numbered result. Faults of a configuration text become
// ConfigInvalid; any other error without a result code becomes Internal.
func writeError(w http.ResponseWriter, err error) {
	var e *result.Error
	if errors.As(err, &e) {
		writeResult(w, e, nil)
		return
	}
	if faults := faultsOf(err); faults != nil {
		writeResult(w, refuse(result.ConfigInvalid, "the text has %d faults", len(faults)), faults)
		return
	}
	writeResult(w, result.MayHaveRun(result.Internal, "%v", err), nil)
}

func writeResult(w http.ResponseWriter, e *result.Error, faults []config.Fault) {
	writeJSON(w, e.Code.HTTPStatus(), ErrorAnswer{ErrorBody{
		Code: e.Code, Type: e.Code.String(), Message: e.Message, NotRun: e.NotRun(), Faults: faults,
	}})
}

func faultsOf(err error) []config.Fault {
	var faults *config.FaultsError
	if !errors.As(err, &faults) {
		return nil
	}
	return faults.Faults
}

func (h *handler) timeline(w http.ResponseWriter, _ *http.Request) {
	events, dropped := h.Timeline.Snapshot()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(DroppedEventsHeader, strconv.FormatUint(dropped, 10))
	if err := timeline.WriteJSON(w, events); err != nil {
		h.Log.Debug("timeline not sent completely", "error", err)
	}
}
