package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// reports caches the newest load report for Options.ReportLag.
type reports struct {
	mu     sync.Mutex
	last   engineapi.LoadReport
	at     time.Time
	tokens int64
}

func (r *reports) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.at, r.tokens = engineapi.LoadReport{}, time.Time{}, 0
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if err := e.Delay(r.Context(), 0); err != nil {
		return
	}
	e.writeJSON(w, http.StatusOK, e.loadReport(time.Now()))
}

func (e *Engine) loadReport(now time.Time) engineapi.LoadReport {
	e.reports.mu.Lock()
	defer e.reports.mu.Unlock()
	age := now.Sub(e.reports.at)
	if !e.reports.at.IsZero() && age < e.options.ReportLag {
		return e.reports.last
	}
	tokens := e.tokens.Load()
	rate := 0.0
	if !e.reports.at.IsZero() && age > 0 {
		rate = float64(tokens-e.reports.tokens) / age.Seconds()
	}
	waiting := e.slots.waiting()
	e.reports.last = engineapi.LoadReport{
		Epoch:         e.Epoch(),
		Running:       max(0, e.InFlight()-waiting),
		Waiting:       waiting,
		CacheUse:      e.cache.use(),
		TokensPerSec:  rate,
		UnixMillis:    now.UnixMilli(),
		ColdRemaining: e.cold.remaining(),
	}
	e.reports.at = now
	e.reports.tokens = tokens
	return e.reports.last
}
