package streamorigin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// The model has one service, a store, two instances that begin streams and two that decide the base.
// Time moves in steps of modelStep. Its parts are those of the package: watch, knownBases, nextBase.

const (
	modelStep     = 10 * time.Second
	modelTimeout  = 20 * time.Second // times: life 40 s, trust 60 s, quiet 120 s
	modelVersions = 3
	modelStart    = boottime.Instant(time.Hour)
)

func modelVersion(i int) string { return "v" + strconv.Itoa(i) }

type modelStore struct {
	row     heldRow
	number  uint64
	epoch   uint64
	records map[modelRecord]originRow
}

// modelWrite is a write of the base row that may take effect late.
type modelWrite struct {
	expected uint64
	row      baseRow
}

type modelStream struct {
	version string
	began   boottime.Instant
}

type modelNode struct {
	epoch uint64 // noticed
	heard uint64 // of the last answer
	view  View
	watch *watch
	known *knownBases
	own   *ownOrigins
	again []digest // to be written again
}

func newModelNode(now boottime.Instant, bootstrap bool) *modelNode {
	return &modelNode{watch: newWatch(now, bootstrap), known: newKnownBases(), own: newOwnOrigins()}
}

type modelHolder struct {
	epoch     uint64
	epochSeen boottime.Instant
	view      View
	watch     *watch
	known     *knownBases
	trusted   string
	isTrusted bool
	row       heldRow
	loaded    bool
	closed    boottime.Instant
}

type model struct {
	rng     *rand.Rand
	now     boottime.Instant
	times   times
	listed  map[string]int
	changed boottime.Instant // when listed changed
	store   modelStore
	copy    modelStore
	late    []modelWrite
	records modelRecords
	nodes   []*modelNode
	holders []*modelHolder
	streams map[int]modelStream
	next    int
	trace   []string
	// faults that the model has on purpose, to show that it finds them
	noClose, noTrust, oldEpoch, noLife              bool
	omitOnly, findByList                            bool
	moves, restores, unrecorded, takeUps, rewritten int
}

func newModel(seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), now: modelStart, changed: modelStart, times: timesFor(modelTimeout),
		listed: map[string]int{"v0": 3}, streams: map[int]modelStream{},
	}
	m.store.records = map[modelRecord]originRow{}
	m.records.ids = map[digest]int{}
	m.copy = m.store.clone()
	for range 2 {
		m.nodes = append(m.nodes, newModelNode(m.now, true))
		m.holders = append(m.holders, &modelHolder{watch: newWatch(m.now, true), known: newKnownBases()})
	}
	return m
}

func (m *model) say(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%v ", m.now.Sub(modelStart))+fmt.Sprintf(format, args...))
}

func (m *model) look() View {
	return View{AsOf: m.now, Services: map[string]map[string]int{"s": maps.Clone(m.listed)}}
}

// commit performs a write of the base row.
func (m *model) commit(w modelWrite) bool {
	if m.store.row.version != w.expected {
		return false
	}
	m.store.number++
	if m.store.row.row.Version != w.row.Version {
		m.moves++
	}
	m.store.row = heldRow{version: m.store.epoch<<40 | m.store.number, row: w.row}
	m.say("base row %+v", m.store.row)
	return true
}

func (n *modelNode) mayOmit(m *model, version string) bool {
	fresh := m.noTrust || m.now.Sub(n.view.AsOf) <= m.times.trust
	relied := n.known.relied("s", version, n.epoch)
	return !n.view.AsOf.IsZero() && fresh && (relied || m.omitOnly && n.onlyLists(m, version))
}

// onlyLists reports whether a node has seen no version but one for as long as streams last.
func (n *modelNode) onlyLists(m *model, version string) bool {
	return n.view.lists("s", version) && len(n.view.Services["s"]) == 1 && n.watch.onlyFor("s", version, m.times.life)
}

// foundByList returns the version at which a node without the store would resume any stream.
func (n *modelNode) foundByList(m *model) (string, bool) {
	for version := range n.view.Services["s"] {
		if m.now.Sub(n.view.AsOf) <= m.times.trust && n.known.relied("s", version, n.epoch) && n.onlyLists(m, version) {
			return version, true
		}
	}
	return "", false
}

// begin begins a stream at a listed version as the node sees it.
func (m *model) begin(i int, contact bool) {
	n := m.nodes[i]
	for _, version := range slices.Sorted(maps.Keys(n.view.Services["s"])) {
		if m.rng.IntN(2) == 0 {
			continue
		}
		omit := n.mayOmit(m, version)
		if !omit && (!contact || m.now.Sub(n.view.AsOf) > m.times.trust) {
			continue // it fails before its first event
		}
		if !omit {
			n.heard = m.store.epoch
		}
		m.next++
		m.confirm(n, m.next, version, omit, contact)
	}
}

// refresh lets a node look at the servers and, at times, read the base row.
func (m *model) refresh(i int, read bool) {
	n := m.nodes[i]
	m.noteRestore(n)
	n.view = m.look()
	n.known.observe(n.view, maxViewAge)
	n.watch.observe(m.now, n.view, modelStep)
	if read && m.store.row.version > 0 {
		n.known.learn("s", m.store.row, n.epoch, n.view)
	}
}

func (m *model) restart(i int) {
	m.nodes[i] = newModelNode(m.now, false)
	m.say("node %d restarts", i)
}

// hold lets a holder decide. answered is false if it learns nothing of its write, and late lets the
// write take effect at another time.
func (m *model) hold(i int, answered, late bool) {
	h := m.holders[i]
	if h.epoch != m.store.epoch {
		h.isTrusted = false
		if b, ok := h.known.bases["s"]; ok && b.relied && b.epoch == h.epoch && m.now.Sub(h.view.AsOf) <= m.times.trust {
			h.trusted, h.isTrusted = b.version, true
		}
		h.epoch, h.epochSeen, h.loaded = m.store.epoch, m.now, false
	}
	h.view = m.look()
	h.watch.observe(m.now, h.view, modelStep)
	h.known.observe(h.view, maxViewAge)
	if !h.loaded {
		if m.store.row.row.Closed && (h.closed.IsZero() || h.row.version != m.store.row.version) {
			h.closed = m.now
		}
		h.row, h.loaded = m.store.row, true
		if !h.row.row.Closed {
			h.closed = 0
		}
	}
	if m.store.row.version > 0 && m.rng.IntN(2) == 0 {
		h.known.learn("s", m.store.row, h.epoch, h.view)
	}
	in := baseInputs{
		service: "s", held: h.row, epoch: h.epoch, servers: h.view.Services["s"], watch: h.watch, times: m.times,
		bootstrap: h.epoch == 0, epochSeen: h.epochSeen, closedSeen: h.closed, trusted: h.trusted, isTrusted: h.isTrusted,
	}
	if m.noClose && !h.row.row.Closed {
		in.held.row.Closed, in.closedSeen = h.row.version > 0, 1
	}
	if m.noLife {
		in.times.life = 0
	}
	next, ok := nextBase(in)
	if !ok || m.noClose && next.Version == h.row.row.Version && h.row.row.Epoch == next.Epoch {
		return
	}
	w := modelWrite{expected: h.row.version, row: next}
	if late {
		m.late = append(m.late, w)
		h.loaded = false
		return
	}
	done := m.commit(w)
	if !answered || !done {
		h.loaded = false
		return
	}
	h.row = m.store.row
	h.closed = 0
	if next.Closed {
		h.closed = m.now
	}
}

func (m *model) restartHolder(i int) {
	m.holders[i] = &modelHolder{watch: newWatch(m.now, false), known: newKnownBases(), epoch: m.store.epoch}
	if m.store.epoch > 0 {
		m.holders[i].epochSeen = 0
	}
	m.say("holder %d restarts", i)
}

func (m *model) restore() {
	epoch := m.store.epoch + 1
	m.store = m.copy.clone()
	m.store.epoch = epoch
	m.restores++
	m.say("restore to %+v", m.store.row)
}

// joined returns a stream that a resumption would join with another version.
func (m *model) joined() (int, bool) {
	for id, s := range m.streams {
		if m.now.Sub(s.began) > m.times.life {
			delete(m.streams, id)
			m.forget(id)
			continue
		}
		if m.findByList && m.joinedByList(id, s) {
			return id, true
		}
		version, ok := m.find(id)
		if !ok {
			continue // refused
		}
		m.takeUps++
		if version != s.version {
			m.say("stream %d began at %s and goes on at %s", id, s.version, version)
			return id, true
		}
	}
	return 0, false
}

// joinedByList reports whether a node would resume a stream at another version by its list.
func (m *model) joinedByList(id int, s modelStream) bool {
	for i, n := range m.nodes {
		if version, ok := n.foundByList(m); ok && version != s.version && m.listed[version] > 0 {
			m.say("stream %d began at %s and goes on at %s by the list of node %d", id, s.version, version, i)
			return true
		}
	}
	return false
}

// change changes the listed versions at times, not while the system starts. Each
// lasts longer than the longest time between two lists of an uninterrupted watch.
func (m *model) change() {
	if m.now.Sub(m.changed) < 2*modelStep || m.rng.IntN(6) > 0 {
		return
	}
	m.changed = m.now
	m.listed = map[string]int{}
	for i := range modelVersions {
		if m.rng.IntN(2) == 0 {
			m.listed[modelVersion(i)] = 1 + m.rng.IntN(3)
		}
	}
	m.say("listed %v", m.listed)
}

// step is one step of time in a random order of events.
func (m *model) step(behind, cutHolder bool) {
	events := []func(){
		m.change,
		func() {
			contact := !behind
			if contact && m.rng.IntN(4) > 0 {
				m.refresh(0, m.rng.IntN(2) == 0)
			}
			m.begin(0, contact)
		},
		func() {
			if m.rng.IntN(8) > 0 {
				m.refresh(1, m.rng.IntN(2) == 0)
			}
			m.begin(1, true)
		},
		func() { m.hold(0, m.rng.IntN(4) > 0, m.rng.IntN(6) == 0) },
		func() {
			if !cutHolder {
				m.hold(1, m.rng.IntN(4) > 0, m.rng.IntN(6) == 0)
			}
		},
		func() {
			if len(m.late) > 0 && m.rng.IntN(2) == 0 {
				m.commit(m.late[0])
				m.late = m.late[1:]
			}
		},
		func() { m.writeAgain(0, behind) },
		func() { m.writeAgain(1, false) },
		m.writeLate,
		m.goOn,
		m.goOn,
		func() {
			switch m.rng.IntN(60) {
			case 0:
				m.restart(m.rng.IntN(2))
			case 1:
				m.restartHolder(m.rng.IntN(2))
			case 2, 3:
				m.restore()
			}
		},
	}
	m.rng.Shuffle(len(events), func(i, k int) { events[i], events[k] = events[k], events[i] })
	for _, f := range events {
		f()
	}
	if m.rng.IntN(2) == 0 {
		m.copy = m.store.clone() // an older copy is some seconds old
	}
	m.now = m.now.Add(modelStep)
}

// run returns whether a resumption would have joined two versions.
func (m *model) run(steps int) bool {
	behind, cutHolder := false, false
	for range steps {
		if m.rng.IntN(8) == 0 {
			behind = !behind
		}
		if m.rng.IntN(8) == 0 {
			cutHolder = !cutHolder
		}
		m.step(behind, cutHolder)
		if _, bad := m.joined(); bad {
			return true
		}
	}
	return false
}

// modelRuns returns the number of runs, which MODEL_RUNS replaces.
func modelRuns(t *testing.T, n int) int {
	t.Helper()
	text := os.Getenv("MODEL_RUNS")
	if text == "" {
		return n
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestNoJoinedVersions guards against streams that go on at another version in any order of roll-outs,
// moves of the base, late writes, restarts and restores.
func TestNoJoinedVersions(t *testing.T) {
	t.Parallel()
	var moves, restores, unrecorded, takeUps, rewritten int
	for seed := range modelRuns(t, 3000) {
		m := newModel(uint64(seed))
		if m.run(120) {
			for _, line := range m.trace {
				t.Log(line)
			}
			t.Fatalf("seed %d: versions joined", seed)
		}
		moves, restores, unrecorded, takeUps = moves+m.moves, restores+m.restores, unrecorded+m.unrecorded, takeUps+m.takeUps
		rewritten += m.rewritten
	}
	t.Logf("moves %d, restores %d, streams without a record %d, take-ups %d, records written again %d", moves, restores, unrecorded, takeUps, rewritten)
	if moves == 0 || restores == 0 || unrecorded == 0 || rewritten == 0 {
		t.Fatal("the model did not reach what it checks")
	}
}

// TestModelFindsFaults checks that the model finds each rule that is left out.
func TestModelFindsFaults(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(*model){
		"base moves without being closed":                       func(m *model) { m.noClose = true },
		"base relied on without a fresh list":                   func(m *model) { m.noTrust = true },
		"base of an earlier epoch counts":                       func(m *model) { m.oldEpoch = true },
		"base moves before streams have ended":                  func(m *model) { m.times.quiet = 10 * time.Second },
		"base is back before lost records can have been needed": func(m *model) { m.noLife = true },
		"record written again over that of a later version":     func(m *model) { m.records.noSkip = true },
		"record of before a restore counts":                     func(m *model) { m.records.oldEpoch = true },
		"record lost in a restore is not noticed":               func(m *model) { m.records.noHolds = true },
		"record written again with the base version of now":     func(m *model) { m.records.baseOfNow = true },
		"the only version listed needs no record":               func(m *model) { m.omitOnly = true },
		"resumption by the list while the store is away":        func(m *model) { m.findByList = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range modelRuns(t, 3000) * 4 {
				m := newModel(uint64(seed))
				set(m)
				if m.run(120) {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
