package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	platformapi "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/store"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// row is a row in the bodies of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"schema_version"`
	Removed bool   `json:"removed,omitempty"`
}

// page is the body of the store's responses.
type page struct {
	Rows      []row   `json:"rows"`
	HasMore   bool    `json:"has_more"`
	Version   uint64  `json:"schema_version"`
	CurrentMS float64 `json:"current_ms"`
}

// order is one call of the provider.
type order struct {
	at      time.Time
	holder  string
	token   uint64
	subject string
	detail  string
}

// platform is a stand-in for the users' platform: its store and its provider.
type platform struct {
	rows     *store.Store
	record   *recorder
	start    time.Time
	store    net.Listener
	provider net.Listener

	mu     sync.Mutex
	orders []order
	// preemptibleOut makes the provider answer 409 to orders of preemptible servers, since
	// none are to be had.
	preemptibleOut bool
	// scale, if set, is called with each order that is accepted.
	scale func(zone string, preemptible bool, count int)
}

// setPreemptibleOut begins or ends the time in which no preemptible servers are to be had.
func (p *platform) setPreemptibleOut(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preemptibleOut = out
}

func newPlatform(record *recorder) (*platform, error) {
	p := &platform{rows: store.New(), record: record, start: time.Now()}
	var err error
	if p.store, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if p.provider, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", p.rowsGet)
	mux.HandleFunc("GET /-/rows-feed", p.rowsFeed)
	mux.HandleFunc("POST /-/rows-tx", p.rowsTx)
	go func() { _ = http.Serve(p.store, mux) }()
	go func() { _ = http.Serve(p.provider, http.HandlerFunc(p.serveProvider)) }()
	return p, nil
}

// put writes a row as the operator or a server does.
func (p *platform) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain values always have a JSON form
	}
	p.rows.Put(table, key, data)
}

func (p *platform) rowsGet(w http.ResponseWriter, r *http.Request) {
	read, err := p.rows.Feed(r.FormValue("table")).Read(r.Context(), "")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	limit, err := strconv.Atoi(r.FormValue("max_items"))
	if err != nil || limit > 500 {
		limit = 500
	}
	from, to := r.FormValue("source"), r.FormValue("to")
	var selected []tablefeed.Row
	for _, found := range read.Rows {
		if found.Key >= from && (to == "" || found.Key < to) {
			selected = append(selected, found)
		}
	}
	more := len(selected) > limit
	p.write(w, http.StatusOK, read.Version, more, selected[:min(limit, len(selected))])
}

func (p *platform) rowsFeed(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.FormValue("since_revision"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_timeout_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changed, err := p.rows.Feed(r.FormValue("table")).Changes(r.Context(), since, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, tablefeed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		p.write(w, http.StatusOK, changed.Version, false, changed.Rows)
	}
}

func (p *platform) rowsTx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expect, Write, Drop []row }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expect)+len(body.Write)+len(body.Drop) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := append(append(append([]row{}, body.Expect...), body.Write...), body.Drop...)
	if len(all) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range all {
		if e.Table == "op" || e.Table == "servers" || e.Table != all[0].Table || e.Part != "" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var txn platformapi.Txn
	for _, e := range body.Expect {
		txn.Checks = append(txn.Checks, platformapi.Check{Key: e.Key, Version: e.Version})
	}
	for _, e := range body.Write {
		txn.Writes = append(txn.Writes, platformapi.Write{Key: e.Key, Value: e.Data})
	}
	for _, e := range body.Drop {
		txn.Writes = append(txn.Writes, platformapi.Write{Key: e.Key, Delete: true})
	}
	table := p.rows.Table(all[0].Table)
	versions, err := table.Commit(r.Context(), txn)
	var conflict *platformapi.ConflictError
	switch {
	case errors.As(err, &conflict):
		var keys []string
		for _, e := range body.Expect {
			keys = append(keys, e.Key)
		}
		current, _ := table.Get(r.Context(), keys...)
		var rows []tablefeed.Row
		for _, c := range current {
			rows = append(rows, tablefeed.Row{Key: c.Key, Value: c.Value, Version: c.Version, Removed: c.Version == 0})
		}
		p.write(w, http.StatusPreconditionFailed, 0, false, rows)
	case err != nil:
		panic(http.ErrAbortHandler)
	case len(versions) == 0:
		p.write(w, http.StatusOK, 0, false, nil)
	default:
		p.write(w, http.StatusOK, versions[0], false, nil)
	}
}

func (p *platform) write(w http.ResponseWriter, status int, version uint64, more bool, rows []tablefeed.Row) {
	body := page{Rows: []row{}, HasMore: more, Version: version, CurrentMS: float64(time.Since(p.start)) / float64(time.Millisecond)}
	for _, found := range rows {
		body.Rows = append(body.Rows, row{Key: found.Key, Data: found.Value, Version: found.Version, Removed: found.Removed})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// scaleOrder is the body of an order of servers.
type scaleOrder struct {
	Backend     string `json:"backend"`
	Zone        string `json:"zone"`
	Preemptible bool   `json:"preemptible"`
	Count       int    `json:"desired_count"`
}

// serveProvider handles usage reports and orders of servers.
func (p *platform) serveProvider(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	data, err := io.ReadAll(r.Body)
	token, err2 := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{at: at, holder: r.Header.Get("X-Lease-Holder"), token: token, subject: "usage", detail: strings.TrimSpace(string(data))}
	status := http.StatusOK
	if r.URL.Path == "/scale" {
		var body scaleOrder
		if json.Unmarshal(data, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		o.subject = "scale " + body.Backend + " " + body.Zone
		status = p.accept(body)
	}
	p.mu.Lock()
	p.orders = append(p.orders, o)
	p.mu.Unlock()
	p.record.printf("provider: %s from %s token %d: %s -> %d", o.subject, o.holder, o.token, o.detail, status)
	w.WriteHeader(status)
}

// accept handles an order and returns the status of its answer.
func (p *platform) accept(o scaleOrder) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Preemptible && p.preemptibleOut {
		return http.StatusConflict
	}
	if p.scale != nil {
		p.scale(o.Zone, o.Preemptible, o.Count)
	}
	return http.StatusOK
}

// taken returns the provider's calls so far.
func (p *platform) taken() []order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]order(nil), p.orders...)
}
