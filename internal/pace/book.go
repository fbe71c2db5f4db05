package pace

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// maxServers, maxOrigins and maxCurves bound what a book keeps, and maxCurves also the lines.
	maxServers = 4096
	maxOrigins = 1024
	maxCurves  = 512
	// refreshInterval is the minimum time between two computations of the estimates, and
	// maxSnapshotAge the age from which a lookup computes them.
	refreshInterval = 400 * time.Millisecond
	maxSnapshotAge  = time.Second
)

// Key identifies one run of a server: a hash of its ID and start.
type Key uint64

// KeyOf returns the key of a server that started at a time in Unix milliseconds.
func KeyOf(id string, startedMillis int64) Key {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(startedMillis))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(start[:])
	_, _ = d.WriteString(id)
	return Key(d.Sum64())
}

// Server is a listed server.
type Server struct {
	Key         Key
	ID, Service string
}

// Options configure a Book.
type Options struct {
	// Now is the clock. If nil, boottime.Now is used.
	Now func() boottime.Instant
	// Notify is called when a server becomes clearly slow or normal again. It must not block
	// and must not call the book. If nil, changes are not reported.
	Notify func(Change)
}

// Book holds the observations of all instances and the estimates from them. A nil Book
// knows nothing. It is safe for concurrent use.
type Book struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	records  map[Key]*record
	origins  map[string]*originState
	curves   map[curveKey]*curve
	lines    map[string]*firstEventLine // by service
	listed   map[Key]Server
	sequence uint64 // of this instance's newest state
	sentAt   boottime.Instant
	next     boottime.Instant // earliest time of the next change that is reported
	observed observed
}

type curveKey struct{ service, route string }

// record holds the sums of one server.
type record struct {
	own        sums
	ownAt      boottime.Instant // to which own has decayed
	observedAt boottime.Instant // of the newest observation of this instance; zero if none
	others     []contribution
	total      sums // reused by refresh
	slow       bool // as reported
}

// contribution is the newest state of another instance about a server.
type contribution struct {
	origin   *originState
	sequence uint64
	at       boottime.Instant
	sums     sums
}

// originState identifies one run of another instance.
type originState struct{ _ byte } // not empty, so that pointers differ

// observed counts observations and exchanged states.
type observed struct {
	sections, answers, firstEvents, states, stateBytes, invalid uint64
}

// NewBook returns a book without observations.
func NewBook(o Options) *Book {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	b := &Book{
		options: o, records: map[Key]*record{}, origins: map[string]*originState{},
		curves: map[curveKey]*curve{}, lines: map[string]*firstEventLine{}, listed: map[Key]Server{},
	}
	b.snapshot.Store(&Snapshot{})
	return b
}

// SetServers replaces the list of servers. Observations of a run of a server that is no
// longer listed decay and are then dropped.
func (b *Book) SetServers(list []Server) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = make(map[Key]Server, len(list))
	for _, s := range list {
		b.listed[s.Key] = s
	}
}

// own returns this instance's sums of a server, decayed to the present, for a new
// observation. It returns nil if there are too many servers.
func (b *Book) own(s Subject) *sums {
	now := b.options.Now()
	b.refreshAfter(now, refreshInterval) // before the record exists: empty ones are removed
	r := b.record(s.Server)
	if r == nil {
		return nil
	}
	r.decayOwn(now)
	r.observedAt = now
	return &r.own
}

func (r *record) decayOwn(now boottime.Instant) {
	var decayed sums
	decayed.addDecayed(&r.own, now.Sub(r.ownAt))
	r.own, r.ownAt = decayed, now
}

func (b *Book) record(key Key) *record {
	r := b.records[key]
	if r == nil {
		if len(b.records) >= maxServers {
			return nil
		}
		r = &record{}
		b.records[key] = r
	}
	return r
}

// Snapshot returns the current estimates. It does not allocate unless they are outdated,
// which happens only if neither observations nor states of other instances arrive. now is
// the time by the book's clock.
func (b *Book) Snapshot(now boottime.Instant) *Snapshot {
	if b == nil {
		return nil
	}
	s := b.snapshot.Load()
	if now.Sub(s.at) <= maxSnapshotAge {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshAfter(now, maxSnapshotAge)
	return b.snapshot.Load()
}
