package ledger

import (
	"bytes"
	"net/http"
	"strconv"
)

// ReplayedHeader marks an answer that is replayed from the ledger.
const ReplayedHeader = "Hawthornwick-Replayed"

// storedHeaders are the header fields that are stored with an answer.
var storedHeaders = []string{
	"Content-Type", "Content-Language", "Content-Encoding", "Content-Disposition",
	"Location", "Etag", "Last-Modified", "Cache-Control",
}

// Answer is the stored part of an answer that a caller received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Replay writes a stored answer to a caller and marks it with ReplayedHeader.
func (a *Answer) Replay(w http.ResponseWriter) error {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(ReplayedHeader, "true")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}

// storedAnswer is an answer as encoded in a record. Body is empty if the body
// is in the object store.
type storedAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	Object string      `cbor:"4,keyasint,omitempty"` // name in the object store; empty if the body is inline
}

// Capture is an http.ResponseWriter that forwards an answer and keeps a copy
// for the ledger.
type Capture struct {
	http.ResponseWriter
	control   *http.ResponseController
	limit     int
	status    int
	header    http.Header
	body      bytes.Buffer
	overLimit bool
}

// NewCapture returns a Capture that keeps a body of up to
// Options.MaxAnswerBytes.
func (l *Ledger) NewCapture(w http.ResponseWriter) *Capture {
	return &Capture{ResponseWriter: w, control: http.NewResponseController(w), limit: l.options.MaxAnswerBytes}
}

// WriteHeader implements http.ResponseWriter.
func (c *Capture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
		c.header = copyStoredHeaders(c.Header())
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *Capture) Write(p []byte) (int, error) {
	if c.status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	if c.body.Len()+len(p) > c.limit {
		c.overLimit = true
	} else {
		c.body.Write(p)
	}
	return c.ResponseWriter.Write(p)
}

// FlushError flushes the underlying writer.
func (c *Capture) FlushError() error { return c.control.Flush() }

// Unwrap returns the underlying writer for http.ResponseController.
func (c *Capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Answer returns the copy. It returns false if no answer has started or the
// body exceeds the limit.
func (c *Capture) Answer() (Answer, bool) {
	if c.status == 0 || c.overLimit {
		return Answer{}, false
	}
	return Answer{Status: c.status, Header: c.header, Body: c.body.Bytes()}, true
}

func copyStoredHeaders(h http.Header) http.Header {
	kept := make(http.Header)
	for _, name := range storedHeaders {
		if values := h.Values(name); len(values) > 0 {
			kept[name] = append([]string(nil), values...)
		}
	}
	return kept
}
