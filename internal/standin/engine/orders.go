package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

// orders applies the router's orders to the engine.
type orders struct {
	mu           sync.Mutex
	fences       bool
	highestToken uint64
	model        string
	role         string
	applied      []engineapi.Order
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
	if o.fences && order.Token < o.highestToken {
		reason := fmt.Sprintf("fencing token %d is older than %d", order.Token, o.highestToken)
		return engineapi.OrderResult{ID: order.ID, Seen: o.highestToken, Reason: reason}
	}
	result := engineapi.OrderResult{ID: order.ID, Accepted: true}
	if o.fences {
		o.highestToken = order.Token
		result.Seen = o.highestToken
	}
	switch order.Kind {
	case engineapi.LoadModel:
		o.model = order.Model
	case engineapi.SetRole:
		o.role = order.Role
	}
	o.applied = append(o.applied, order)
	return result
}

// Orders returns the orders that took effect, oldest first.
func (e *Engine) Orders() []engineapi.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]engineapi.Order(nil), e.orders.applied...)
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
