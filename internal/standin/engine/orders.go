package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// orders carries out what the router asks of the engine.
type orders struct {
	mu     sync.Mutex
	fences bool
	seen   uint64 // highest fencing number
	model  string
	role   string
	done   []engineapi.Order
}

func newOrders(model string, fences bool) *orders {
	return &orders{model: model, fences: fences}
}

func (o *orders) servedModel() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.model
}

func (o *orders) apply(order engineapi.Order) engineapi.OrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fences && order.Token < o.seen {
		reason := fmt.Sprintf("fencing number %d is older than %d", order.Token, o.seen)
		return engineapi.OrderResult{ID: order.ID, Seen: o.seen, Reason: reason}
	}
	result := engineapi.OrderResult{ID: order.ID, Accepted: true}
	if o.fences {
		o.seen = order.Token
		result.Seen = o.seen
	}
	switch order.Kind {
	case engineapi.LoadModel:
		o.model = order.Model
	case engineapi.SetRole:
		o.role = order.Role
	}
	o.done = append(o.done, order)
	return result
}

// Orders returns the orders that took effect, in order.
func (e *Engine) Orders() []engineapi.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]engineapi.Order(nil), e.orders.done...)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Delay(r.Context(), 0); err != nil {
		return
	}
	result := e.orders.apply(order)
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	e.writeJSON(w, status, result)
}
