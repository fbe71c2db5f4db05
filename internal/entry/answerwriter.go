package entry

import (
	"net/http"
	"time"
)

// answerWriter sets a deadline for each write to a caller and records whether
// the answer has started. No deadline applies between a flush and the next
// write, because HTTP/2 would reset a stream that waits for the next token.
type answerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.started = true
	w.setWriteDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController to flush.
func (w *answerWriter) FlushError() error {
	w.started = true
	w.setWriteDeadline()
	err := w.control.Flush()
	w.clearWriteDeadline()
	return err
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// Unwrap returns the underlying writer to http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setWriteDeadline sets the deadline of the next writes, including those that
// the HTTP server makes after the handler returns. A zero timeout means no deadline.
func (w *answerWriter) setWriteDeadline() {
	if w.timeout > 0 {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// clearWriteDeadline removes the write deadline.
func (w *answerWriter) clearWriteDeadline() {
	if w.timeout > 0 {
		_ = w.control.SetWriteDeadline(time.Time{})
	}
}
