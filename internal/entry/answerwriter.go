package entry

import (
	"net/http"
	"time"
)

// answerWriter bounds each write to a caller and remembers whether the answer
// has begun. Between a flush and the next write no deadline runs, because
// HTTP/2 would reset a stream that is merely waiting for the next token.
type answerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begun = true
	w.extend()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the flushing side of http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.begun = true
	w.extend()
	err := w.control.Flush()
	w.unlimit()
	return err
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// Unwrap gives http.ResponseController the underlying writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extend bounds the next writes, those of the HTTP server after the handler's
// end included.
func (w *answerWriter) extend() {
	if w.timeout > 0 {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// unlimit ends the bound.
func (w *answerWriter) unlimit() {
	if w.timeout > 0 {
		_ = w.control.SetWriteDeadline(time.Time{})
	}
}
