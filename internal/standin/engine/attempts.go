package engine

import (
	"net/http"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// attempts tracks the running attempts for cancellation, and the id of the newest
// attempt for responses that carry the id of another attempt as an injected fault.
type attempts struct {
	mu      sync.Mutex
	newest  string
	running map[string]func()
}

// begin registers a running attempt and returns the id of the attempt registered
// before it.
func (a *attempts) begin(id string, cancel func()) (previous string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[string]func())
	}
	a.running[id] = cancel
	previous = a.newest
	a.newest = id
	return previous
}

func (a *attempts) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, id)
}

func (a *attempts) cancel(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	cancel, ok := a.running[id]
	if ok {
		cancel()
	}
	return ok
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.attempts.cancel(r.URL.Query().Get("attempt")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *attempts) isRunning(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.running[id]
	return ok
}

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if err := e.Delay(r.Context(), 0); err != nil {
		return
	}
	running := e.attempts.isRunning(r.URL.Query().Get("attempt"))
	e.writeJSON(w, http.StatusOK, engineapi.AttemptStatus{Running: running})
}
