package fanout

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// maxPollWait bounds how long a long poll is held.
const maxPollWait = 5 * time.Second

// maxEntryBytes bounds the body of a write.
const maxEntryBytes = 64 << 10

// Server serves this instance's tables to other instances. All fields are required.
type Server struct {
	// Token authorizes calls.
	Token string
	// ReadsStore reports whether this instance reads the store directly now.
	ReadsStore func() bool
	// StoreClock returns the store's steady clock; false while it is unknown.
	StoreClock func() (time.Duration, bool)
	// Tables and Writers are the caches and writers by table name.
	Tables  map[string]*Cache
	Writers map[string]*Writer
}

// Handler returns the handler for GET and POST /tables/{table}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tables/{table}", s.requireAccess(s.changes))
	mux.HandleFunc("POST /tables/{table}", s.requireAccess(s.write))
	return mux
}

// requireAccess rejects calls without the token, and all calls while this instance
// itself follows another one.
func (s *Server) requireAccess(h http.HandlerFunc) http.HandlerFunc {
	return RequireToken(s.Token, func(w http.ResponseWriter, r *http.Request) {
		if !s.ReadsStore() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h(w, r)
	})
}

// RequireToken answers 401 to calls that do not carry the token.
func RequireToken(token string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(bearer(token))) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		h(w, r)
	}
}

// changes returns the rows of a table changed after a version.
func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	cache := s.Tables[r.PathValue("table")]
	since, errSince := strconv.ParseUint(r.FormValue("since"), 10, 64)
	wait, errWait := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if cache == nil || errSince != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writeChanges(r.Context(), w, cache, since, min(time.Duration(wait)*time.Millisecond, maxPollWait))
}

// write writes one row of a table. A failed check is part of the response, not an error
// status.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	writer := s.Writers[r.PathValue("table")]
	var e Entry
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err == nil {
		err = cbor.Unmarshal(data, &e)
	}
	if writer == nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, err := writer.Write(r.Context(), e)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeCBOR(w, wireResult{Version: conflict.Current, Conflict: true})
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeCBOR(w, wireResult{Version: version})
	}
}

func (s *Server) writeChanges(ctx context.Context, w http.ResponseWriter, cache *Cache, since uint64, wait time.Duration) {
	page, err := cache.Changes(ctx, since, wait)
	clock, known := s.StoreClock()
	switch {
	case errors.Is(err, tablefeed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
		return
	case errors.Is(err, errRestoredSince):
		w.WriteHeader(http.StatusConflict)
		return
	case err != nil || !known:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !s.ReadsStore():
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	page.Clock = clock
	writeCBOR(w, toWire(page))
}

func writeCBOR(w http.ResponseWriter, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the types encode without error
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}

func bearer(token string) string { return "Bearer " + token }
