// Package directory maintains the list of backend servers that register themselves
// in the platform's store. It ignores late writes of an older state, entries that
// cannot be decoded, and for a grace period the removal of entries that expired
// while the store was unavailable or that a restored store lacks. It reads no clock:
// callers pass the time.
package directory

import (
	"maps"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
)

// Entry is the registration of a backend server.
type Entry struct {
	// ID identifies the server. A restarted server usually has a new one; if it
	// does not, its start time differs.
	ID string
	// Service is the name of the service that the server belongs to.
	Service string
	// Address is the server's IP and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Version is the version of the server's software. Empty means unknown.
	Version string
	// Capacity is the number of requests that the server runs concurrently.
	Capacity int
	// Draining servers accept no new requests.
	Draining bool
	// Preemptible servers cost less and may be reclaimed by the platform.
	Preemptible bool
	// ColdFor is the remaining warm-up time of the server. Zero means warm.
	ColdFor time.Duration
	// LeavesIn is the time after which a draining server stops. Zero means unknown.
	LeavesIn time.Duration
	// StartedMillis is the server's start in Unix milliseconds. Zero means unknown.
	StartedMillis int64
	// Sequence increases with each of the server's writes since its start.
	Sequence int64
}

// olderThan reports whether e was written before other by the same server.
func (e *Entry) olderThan(other *Entry) bool {
	if e.StartedMillis != other.StartedMillis {
		return e.StartedMillis < other.StartedMillis
	}
	return e.Sequence < other.Sequence
}

// Server is a registered backend server.
type Server struct {
	Entry
	// ColdUntil is when the server will be warm. Zero means that it is warm.
	ColdUntil boottime.Instant
	// LeavesAt is when the draining server stops, at the latest. Zero means unknown.
	LeavesAt boottime.Instant
}

// Change is one decoded row of the feed.
type Change struct {
	ID string
	// Entry is nil if the row was removed or could not be decoded.
	Entry *Entry
}

const (
	// reregistrationGrace is the time after an outage of the store within which
	// servers whose entries expired can register again.
	reregistrationGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage of the store in which the entries of live
	// servers may have expired.
	minOutage = 3 * time.Second
	// coldMargin covers the delay between a server's write of ColdFor and its
	// arrival here.
	coldMargin = 300 * time.Millisecond
	// departedRetention is how long a removed entry is known. A restored store may list it
	// again; it is far longer than the age of a copy.
	departedRetention = 30 * time.Second
)

// departure is the last entry of a server that was removed.
type departure struct {
	entry Entry
	at    boottime.Instant
}

// Directory is the list of backend servers. It is not safe for concurrent use.
type Directory struct {
	servers   map[string]*Server
	missing   map[string]bool // servers whose removed entries are kept until holdUntil
	holdUntil boottime.Instant
	departed  map[string]departure
	restored  bool // the store was restored since the oldest of departed
	// deferred are the changes by which a restored store lists departed servers again. They are
	// applied once their servers may be alive; see Expire.
	deferred map[string]Change
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: map[string]*Server{}, missing: map[string]bool{}, departed: map[string]departure{}, deferred: map[string]Change{}}
}

// Restored must be called before Apply with the first rows after the store was restored from an
// older copy. Servers that the copy lacks are kept until they can have registered again, and
// entries that were removed since the copy are ignored for a while.
func (d *Directory) Restored(now boottime.Instant) {
	d.holdUntil = now.Add(reregistrationGrace)
	d.restored = true
}

// Apply applies changed rows, or, if whole is true, replaces all rows. gap is the
// length of the outage of the store before these changes, and zero without one.
func (d *Directory) Apply(now boottime.Instant, changes []Change, whole bool, gap time.Duration) {
	if gap >= minOutage {
		d.holdUntil = now.Add(reregistrationGrace)
	}
	d.forgetDeparted(now)
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.ID] = true
		d.applyChange(now, c)
	}
	if whole {
		d.removeUnlisted(now, listed)
	}
}

func (d *Directory) removeUnlisted(now boottime.Instant, listed map[string]bool) {
	maps.DeleteFunc(d.deferred, func(id string, _ Change) bool { return !listed[id] })
	for id := range d.servers {
		if !listed[id] {
			d.applyChange(now, Change{ID: id})
		}
	}
}

func (d *Directory) applyChange(now boottime.Instant, c Change) {
	known := d.servers[c.ID]
	delete(d.deferred, c.ID)
	if c.Entry == nil {
		d.remove(now, c.ID)
		return
	}
	if known != nil && c.Entry.olderThan(&known.Entry) {
		return
	}
	if known == nil && d.hasDeparted(c.Entry) {
		d.deferred[c.ID] = c
		return
	}
	delete(d.missing, c.ID)
	delete(d.departed, c.ID)
	s := &Server{Entry: *c.Entry}
	if c.Entry.ColdFor > 0 {
		s.ColdUntil = now.Add(c.Entry.ColdFor + coldMargin)
	}
	s.LeavesAt = leavesAt(now, known, c.Entry)
	d.servers[c.ID] = s
}

// leavesAt returns Server.LeavesAt for a new entry. A notice that was read before stays in
// force, since the same row may be read again later.
func leavesAt(now boottime.Instant, known *Server, e *Entry) boottime.Instant {
	if !e.Draining || e.LeavesIn <= 0 {
		return 0
	}
	at := now.Add(e.LeavesIn)
	if known != nil && known.StartedMillis == e.StartedMillis && !known.LeavesAt.IsZero() && known.LeavesAt.Before(at) {
		return known.LeavesAt
	}
	return at
}

// Draining reports whether the process of a server that started at a time in Unix
// milliseconds is known to be draining.
func (d *Directory) Draining(id string, startedMillis int64) bool {
	known := d.servers[id]
	return known != nil && known.Draining && known.StartedMillis == startedMillis
}

func (d *Directory) remove(now boottime.Instant, id string) {
	if d.servers[id] == nil {
		return
	}
	if now.Before(d.holdUntil) {
		d.missing[id] = true
		return
	}
	d.depart(now, id)
	delete(d.missing, id)
}

// depart removes a server and keeps its last entry for a while.
func (d *Directory) depart(now boottime.Instant, id string) {
	d.departed[id] = departure{entry: d.servers[id].Entry, at: now}
	delete(d.servers, id)
}

// hasDeparted reports whether a restored store lists an entry again that was removed. A server
// that is alive writes a later one, but of writes that change the sequence only no event need tell.
func (d *Directory) hasDeparted(e *Entry) bool {
	before, known := d.departed[e.ID]
	return d.restored && known && !before.entry.olderThan(e)
}

// forgetDeparted drops the entries that were removed long ago.
func (d *Directory) forgetDeparted(now boottime.Instant) {
	maps.DeleteFunc(d.departed, func(_ string, gone departure) bool { return now.Sub(gone.at) > departedRetention })
	d.restored = d.restored && len(d.departed) > 0
}

// Waiting reports whether Expire may remove or add a server now or later.
func (d *Directory) Waiting() bool { return len(d.missing) > 0 || len(d.deferred) > 0 }

// readmit applies the entries that a restored store still lists after the grace period, of servers
// that may be alive. Those that were draining stay away until their departure is forgotten.
func (d *Directory) readmit(now boottime.Instant) {
	d.forgetDeparted(now)
	if now.Before(d.holdUntil) {
		return
	}
	for id, c := range d.deferred {
		if d.hasDeparted(c.Entry) && d.departed[id].entry.Draining {
			continue
		}
		delete(d.departed, id)
		d.applyChange(now, c)
	}
}

// Expire removes the servers that have not registered again within the grace period
// after an outage, and adds those that a restored store still lists then. It returns the end of a running grace period; the result is false
// if no server is missing.
func (d *Directory) Expire(now boottime.Instant) (boottime.Instant, bool) {
	d.readmit(now)
	if len(d.missing) == 0 {
		return 0, false
	}
	if now.Before(d.holdUntil) {
		return d.holdUntil, true
	}
	for id := range d.missing {
		d.depart(now, id)
	}
	clear(d.missing)
	return 0, false
}

// Servers returns all servers in no particular order.
func (d *Directory) Servers() []Server {
	list := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		list = append(list, *s)
	}
	return list
}

// Changes decodes the rows of an update. decode returns nil for a row that cannot be
// decoded.
func Changes(u tablefeed.Update, decode func(key string, value []byte) *Entry) []Change {
	changes := make([]Change, 0, len(u.Rows))
	for _, row := range u.Rows {
		c := Change{ID: row.Key}
		if !row.Removed {
			c.Entry = decode(row.Key, row.Value)
		}
		changes = append(changes, c)
	}
	return changes
}
