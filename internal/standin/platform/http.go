package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/platform/httpapi"
)

const maxQueryBytes = 16 << 20

// Handler returns a handler that serves the stand-in to clients of package
// httpapi.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(p, mux, httpapi.TableGetPath, func(ctx context.Context, c *Caller, q httpapi.KeysRequest) (httpapi.RowsAnswer, error) {
		rows, err := c.Table().Get(ctx, q.Keys...)
		return httpapi.RowsAnswer{Rows: rows}, err
	})
	handle(p, mux, httpapi.TableListPath, func(ctx context.Context, c *Caller, q httpapi.ListRequest) (httpapi.RowsAnswer, error) {
		rows, err := c.Table().List(ctx, q.Prefix, q.After, q.Limit)
		return httpapi.RowsAnswer{Rows: rows}, err
	})
	handle(p, mux, httpapi.TableCommitPath, func(ctx context.Context, c *Caller, q api.Txn) (httpapi.CommitAnswer, error) {
		versions, err := c.Table().Commit(ctx, q)
		return httpapi.CommitAnswer{Versions: versions}, err
	})
	p.handleObjects(mux)
	p.handleServers(mux)
	handle(p, mux, httpapi.UsageReportPath, func(ctx context.Context, c *Caller, q api.UsageReport) (httpapi.Empty, error) {
		return httpapi.Empty{}, c.Usage().Report(ctx, q)
	})
	handle(p, mux, httpapi.InstanceListPath, func(ctx context.Context, c *Caller, _ httpapi.Empty) (httpapi.InstancesAnswer, error) {
		list, err := c.Instances().List(ctx)
		return httpapi.InstancesAnswer{Instances: list}, err
	})
	handle(p, mux, httpapi.RegisterPath, func(ctx context.Context, c *Caller, q api.Instance) (httpapi.Empty, error) {
		return httpapi.Empty{}, c.Register(ctx, q)
	})
	return mux
}

func (p *Platform) handleObjects(mux *http.ServeMux) {
	handle(p, mux, httpapi.ObjectPutPath, func(ctx context.Context, c *Caller, q httpapi.ObjectRequest) (httpapi.Empty, error) {
		return httpapi.Empty{}, c.Objects().Put(ctx, q.Name, q.Data)
	})
	handle(p, mux, httpapi.ObjectGetPath, func(ctx context.Context, c *Caller, q httpapi.ObjectRequest) (httpapi.ObjectAnswer, error) {
		data, err := c.Objects().Get(ctx, q.Name)
		return httpapi.ObjectAnswer{Data: data}, err
	})
	handle(p, mux, httpapi.ObjectListPath, func(ctx context.Context, c *Caller, q httpapi.ObjectRequest) (httpapi.NamesAnswer, error) {
		names, err := c.Objects().List(ctx, q.Name)
		return httpapi.NamesAnswer{Names: names}, err
	})
	handle(p, mux, httpapi.ObjectDeletePath, func(ctx context.Context, c *Caller, q httpapi.ObjectRequest) (httpapi.Empty, error) {
		return httpapi.Empty{}, c.Objects().Delete(ctx, q.Name)
	})
}

func (p *Platform) handleServers(mux *http.ServeMux) {
	handle(p, mux, httpapi.ServerListPath, func(ctx context.Context, c *Caller, _ httpapi.Empty) (httpapi.ServersAnswer, error) {
		list, err := c.Servers().List(ctx)
		return httpapi.ServersAnswer{Servers: list}, err
	})
	handle(p, mux, httpapi.ServerPlacePath, func(ctx context.Context, c *Caller, q api.Order) (api.OrderOutcome, error) {
		return c.Servers().Place(ctx, q)
	})
	handle(p, mux, httpapi.ServerLookupPath, func(ctx context.Context, c *Caller, q httpapi.LookupRequest) (api.OrderOutcome, error) {
		return c.Servers().Lookup(ctx, q.ID)
	})
}

// handle registers the handler of one call. If the call fails with
// api.ErrUnavailable, the connection is closed without a response, as in an
// outage.
func handle[Q, A any](p *Platform, mux *http.ServeMux, path string, act func(context.Context, *Caller, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var query Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&query); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := act(r.Context(), p.Caller(r.Header.Get(httpapi.CallerHeader)), query)
		if errors.Is(err, api.ErrUnavailable) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(httpapi.EncodeError(err))
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}
