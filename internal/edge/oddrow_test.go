package edge

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// TestOddServerRowHidesNoOther guards against instances that stop following the servers'
// table after an entry of another writer.
func TestOddServerRowHidesNoOther(t *testing.T) {
	is := is.New(t)
	w := newTestPlatform(t)
	w.store.Put("servers", "0-odd", []byte("{"))
	w.addServer("a", 0)
	r := w.startReady("one")
	r.expect("1", "key", http.StatusOK)
	w.store.Put("servers", "z-odd", []byte("[["))
	w.store.Put("servers", "0-odd", []byte("}"))
	w.addServer("b", 0)
	eventually(t, 6*time.Second, "the new server is known", func() bool { return r.knows("b") })
	w.store.Delete("servers", "a")
	eventually(t, 6*time.Second, "the old server is gone", func() bool { return !r.knows("a") })
	r.expect("2", "key", http.StatusOK)
	w.store.Compact()
	w.store.Put("servers", "0-odd", []byte("{{"))
	time.Sleep(time.Second)
	unreadable := map[string]int{}
	for _, e := range r.events() {
		if e.Kind == timeline.ServerState && e.State == stateUnreadable {
			unreadable[e.Server]++
		}
	}
	is.Equal(unreadable, map[string]int{"0-odd": 1, "z-odd": 1})
}

// TestServerStartInFutureHidesNoTrueEntry guards against an odd entry after which the true
// entries of its id seem old.
func TestServerStartInFutureHidesNoTrueEntry(t *testing.T) {
	w := newTestPlatform(t)
	l := w.addLeavingServer("a")
	truth := l.entry
	l.entry.StartedMillis = time.Now().Add(48 * time.Hour).UnixMilli()
	w.putServer(l.entry)
	r := w.startReady("one")
	r.expect("1", "key", http.StatusServiceUnavailable)
	w.putServer(truth)
	eventually(t, 6*time.Second, "a request to the server", func() bool {
		status, _, err := r.call(newClient(t), "2", "key")
		return err == nil && status == http.StatusOK
	})
}

// TestGoneUnreadableServerIsForgotten guards against memory that grows with each id that
// was ever unreadable.
func TestGoneUnreadableServerIsForgotten(t *testing.T) {
	w := newTestPlatform(t)
	r := w.startReady("one")
	w.store.Put("servers", "odd", []byte("{"))
	eventually(t, 6*time.Second, "the entry is read", func() bool { return r.unreadable() == 1 })
	w.store.Delete("servers", "odd")
	eventually(t, 6*time.Second, "the entry is forgotten", func() bool { return r.unreadable() == 0 })
}

func (r *testInstance) unreadable() int {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return len(r.view.unreadable)
}

// knows reports whether the server is in the instance's directory.
func (r *testInstance) knows(id string) bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return slices.ContainsFunc(r.view.directory.Servers(), func(s directory.Server) bool { return s.ID == id })
}
