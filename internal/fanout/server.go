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

// mostWait bounds how long a call is kept waiting.
const mostWait = 5 * time.Second

// mostEntryBytes bounds the body of a call that writes.
const mostEntryBytes = 64 << 10

// Server answers other instances on behalf of a source.
type Server struct {
	// Token authorises calls.
	Token string
	// Reads reports whether this instance reads the store itself now.
	Reads func() bool
	// StoreClock is the store's steady clock now; false while it is unknown.
	StoreClock func() (time.Duration, bool)
	// Tables are the caches, and Writers the writers, by name of the table.
	Tables  map[string]*Cache
	Writers map[string]*Writer
}

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tables/{table}", s.guard(s.changes))
	mux.HandleFunc("POST /tables/{table}", s.guard(s.write))
	return mux
}

// guard turns away calls without the token, and all while others are followed.
func (s *Server) guard(h http.HandlerFunc) http.HandlerFunc {
	return RequireToken(s.Token, func(w http.ResponseWriter, r *http.Request) {
		if !s.Reads() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h(w, r)
	})
}

// RequireToken turns away calls that do not bear the token.
func RequireToken(token string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(bearer(token))) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		h(w, r)
	}
}

// changes answers with the rows of a table changed after a version.
func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	cache := s.Tables[r.PathValue("table")]
	since, errSince := strconv.ParseUint(r.FormValue("since"), 10, 64)
	wait, errWait := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if cache == nil || errSince != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.serve(r.Context(), w, cache, since, min(time.Duration(wait)*time.Millisecond, mostWait))
}

// write writes one row of a table.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	writer := s.Writers[r.PathValue("table")]
	var e Entry
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostEntryBytes))
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
		answer(w, wireWritten{Version: conflict.Current, Conflict: true})
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		answer(w, wireWritten{Version: version})
	}
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, cache *Cache, since uint64, wait time.Duration) {
	page, err := cache.Changes(ctx, since, wait)
	clock, heard := s.StoreClock()
	switch {
	case errors.Is(err, tablefeed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil || !heard:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !s.Reads():
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	page.Clock = clock
	answer(w, toWire(page))
}

func answer(w http.ResponseWriter, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err) // numbers, texts and bytes always have a form
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}

func bearer(token string) string { return "Bearer " + token }
