package entry

import (
	"net/http"
	"time"
)

// answerWriter bounds each write to a caller and remembers whether the answer
// has begun.
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
	return w.control.Flush()
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// Unwrap gives http.ResponseController the underlying writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) extend() {
	if w.timeout > 0 {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}
