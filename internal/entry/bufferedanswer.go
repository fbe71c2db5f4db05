package entry

import (
	"maps"
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/ledger"
)

// maxBufferedAnswerBytes is the size above which an answer is forwarded unstored.
const maxBufferedAnswerBytes = 8 << 20

// bufferedAnswer buffers an answer until its idempotency record stores it, so that
// a retry can return everything that the caller received. An answer over the
// limit is forwarded without being stored.
type bufferedAnswer struct {
	w           http.ResponseWriter
	header      http.Header
	limit       int
	status      int
	body        []byte
	passThrough bool // writes go directly to the caller
}

func newBufferedAnswer(w http.ResponseWriter, limit int) *bufferedAnswer {
	return &bufferedAnswer{w: w, header: make(http.Header), limit: limit}
}

// Header implements http.ResponseWriter.
func (h *bufferedAnswer) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *bufferedAnswer) WriteHeader(status int) {
	if h.status == 0 {
		h.status = status
	}
}

// Write implements http.ResponseWriter.
func (h *bufferedAnswer) Write(p []byte) (int, error) {
	h.WriteHeader(http.StatusOK)
	if h.passThrough {
		return h.w.Write(p)
	}
	h.body = append(h.body, p...)
	if len(h.body) > h.limit {
		h.forward()
	}
	return len(p), nil
}

// FlushError flushes to the caller. It does nothing while the answer is buffered.
func (h *bufferedAnswer) FlushError() error {
	if !h.passThrough {
		return nil
	}
	return http.NewResponseController(h.w).Flush()
}

// answer returns the buffered answer. It returns false if the answer was
// forwarded or never started.
func (h *bufferedAnswer) answer() (ledger.Answer, bool) {
	if h.passThrough || h.status == 0 {
		return ledger.Answer{}, false
	}
	return ledger.Answer{Status: h.status, Header: h.header.Clone(), Body: h.body}, true
}

// forward sends the buffered answer to the caller; later writes go there directly.
func (h *bufferedAnswer) forward() {
	if h.passThrough || h.status == 0 {
		return
	}
	h.passThrough = true
	maps.Copy(h.w.Header(), h.header)
	h.w.WriteHeader(h.status)
	_, _ = h.w.Write(h.body)
	h.body = nil
}
