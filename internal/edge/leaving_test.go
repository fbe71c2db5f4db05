package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// leavingServer is a backend server whose answers state that it leaves once it does.
type leavingServer struct {
	leaves   atomic.Bool
	requests atomic.Int64
	entry    directory.Entry
}

// addLeavingServer starts a server and registers it.
func (w *testPlatform) addLeavingServer(id string) *leavingServer {
	w.t.Helper()
	l := &leavingServer{}
	server := httptest.NewServer(http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		l.requests.Add(1)
		a.Header().Set("Id", r.Header.Get("Id"))
		a.Header().Set("Signed", id)
		if l.leaves.Load() {
			a.Header().Set("Leaving", "1")
		}
		_, _ = io.WriteString(a, "done")
	}))
	w.t.Cleanup(server.Close)
	l.entry = directory.Entry{
		ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", Capacity: 64, StartedMillis: 1, Sequence: 5,
	}
	w.putServer(l.entry)
	return l
}

func (w *testPlatform) putServer(e directory.Entry) {
	w.t.Helper()
	data, err := json.Marshal(e)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("servers", e.ID, data)
}

// TestNoRequestReachesLeavingServer guards against requests to a server that has stated
// that it leaves, while its row is ready, out of reach, lapsed, or written before.
func TestNoRequestReachesLeavingServer(t *testing.T) {
	for name, change := range map[string]func(w *testPlatform, l *leavingServer){
		"ready row": func(w *testPlatform, l *leavingServer) {
			l.entry.Sequence++
			w.putServer(l.entry)
		},
		"store away": func(w *testPlatform, _ *leavingServer) { w.store.SetDown(true) },
		"row lapses": func(w *testPlatform, l *leavingServer) {
			w.store.Delete("servers", l.entry.ID)
			time.Sleep(time.Second)
			w.putServer(l.entry)
		},
		"older row after a lapse": func(w *testPlatform, l *leavingServer) {
			w.store.Delete("servers", l.entry.ID)
			time.Sleep(time.Second)
			l.entry.Sequence--
			w.putServer(l.entry)
		},
		"history gone": func(w *testPlatform, l *leavingServer) {
			w.store.Compact()
			l.entry.Sequence++
			w.putServer(l.entry)
		},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			t.Parallel()
			is := is.New(t)
			w := newTestPlatform(t)
			l := w.addLeavingServer("a")
			r := w.startReady("one")
			r.expect("1", "key", http.StatusOK)
			l.leaves.Store(true)
			r.expect("2", "key", http.StatusOK)
			change(w, l)
			client := newClient(t)
			for n := range 3 { // each of them waits for a server
				status, _, err := r.call(client, fmt.Sprint("later ", n), "key")
				is.NoErr(err)
				is.Equal(status, http.StatusServiceUnavailable)
			}
			is.Equal(l.requests.Load(), int64(2))
		})
	}
}
