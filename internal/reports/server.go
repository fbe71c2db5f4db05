package reports

import (
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Path is the HTTP path at which an instance streams its reports.
const Path = "/loads"

const (
	instanceParam = "instance"
	relationParam = "relation" // of the publisher to the subscriber
	// writeTimeout bounds the write of one report.
	writeTimeout = time.Second
)

// ServeHTTP streams reports to a subscriber until the request is cancelled or a
// write fails. It does not check authorisation; callers must have been authorised
// before.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance := r.FormValue(instanceParam)
	relation, ok := Relation(r.FormValue(relationParam)).inverse()
	if instance == "" || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := h.subscribe(instance, relation)
	defer h.unsubscribe(s)
	control := http.NewResponseController(w)
	reports := cbor.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.wake:
		}
		report, ok := h.nextReport(s)
		if !ok {
			continue
		}
		if control.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || reports.Encode(report) != nil || control.Flush() != nil {
			return // the subscriber disconnected or does not read
		}
	}
}
