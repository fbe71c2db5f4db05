package fanout

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// mostWait bounds how long a call is kept waiting.
const mostWait = 5 * time.Second

// Server answers other instances from the caches of a source.
type Server struct {
	// Token authorises calls.
	Token string
	// Serves reports whether this instance is a source now.
	Serves func() bool
	// StoreClock is the store's steady clock now; false while it is unknown.
	StoreClock func() (time.Duration, bool)
	// Tables are the caches by name.
	Tables map[string]*Cache
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cache := s.Tables[r.PathValue("table")]
	since, errSince := strconv.ParseUint(r.FormValue("since"), 10, 64)
	wait, errWait := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	switch {
	case subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(bearer(s.Token))) != 1:
		w.WriteHeader(http.StatusUnauthorized)
	case cache == nil || errSince != nil || errWait != nil:
		w.WriteHeader(http.StatusBadRequest)
	case !s.Serves():
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		s.serve(r.Context(), w, cache, since, min(time.Duration(wait)*time.Millisecond, mostWait))
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
	case !s.Serves():
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	page.Clock = clock
	data, err := cbor.Marshal(toWire(page))
	if err != nil {
		panic(err) // numbers, texts and bytes always have a form
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}

func bearer(token string) string { return "Bearer " + token }
