package enginewatch

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// maxTakeoverRank bounds the number of preceding readers whose silence an
	// instance waits for, one record interval each.
	maxTakeoverRank = 3
	// takeoverMargin is added to the interval within which an update of the
	// reader is expected.
	takeoverMargin = 200 * time.Millisecond
)

// Core decides which engines one instance reads, what it sends to other
// instances and what it passes to its router. It does no I/O and is not safe
// for concurrent use.
type Core struct {
	self      string
	intervals intervals
	members   int
	tracks    []*track // sorted by name
	byName    map[string]*track
	byID      map[serverID]*track
	minDelay  map[string]int64 // by sender: smallest difference of receive and send time in milliseconds, at most 0
	lastFlush time.Time
	cache     cacheControl
	changes   []readerChange
}

// readerChange records that this instance started or stopped reading an engine.
type readerChange struct {
	server  string
	reading bool
}

// newCore returns a Core without engines.
func newCore(self string) *Core {
	return &Core{
		self:      self,
		intervals: intervalsFor(workload{}),
		byName:    make(map[string]*track),
		byID:      make(map[serverID]*track),
		minDelay:  make(map[string]int64),
	}
}

// readTask is one read of an engine.
type readTask struct {
	server watched
	after  uint64 // position in the cache events
	cache  bool   // also read the cache events
	track  *track
}

// readResult is the result of a readTask.
type readResult struct {
	failed bool
	load   engineapi.LoadReport
	age    time.Duration // age of the load report on arrival
	cache  engineapi.CacheEvents
	// hasCache is true if the cache events were read.
	hasCache bool
}

// update is what the router receives about one engine. Nil fields are
// unchanged.
type update struct {
	server string
	load   *engineapi.LoadReport
	cache  *engineapi.CacheEvents
}

// outgoingDigest is a digest for one instance.
type outgoingDigest struct {
	peer   string
	digest digest
}

// setPlan applies a new plan and the list of engines to watch. The state of an
// engine is kept if its address is unchanged.
func (c *Core) setPlan(now time.Time, p *Plan, engines []watched) {
	before := c.byName
	c.members = len(p.members)
	c.tracks = c.tracks[:0]
	c.byName = make(map[string]*track, len(engines))
	c.byID = make(map[serverID]*track, len(engines))
	shared := countIDs(p)
	self := p.memberIndex(c.self)
	memberIntervals := p.memberIntervals()
	for _, e := range engines {
		rank := p.rank(e.name, self)
		if rank < 0 {
			continue
		}
		watchers := p.Watchers(e.name)
		t := before[e.name]
		if t == nil || t.server != e {
			t = &track{server: e, id: idOf(e.name), lastSeen: now, nextRead: now}
		}
		t.shared = shared[t.id] == 1
		t.recordInterval = memberIntervals[p.firstReader(e.name)].recordInterval()
		t.predecessors = watchers[:rank]
		t.peers = slices.Concat(watchers[:rank], watchers[rank+1:])
		c.tracks = append(c.tracks, t)
		c.byName[e.name] = t
		if t.shared {
			c.byID[t.id] = t
		}
	}
	slices.SortFunc(c.tracks, func(a, b *track) int { return strings.Compare(a.server.name, b.server.name) })
	c.intervals = intervalsFor(c.workload())
}

func countIDs(p *Plan) map[serverID]int {
	n := make(map[serverID]int, len(p.servers))
	for i := range p.servers {
		n[idOf(p.servers[i].Name)]++
	}
	return n
}

// workload counts what this instance reads, including engines that it has taken
// over.
func (c *Core) workload() workload {
	w := workload{members: c.members}
	receivers := make(map[string]bool)
	for _, t := range c.tracks {
		if len(t.predecessors) > 0 && !t.active {
			continue
		}
		w.engines++
		w.records += len(t.peers)
		for _, peer := range t.peers {
			receivers[peer] = true
		}
	}
	w.receivers = len(receivers)
	return w
}

// dueReads returns the reads to be started now.
func (c *Core) dueReads(now time.Time) []readTask {
	var list []readTask
	for _, t := range c.tracks {
		c.setActive(t, c.shouldRead(now, t))
		if t.readInFlight || now.Before(t.nextRead) || !t.active {
			continue
		}
		t.readInFlight = true
		t.nextRead = now.Add(t.interval(c.intervals.read))
		list = append(list, readTask{
			server: t.server,
			after:  t.cache.position,
			cache:  c.cache.enabled(now, c.intervals),
			track:  t,
		})
	}
	return list
}

// setActive stores whether this instance reads an engine, and queues a change
// for the timeline.
func (c *Core) setActive(t *track, active bool) {
	if t.active != active {
		t.active = active
		c.changes = append(c.changes, readerChange{server: t.server.name, reading: active})
	}
}

// takeChanges returns the changes since the last call.
func (c *Core) takeChanges() []readerChange {
	list := c.changes
	c.changes = nil
	return list
}

// shouldRead reports whether this instance is to read an engine: it is the
// first reader, or no update from the readers before it has arrived in time.
func (c *Core) shouldRead(now time.Time, t *track) bool {
	precedence := min(len(t.predecessors), maxTakeoverRank)
	return now.Sub(t.lastSeen) >= time.Duration(precedence)*(t.recordInterval+takeoverMargin) || precedence == 0
}

// finishRead applies the result of a read.
func (c *Core) finishRead(now time.Time, r readTask, result readResult) []update {
	t := r.track
	t.readInFlight = false
	if result.failed || c.byName[t.server.name] != t {
		return nil
	}
	u := update{server: t.server.name}
	if t.newer(result.load.Epoch, result.load.UnixMillis) {
		report := t.store(result.load, now.Add(-result.age))
		u.load = &report
	}
	t.pending = true // sent even if unchanged: it shows the other instances that the reader works
	if result.hasCache {
		events, reread := t.cache.applyBatch(result.cache)
		if reread {
			t.nextRead = now
		}
		if len(events.Events) > 0 {
			u.cache = &events
		}
	}
	return appendUpdate(nil, u)
}

func appendUpdate(list []update, u update) []update {
	if u.load == nil && u.cache == nil {
		return list
	}
	return append(list, u)
}

// applyDigest applies a digest of another instance.
func (c *Core) applyDigest(now time.Time, from string, d *digest) []update {
	delay := c.transitDelay(now, from, d.Sent)
	var list []update
	loads := d.loads()
	for i := range loads {
		if t := c.byID[loads[i].ID]; t != nil {
			if t.atLeastAsNew(loads[i].Epoch, loads[i].Stamp) {
				t.observeReader(now, from)
			}
			list = appendUpdate(list, applyLoad(now, t, &loads[i], delay))
		}
	}
	for i := range d.Cache {
		if t := c.byID[d.Cache[i].ID]; t != nil {
			list = appendUpdate(list, applyCache(t, &d.Cache[i]))
		}
	}
	return list
}

func applyLoad(now time.Time, t *track, r *loadRecord, delay time.Duration) update {
	u := update{server: t.server.name}
	if !t.newer(r.Epoch, r.Stamp) {
		return u
	}
	report := t.store(r.report(), now.Add(-r.Age-delay))
	u.load = &report
	t.pending = false
	return u
}

func applyCache(t *track, r *cacheRecord) update {
	u := update{server: t.server.name}
	if events := t.cache.merge(r); len(events.Events) > 0 {
		u.cache = &events
	}
	return u
}

// transitDelay estimates how long a digest was in transit. The clocks of the
// two instances may differ. If the sender's clock is ahead, the smallest
// difference seen so far corrects for it. If it is behind, the sender's reports
// only look older than they are.
func (c *Core) transitDelay(now time.Time, from string, sent int64) time.Duration {
	delay := now.UnixMilli() - sent
	minDelay := min(c.minDelay[from], delay)
	c.minDelay[from] = minDelay
	return time.Duration(delay-minDelay) * time.Millisecond
}

// flush returns the digests to be sent now.
func (c *Core) flush(now time.Time) []outgoingDigest {
	if now.Sub(c.lastFlush) < c.intervals.flush {
		return nil
	}
	c.lastFlush = now
	c.intervals = intervalsFor(c.workload())
	if c.cache.adapt(now, c.intervals, c.countPrefixes) {
		for _, t := range c.tracks {
			t.cache.clear = true
		}
	}
	b := make(batches)
	for _, t := range c.tracks {
		if t.shared {
			c.collect(now, b, t)
		}
	}
	return b.outgoing(now)
}

func (c *Core) collect(now time.Time, b batches, t *track) {
	if t.pending {
		t.pending = false
		b.addLoad(t.peers, t.record(now))
	}
	if !c.cache.enabled(now, c.intervals) {
		if len(t.cache.unsent) > 0 {
			t.cache.recordGap(t.cache.position)
		}
		return
	}
	if r, ok := t.cache.record(t.id, c.cache.sample); ok {
		b.addCache(t.peers, r)
	}
}

// countPrefixes returns the number of prefixes that a flush with the given
// sample would send.
func (c *Core) countPrefixes(s sample) int {
	n := 0
	for _, t := range c.tracks {
		for _, e := range t.cache.unsent {
			if s.includes(e.Prefix) {
				n += len(t.peers)
			}
		}
	}
	return n
}
