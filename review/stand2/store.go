package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of one answer of the store.
const (
	maxPageRows = 500
	maxPoll     = 30 * time.Second
)

// row is one row of the store. Data is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data"`
	Version uint64 `json:"schema_version"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// page is the body of every answer of the store.
type page struct {
	Rows      []row   `json:"rows"`
	HasMore   bool    `json:"has_more"`
	Version   uint64  `json:"schema_version"`
	CurrentMS float64 `json:"current_ms"`
}

// store is the platform's metadata store, without objects. It keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string]row // by name; removed rows stay as marks
	version uint64
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

// put writes a row of a table that only the operator or the servers write.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode the row %s/%s: %w", table, key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Data: data, Version: s.version})
	s.wake()
	return nil
}

// drop removes a row of such a table.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.wake()
}

func (s *store) set(r row) { s.rows[r.name()] = r }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /-/rows-get":
		s.serveGet(w, r)
	case "GET /-/rows-feed":
		s.serveFeed(w, r)
	case "POST /-/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// newPage returns an answer. The caller holds mu.
func (s *store) newPage(rows []row) page {
	if rows == nil {
		rows = []row{}
	}
	return page{Rows: rows, Version: s.version, CurrentMS: float64(time.Since(s.began)) / float64(time.Millisecond)}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("max_items")); err == nil && n > 0 {
		limit = min(n, maxPageRows)
	}
	from, to := q.Get("source"), q.Get("to")
	s.mu.Lock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Removed && x.Key >= from && (to == "" || x.Key < to) {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	p := s.newPage(found[:min(len(found), limit)])
	s.mu.Unlock()
	p.HasMore = more
	writeJSON(w, http.StatusOK, p)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_timeout_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxPoll))
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var found []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > since {
				found = append(found, x)
			}
		}
		slices.SortFunc(found, func(a, b row) int { return int(a.Version) - int(b.Version) })
		p, changed := s.newPage(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 || over || wait == 0 {
			writeJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expect, Write, Drop []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, x := range tx.Expect {
		now := s.rows[x.name()]
		if now.Removed {
			now = row{}
		}
		if now.Version != x.Version {
			holds = false
		}
		if now.Version != 0 {
			current = append(current, now)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, s.newPage(current))
		return
	}
	s.version++
	for _, x := range tx.Write {
		x.Version, x.Removed = s.version, false
		s.set(x)
	}
	for _, x := range tx.Drop {
		s.set(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Removed: true})
	}
	s.wake()
	writeJSON(w, http.StatusOK, s.newPage(nil))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has closed the connection
}
