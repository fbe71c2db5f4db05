package ledger

import (
	"bytes"
	"net/http"
	"strconv"
)

// ReplayedHeader marks an answer that was stored earlier.
const ReplayedHeader = "Hawthornwick-Replayed"

// keptHeaders are the fields stored with an answer.
var keptHeaders = []string{
	"Content-Type", "Content-Language", "Content-Encoding", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control",
}

// Answer is what a caller was given, as far as it is stored.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Give writes a stored answer to a caller.
func (a *Answer) Give(w http.ResponseWriter) error {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(ReplayedHeader, "true")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}

// storedAnswer is an answer inside a record. A body in the object store leaves
// Body empty.
type storedAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	Object string      `cbor:"4,keyasint,omitempty"`
}

// Capture is an http.ResponseWriter that passes an answer on and keeps a copy
// for the ledger.
type Capture struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   int
	status  int
	header  http.Header
	body    bytes.Buffer
	over    bool
}

// NewCapture returns a Capture that keeps up to the ledger's largest answer.
func (l *Ledger) NewCapture(w http.ResponseWriter) *Capture {
	return &Capture{ResponseWriter: w, control: http.NewResponseController(w), limit: l.options.MaxAnswerBytes}
}

// WriteHeader implements http.ResponseWriter.
func (c *Capture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
		c.header = keepHeaders(c.Header())
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *Capture) Write(p []byte) (int, error) {
	if c.status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	if c.body.Len()+len(p) > c.limit {
		c.over = true
	} else {
		c.body.Write(p)
	}
	return c.ResponseWriter.Write(p)
}

// FlushError passes a flush on.
func (c *Capture) FlushError() error { return c.control.Flush() }

// Unwrap gives http.ResponseController the underlying writer.
func (c *Capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Answer returns the copy; false when none began or it exceeds the limit.
func (c *Capture) Answer() (Answer, bool) {
	if c.status == 0 || c.over {
		return Answer{}, false
	}
	return Answer{Status: c.status, Header: c.header, Body: c.body.Bytes()}, true
}

func keepHeaders(h http.Header) http.Header {
	kept := make(http.Header)
	for _, name := range keptHeaders {
		if values := h.Values(name); len(values) > 0 {
			kept[name] = append([]string(nil), values...)
		}
	}
	return kept
}
