package entry

import (
	"maps"
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/ledger"
)

// heldAnswerBytes is the largest answer that is held back until it is stored.
const heldAnswerBytes = 8 << 20

// heldAnswer keeps an answer back until its idempotency record holds it, so
// that whatever the caller receives of it can be had again. An answer over the
// limit is passed on unstored.
type heldAnswer struct {
	w      http.ResponseWriter
	header http.Header
	limit  int
	status int
	body   []byte
	passed bool // bytes go straight to the caller
}

func newHeldAnswer(w http.ResponseWriter, limit int) *heldAnswer {
	return &heldAnswer{w: w, header: make(http.Header), limit: limit}
}

// Header implements http.ResponseWriter.
func (h *heldAnswer) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldAnswer) WriteHeader(status int) {
	if h.status == 0 {
		h.status = status
	}
}

// Write implements http.ResponseWriter.
func (h *heldAnswer) Write(p []byte) (int, error) {
	h.WriteHeader(http.StatusOK)
	if h.passed {
		return h.w.Write(p)
	}
	h.body = append(h.body, p...)
	if len(h.body) > h.limit {
		h.release()
	}
	return len(p), nil
}

// FlushError has nothing to flush while the answer is held.
func (h *heldAnswer) FlushError() error {
	if !h.passed {
		return nil
	}
	return http.NewResponseController(h.w).Flush()
}

// answer returns what was held; false when it was passed on or never began.
func (h *heldAnswer) answer() (ledger.Answer, bool) {
	if h.passed || h.status == 0 {
		return ledger.Answer{}, false
	}
	return ledger.Answer{Status: h.status, Header: h.header.Clone(), Body: h.body}, true
}

// release passes the held answer on.
func (h *heldAnswer) release() {
	if h.passed || h.status == 0 {
		return
	}
	h.passed = true
	maps.Copy(h.w.Header(), h.header)
	h.w.WriteHeader(h.status)
	_, _ = h.w.Write(h.body)
	h.body = nil
}
