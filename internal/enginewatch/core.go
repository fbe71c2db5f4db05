package enginewatch

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// maxTurns bounds how many readers before it an instance waits for in turn.
	maxTurns = 3
	// takeoverMargin is added to the time in which a reader should be heard.
	takeoverMargin = 200 * time.Millisecond
)

// Core decides what one instance reads, sends and passes to its router. It does
// no I/O and is not safe for concurrent use.
type Core struct {
	self    string
	pace    pace
	members int
	tracks  []*track // by name
	byName  map[string]*track
	byID    map[serverID]*track
	transit map[string]int64 // least delay by sender, milliseconds, 0 or less
	flushed time.Time
	cache   cacheControl
	changes []change
}

// change tells that this instance began or ceased to read an engine.
type change struct {
	server string
	reads  bool
}

// newCore returns a Core without engines.
func newCore(self string) *Core {
	return &Core{
		self:    self,
		pace:    paceOf(duties{}),
		byName:  make(map[string]*track),
		byID:    make(map[serverID]*track),
		transit: make(map[string]int64),
	}
}

// read is one engine to be read.
type read struct {
	server  watched
	after   uint64 // position in the cache events
	cache   bool   // read the cache events too
	attempt *track
}

// readResult is what became of a read.
type readResult struct {
	failed bool
	load   engineapi.LoadReport
	age    time.Duration // of the load report when it arrived
	cache  engineapi.CacheEvents
	// hasCache is true when the cache events were read.
	hasCache bool
}

// news is what the router is told of one engine. The nil parts are unchanged.
type news struct {
	server string
	load   *engineapi.LoadReport
	cache  *engineapi.CacheEvents
}

// outgoing is a digest for one instance.
type outgoing struct {
	peer   string
	digest digest
}

// setPlan takes a new plan and the engines to watch by name. State of engines
// that stay at their address is kept.
func (c *Core) setPlan(now time.Time, p *Plan, engines []watched) {
	before := c.byName
	c.members = len(p.members)
	c.tracks = c.tracks[:0]
	c.byName = make(map[string]*track, len(engines))
	c.byID = make(map[serverID]*track, len(engines))
	shared := countIDs(p)
	self := p.member(c.self)
	paces := p.paces()
	for _, e := range engines {
		rank := p.rank(e.name, self)
		if rank < 0 {
			continue
		}
		watchers := p.Watchers(e.name)
		t := before[e.name]
		if t == nil || t.server != e {
			t = &track{server: e, id: idOf(e.name), heard: now, next: now}
		}
		t.shared = shared[t.id] == 1
		t.every = paces[p.first(e.name)].every()
		t.better = watchers[:rank]
		t.peers = slices.Concat(watchers[:rank], watchers[rank+1:])
		c.tracks = append(c.tracks, t)
		c.byName[e.name] = t
		if t.shared {
			c.byID[t.id] = t
		}
	}
	slices.SortFunc(c.tracks, func(a, b *track) int { return strings.Compare(a.server.name, b.server.name) })
	c.pace = paceOf(c.duties())
}

func countIDs(p *Plan) map[serverID]int {
	n := make(map[serverID]int, len(p.servers))
	for i := range p.servers {
		n[idOf(p.servers[i].Name)]++
	}
	return n
}

// duties counts the engines that this instance reads, also for others.
func (c *Core) duties() duties {
	d := duties{members: c.members}
	receivers := make(map[string]bool)
	for _, t := range c.tracks {
		if len(t.better) > 0 && !t.active {
			continue
		}
		d.owned++
		d.records += len(t.peers)
		for _, peer := range t.peers {
			receivers[peer] = true
		}
	}
	d.receivers = len(receivers)
	return d
}

// due returns the reads to start now.
func (c *Core) due(now time.Time) []read {
	var list []read
	for _, t := range c.tracks {
		c.note(t, c.reads(now, t))
		if t.reading || now.Before(t.next) || !t.active {
			continue
		}
		t.reading = true
		t.next = now.Add(t.interval(c.pace.read))
		list = append(list, read{
			server:  t.server,
			after:   t.cache.position,
			cache:   c.cache.on(now, c.pace),
			attempt: t,
		})
	}
	return list
}

// note remembers whether this instance reads an engine, for the time line.
func (c *Core) note(t *track, active bool) {
	if t.active != active {
		t.active = active
		c.changes = append(c.changes, change{server: t.server.name, reads: active})
	}
}

// takeChanges returns the changes of reader since the last call.
func (c *Core) takeChanges() []change {
	list := c.changes
	c.changes = nil
	return list
}

// reads reports whether it is on this instance to read an engine: it is the
// first reader, or those before it have been silent.
func (c *Core) reads(now time.Time, t *track) bool {
	turns := min(len(t.better), maxTurns)
	return now.Sub(t.heard) >= time.Duration(turns)*(t.every+takeoverMargin) || turns == 0
}

// done takes the result of a read.
func (c *Core) done(now time.Time, r read, result readResult) []news {
	t := r.attempt
	t.reading = false
	if result.failed || c.byName[t.server.name] != t {
		return nil
	}
	n := news{server: t.server.name}
	if t.newer(result.load.Epoch, result.load.UnixMillis) {
		report := t.take(result.load, now.Add(-result.age))
		n.load = &report
	}
	t.pending = true // sent also when unchanged, so that others know that it was read
	if result.hasCache {
		events, again := t.cache.read(result.cache)
		if again {
			t.next = now
		}
		if len(events.Events) > 0 {
			n.cache = &events
		}
	}
	return appendNews(nil, n)
}

func appendNews(list []news, n news) []news {
	if n.load == nil && n.cache == nil {
		return list
	}
	return append(list, n)
}

// take takes a digest of another instance.
func (c *Core) take(now time.Time, from string, d *digest) []news {
	late := c.late(now, from, d.Sent)
	var list []news
	loads := d.loads()
	for i := range loads {
		if t := c.byID[loads[i].ID]; t != nil {
			if t.newest(loads[i].Epoch, loads[i].Stamp) {
				t.hear(now, from)
			}
			list = appendNews(list, takeLoad(now, t, &loads[i], late))
		}
	}
	for i := range d.Cache {
		if t := c.byID[d.Cache[i].ID]; t != nil {
			list = appendNews(list, takeCache(t, &d.Cache[i]))
		}
	}
	return list
}

func takeLoad(now time.Time, t *track, r *loadRecord, late time.Duration) news {
	n := news{server: t.server.name}
	if !t.newer(r.Epoch, r.Stamp) {
		return n
	}
	report := t.take(r.report(), now.Add(-r.Age-late))
	n.load = &report
	t.pending = false
	return n
}

func takeCache(t *track, r *cacheRecord) news {
	n := news{server: t.server.name}
	if events := t.cache.merge(r); len(events.Events) > 0 {
		n.cache = &events
	}
	return n
}

// late estimates how long a digest was under way. The clocks of two instances
// may differ: a sender's clock that is ahead is known by the least difference
// seen; one that is behind only makes its reports look older.
func (c *Core) late(now time.Time, from string, sent int64) time.Duration {
	delay := now.UnixMilli() - sent
	least := min(c.transit[from], delay)
	c.transit[from] = least
	return time.Duration(delay-least) * time.Millisecond
}

// flush returns the digests to send now.
func (c *Core) flush(now time.Time) []outgoing {
	if now.Sub(c.flushed) < c.pace.flush {
		return nil
	}
	c.flushed = now
	c.pace = paceOf(c.duties())
	if c.cache.fit(now, c.pace, c.countPrefixes) {
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
	if !c.cache.on(now, c.pace) {
		if len(t.cache.held) > 0 {
			t.cache.lose(t.cache.position)
		}
		return
	}
	if r, ok := t.cache.record(t.id, c.cache.sample); ok {
		b.addCache(t.peers, r)
	}
}

// countPrefixes is the number of prefixes that a flush sends with a sample.
func (c *Core) countPrefixes(s sample) int {
	n := 0
	for _, t := range c.tracks {
		for _, e := range t.cache.held {
			if s.keeps(e.Prefix) {
				n += len(t.peers)
			}
		}
	}
	return n
}
