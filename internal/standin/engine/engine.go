package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/standin/fault"
)

// Engine is a running stand-in engine. Its embedded server injects faults. It is
// safe for concurrent use.
type Engine struct {
	*fault.Server
	options  Options
	slots    *slots
	cold     *cold
	cache    *cache
	orders   *orders
	reports  reports
	attempts attempts
	inFlight atomic.Int64
	tokens   atomic.Int64
}

// Start starts an engine. The caller must call Close.
func Start(o Options) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		slots:   newSlots(o.Slots),
		cold:    newCold(o.ColdLimit, o.Slots),
		cache:   newCache(o.CacheBlocks),
		orders:  newOrders(o.Model, o.Fences),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/completions", e.serveText)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET "+engineapi.LoadPath, e.serveLoad)
	mux.HandleFunc("GET "+engineapi.CacheEventsPath, e.serveCacheEvents)
	mux.HandleFunc("POST "+engineapi.OrderPath, e.serveOrder)
	mux.HandleFunc("POST "+engineapi.CancelPath, e.serveCancel)
	mux.HandleFunc("GET "+engineapi.AttemptPath, e.serveAttempt)
	server, err := fault.Serve(o.Address, mux)
	if err != nil {
		return nil, err
	}
	e.Server = server
	e.recordColdLimit()
	return e, nil
}

// Name returns the backend server's name.
func (e *Engine) Name() string { return e.options.Name }

// Zone returns the availability zone.
func (e *Engine) Zone() string { return e.options.Zone }

// Model returns the name of the model that the engine currently serves.
func (e *Engine) Model() string { return e.orders.servedModel() }

// InFlight returns the number of requests in flight, waiting ones included.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Tokens returns the number of tokens generated since the start.
func (e *Engine) Tokens() int64 { return e.tokens.Load() }

// ColdViolations returns how often a request exceeded the limit of the cold engine.
func (e *Engine) ColdViolations() int { return e.cold.violationCount() }

// Crash simulates a crash and restart: it empties the cache, resets every
// connection, increments the epoch, forgets its last load report and makes the engine
// cold again if it has a cold limit.
func (e *Engine) Crash() {
	e.cache.clear()
	e.cold.restart()
	e.Restart()
	e.reports.clear()
	e.recordColdLimit()
}

func (e *Engine) setEpoch(h http.Header) {
	h.Set(engineapi.EpochHeader, strconv.FormatUint(e.Epoch(), 10))
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	type list struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
	e.writeJSON(w, http.StatusOK, list{Object: "list", Data: []model{{ID: e.Model(), Object: "model"}}})
}

func (e *Engine) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.setEpoch(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
