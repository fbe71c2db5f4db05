package fanout

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/standin/store"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

func membersOf(zone string, n int) []Member {
	var members []Member
	for i := range n {
		name := fmt.Sprintf("%s-%d", zone, i)
		members = append(members, Member{Name: name, Zone: zone, Address: name + ":1", Token: "t-" + name, Cores: 0.2})
	}
	return members
}

// clock is a clock that tests advance.
type clock struct{ at atomic.Int64 }

func (c *clock) now() boottime.Instant { return boottime.Instant(c.at.Load()) }

func (c *clock) advance(d time.Duration) { c.at.Add(int64(d)) }

func newClock() *clock { c := &clock{}; c.advance(time.Hour); return c }

func row(key string, v uint64) tablefeed.Row { return tablefeed.Row{Key: key, Version: v} }

// fakeStore is the store's feed as one instance reaches it.
type fakeStore struct {
	waits []time.Duration
	err   error
}

func (s *fakeStore) Read(context.Context, string) (tablefeed.Page, error) {
	return tablefeed.Page{}, s.err
}

func (s *fakeStore) Changes(_ context.Context, _ uint64, wait time.Duration) (tablefeed.Page, error) {
	s.waits = append(s.waits, wait)
	return tablefeed.Page{Version: 77}, s.err
}

// pair is an instance that follows a source over loopback.
type pair struct {
	clock        *clock
	cache        *Cache
	server       *httptest.Server
	isSource     bool
	store        *fakeStore
	feed         *Feed
	rows         platform.Table // of the source
	backing      *store.Store   // as the follower reaches it
	table        *Table
	unresponsive atomic.Bool  // the source accepts calls and never answers
	pieceDelay   atomic.Int64 // between two pieces of an answer's body, in nanoseconds
}

// slowWriter writes a body in pieces with a delay after each.
type slowWriter struct {
	http.ResponseWriter
	delay time.Duration
	ctx   context.Context
}

const pieceBytes = 64 << 10

func (w slowWriter) Write(body []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(body, pieceBytes) {
		n, err := w.ResponseWriter.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		_ = wait.For(w.ctx, w.delay)
	}
	return written, nil
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{clock: newClock(), isSource: true, store: &fakeStore{}, backing: store.New()}
	p.rows = p.backing.Table("duties")
	p.cache = NewCache(p.clock.now)
	p.cache.Apply(tablefeed.Update{Full: true}, 5, p.clock.now())
	server := &Server{
		Token: "t", ReadsStore: func() bool { return p.isSource },
		StoreClock: func() (time.Duration, bool) { return 42 * time.Second, true },
		Tables:     map[string]*Cache{"servers": p.cache},
		Writers:    map[string]*Writer{"duties": NewWriter(p.rows)},
	}
	handler := server.Handler()
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.unresponsive.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // without this the server does not detect a closed connection
			<-r.Context().Done()
			return
		}
		if delay := time.Duration(p.pieceDelay.Load()); delay > 0 {
			w = slowWriter{ResponseWriter: w, delay: delay, ctx: r.Context()}
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	group := NewGroup(GroupOptions{Instance: "self", Zone: "a", Recorder: timeline.Discard, Now: p.clock.now})
	members := append(membersOf("a", minZoneInstances), Member{Name: "self", Zone: "a"})
	for i := range members {
		members[i].Token, members[i].Address = "", ""
	}
	members[0].Token, members[0].Address = "t", strings.TrimPrefix(p.server.URL, "http://")
	group.SetMembers(members)
	client := NewClient()
	t.Cleanup(client.Close)
	p.feed = &Feed{Name: "servers", Store: p.store, Group: group, Client: client, MaxAge: 1600 * time.Millisecond, ProxyMaxAge: 4 * time.Second}
	p.table = &Table{Table: p.backing.Table("duties"), Name: "duties", Group: group, Client: client}
	return p
}

func (p *pair) fetch(t *testing.T, wait time.Duration) (tablefeed.Page, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.feed.Changes(ctx, 5, wait)
}

// newPairWithoutSources returns a pair in a zone too small for sources.
func newPairWithoutSources(t *testing.T) *pair {
	t.Helper()
	p := newPair(t)
	source, _ := p.feed.Group.Source()
	p.feed.Group.SetMembers([]Member{source, {Name: "self", Zone: "a"}})
	return p
}
