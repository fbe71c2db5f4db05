package streamorigin

import (
	"maps"
	"slices"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// The records of the model: which ordinals they have, how late they are performed, and how they are
// written again after a restore.

const modelOrdinals = 5

type modelRecord struct{ stream, ordinal int }

// modelTry is a stream whose version was confirmed, and that goes on to another one before it begins.
type modelTry struct {
	node    *modelNode
	id      int
	ordinal int // of the next record, or of the one that was acknowledged
	version string
	started boottime.Instant // of the attempt, from which the life of its stream counts
	acked   bool
	epoch   uint64 // in which it was acknowledged
}

type modelRecords struct {
	ids   map[digest]int
	late  []modelRecordWrite
	tries []modelTry
	// faults that the model has on purpose
	noSkip, noHolds, oldEpoch, baseOfNow bool
}

// modelRecordWrite is a write of a record that takes effect late.
type modelRecordWrite struct {
	key modelRecord
	row originRow
}

// recorded returns a stream's record with the highest ordinal.
func (s modelStore) recorded(id int) (originRow, bool) {
	for ordinal := modelOrdinals - 1; ordinal >= 0; ordinal-- {
		if row, ok := s.records[modelRecord{id, ordinal}]; ok {
			return row, true
		}
	}
	return originRow{}, false
}

// find returns the version at which a stream would go on. The result is false if it is refused.
func (m *model) find(id int) (string, bool) {
	f := found{epoch: m.store.epoch, base: m.store.row}
	if m.oldEpoch {
		f.base.row.Epoch = f.epoch
	}
	f.record, f.hasRecord = m.store.recorded(id)
	switch {
	case f.outdated() && !m.records.oldEpoch:
		return "", false
	case f.hasRecord:
		return f.record.Version, true
	}
	return f.base.row.Version, f.hasBase()
}

func (m *model) forget(id int) {
	for ordinal := range modelOrdinals {
		delete(m.store.records, modelRecord{id, ordinal})
	}
}

// confirm confirms a version of an attempt, perhaps after a first try at another one, whose record
// may be performed at any time. Most streams then begin.
func (m *model) confirm(n *modelNode, id int, version string, omit, contact bool) {
	d := digestOf(strconv.Itoa(id))
	m.records.ids[d] = id
	ordinal := 0
	if contact && m.rng.IntN(4) == 0 {
		m.send(modelRecord{id, 0}, originRow{Version: m.choose(n), Epoch: n.heard})
		ordinal, omit = 1, false
	}
	if !omit {
		n.heard = m.store.epoch
		m.store.records[modelRecord{id, ordinal}] = originRow{Version: version, Epoch: n.heard}
	}
	n.own.add(d, ownOrigin{origin: originRow{Version: version}, ordinal: ordinal, epoch: n.heard, began: m.now})
	m.say("stream %d is confirmed at %s, recorded %t, ordinal %d", id, version, !omit, ordinal)
	if m.rng.IntN(3) == 0 {
		next := ordinal + 1
		if omit && m.records.noSkip {
			next = 0
		}
		m.records.tries = append(m.records.tries, modelTry{node: n, id: id, ordinal: next, started: m.now})
		return
	}
	if omit {
		m.unrecorded++
	}
	m.streams[id] = modelStream{version: version, began: m.now}
}

// choose returns a version that is listed as the node sees it, or "".
func (m *model) choose(n *modelNode) string {
	listed := slices.Sorted(maps.Keys(n.view.Services["s"]))
	if len(listed) == 0 || m.now.Sub(n.view.AsOf) > m.times.trust {
		return ""
	}
	return listed[m.rng.IntN(len(listed))]
}

// send hands a record to the store, which performs it now, late or never.
func (m *model) send(key modelRecord, row originRow) {
	switch m.rng.IntN(3) {
	case 0:
		m.store.records[key] = row
	case 1:
		m.records.late = append(m.records.late, modelRecordWrite{key, row})
	}
}

// goOn lets streams that were confirmed at one version go on to another one, and begin there once
// that is confirmed as well.
func (m *model) goOn() {
	var waiting []modelTry
	for _, try := range m.records.tries {
		switch {
		case !slices.Contains(m.nodes, try.node): // restarted
		case m.now.Sub(try.started) > modelTimeout: // ended
		case m.rng.IntN(2) == 0:
			waiting = append(waiting, try)
		case !try.acked:
			if try.version = m.choose(try.node); try.version != "" {
				waiting = append(waiting, m.sendTry(try))
			}
		default:
			m.beginTry(try)
		}
	}
	m.records.tries = waiting
}

// sendTry records the other version.
func (m *model) sendTry(try modelTry) modelTry {
	try.acked, try.epoch = true, m.store.epoch
	try.node.heard = m.store.epoch
	m.store.records[modelRecord{try.id, try.ordinal}] = originRow{Version: try.version, Epoch: try.epoch}
	m.say("stream %d is recorded at %s instead, ordinal %d", try.id, try.version, try.ordinal)
	return try
}

// beginTry begins a stream at the other version, whose record is written again if the node knows
// that it may be lost.
func (m *model) beginTry(try modelTry) {
	if try.epoch != try.node.heard && !m.records.noHolds {
		try.ordinal++
		try = m.sendTry(try)
	}
	own := ownOrigin{origin: originRow{Version: try.version}, ordinal: try.ordinal, epoch: try.epoch, began: m.now}
	try.node.own.add(digestOf(strconv.Itoa(try.id)), own)
	m.streams[try.id] = modelStream{version: try.version, began: try.started}
	m.say("stream %d begins at %s", try.id, try.version)
}

// noteRestore has a node learn of the store's epoch.
func (m *model) noteRestore(n *modelNode) {
	if n.epoch == m.store.epoch {
		return
	}
	n.epoch, n.heard = m.store.epoch, m.store.epoch
	n.again = n.own.lostBefore(n.epoch, m.now, m.times.life)
}

// writeAgain writes some of what a node has to write again.
func (m *model) writeAgain(i int, cut bool) {
	n := m.nodes[i]
	for !cut && len(n.again) > 0 && m.rng.IntN(4) > 0 {
		d := n.again[0]
		n.again = n.again[1:]
		own, id := n.own.byAttempt[d], m.records.ids[d]
		if m.records.baseOfNow && m.store.row.version > 0 {
			own.origin.Version = m.store.row.row.Version
		}
		own.origin.Epoch = n.heard
		m.rewritten++
		m.say("node %d writes %s of stream %d again, ordinal %d", i, own.origin.Version, id, own.ordinal)
		if m.rng.IntN(4) == 0 {
			m.records.late = append(m.records.late, modelRecordWrite{modelRecord{id, own.ordinal}, own.origin})
			continue
		}
		m.store.records[modelRecord{id, own.ordinal}] = own.origin
	}
}

// writeLate performs records that are on their way.
func (m *model) writeLate() {
	m.rng.Shuffle(len(m.records.late), func(i, k int) {
		m.records.late[i], m.records.late[k] = m.records.late[k], m.records.late[i]
	})
	for len(m.records.late) > 0 && m.rng.IntN(3) > 0 {
		w := m.records.late[0]
		m.records.late = m.records.late[1:]
		m.store.records[w.key] = w.row
	}
}

// clone copies a store.
func (s modelStore) clone() modelStore {
	s.records = maps.Clone(s.records)
	return s
}
