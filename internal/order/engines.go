package order

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
)

// loadTimeout bounds one read of an engine's load.
const loadTimeout = 2 * time.Second

// HTTPEngines implements Engines over the engines' HTTP API. It is safe for concurrent
// use.
type HTTPEngines struct {
	client *httpapi.Client
}

// NewHTTPEngines returns a client that calls engines in the name of an instance.
func NewHTTPEngines(instance string) *HTTPEngines {
	return &HTTPEngines{client: httpapi.New(httpapi.Options{
		Caller: instance, Timeout: engineTimeout, AcceptConflict: true,
	})}
}

// Order implements Engines.
func (e *HTTPEngines) Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderResult, error) {
	url := "http://" + address + engineapi.OrderPath
	return httpapi.Post[engineapi.Order, engineapi.OrderResult](ctx, e.client, url, o)
}

// Load implements Engines.
func (e *HTTPEngines) Load(ctx context.Context, address string) (engineapi.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return httpapi.Get[engineapi.LoadReport](ctx, e.client, "http://"+address+engineapi.LoadPath)
}

// Close closes idle connections.
func (e *HTTPEngines) Close() { e.client.Close() }
