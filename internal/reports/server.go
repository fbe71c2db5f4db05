package reports

import (
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Path is where an instance answers with its reports.
const Path = "/loads"

const (
	instanceField = "instance"
	roleField     = "role"
	// writeTimeout bounds the write of one report.
	writeTimeout = time.Second
)

// ServeHTTP answers with reports until the caller leaves. Callers must have been
// authorised.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, role := r.FormValue(instanceField), Role(r.FormValue(roleField))
	if instance == "" || role != Reader && role != Follower {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := h.subscribe(instance, role)
	defer h.unsubscribe(s)
	control := http.NewResponseController(w)
	reports := cbor.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.wake:
		}
		report, ok := h.report(s)
		if !ok {
			continue
		}
		if control.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || reports.Encode(report) != nil || control.Flush() != nil {
			return // the caller is gone, or reads nothing
		}
	}
}
