package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// An engine prefills prompts in the same steps in which the streams that run there generate
// tokens. While it prefills a long prompt, each of these streams has longer gaps between
// its events. See docs/design/0103-interference.md.

const (
	// prefillGap is the gap between two events of a stream while a usual engine prefills a
	// long prompt. An engine of half that speed reaches twice the gap.
	prefillGap = 140 * time.Millisecond
	// tightSensitivity is the sensitivity from which a stream counts as tight.
	tightSensitivity = 0.5
	// loadSensitivityScale is the value of Load.Sensitivity for a sensitivity of 1. Sums of
	// integers do not drift.
	loadSensitivityScale = 1000
)

// sensitivity returns how much a stream with the given target between two events suffers
// from prefill on its server: 1 if the gap during prefill on a usual engine exceeds the
// target, falling with the inverse of the target to 0 where even an engine of half the
// speed stays within it. Zero or less means no target, and a sensitivity of 0.
func sensitivity(targetEventInterval time.Duration) float64 {
	if targetEventInterval <= 0 {
		return 0
	}
	return min(max(2*float64(prefillGap)/float64(targetEventInterval)-1, 0), 1)
}

// loadSensitivity returns the request's part of Load.Sensitivity.
func loadSensitivity(p *pool, q *Query) int {
	if !p.engine {
		return 0
	}
	return int(math.Round(loadSensitivityScale * sensitivity(q.TargetEventInterval)))
}

// isTight reports whether prefill on the server makes the stream miss its target between
// events.
func isTight(q *Query) bool { return sensitivity(q.TargetEventInterval) >= tightSensitivity }

// Interference is what the cost of interference depends on, for one request and one server.
type Interference struct {
	// Own is the sensitivity of the request's own stream, from 0 to 1.
	Own float64
	// PendingMillis is the time that the server still needs for prefill sent earlier.
	PendingMillis float64
	// Slow is true if the server is slow and the request is a tight stream.
	Slow bool
	// Outside is the strength, from 0 to 1, with which all instances prefer other servers for
	// tight streams. It is 0 if the request is none or the server is one of those.
	Outside float64
	// Spread is from 0 to 1 and differs between instances, for a tight stream. Other requests
	// have 0.
	Spread float64
}

// Weights of the terms.
const (
	// pendingWeight is the weight of the time of pending prefill for a stream with a
	// sensitivity of 1, in addition to the wait for it.
	pendingWeight = 0.5
	// slowMillis is the cost of a slow server for a stream with a sensitivity of 1.
	slowMillis = 150.0
	// outsideMillis is the cost of a server that is not preferred for tight streams, for a
	// stream with a sensitivity of 1. It is below the prefill of a long prompt, so that tight
	// streams leave the set rather than wait for one there.
	outsideMillis = 60.0
	// spreadMillis is the largest cost by which instances prefer different servers for tight
	// streams. Without it, all of them choose the same one until the next report of loads.
	spreadMillis = 60.0
)

// Millis returns the cost in milliseconds. It handles tight streams at any load, and is 0
// for other requests: they stay with the servers that cache their prefixes, since a prefix
// that is prefilled again delays more streams than its request would have.
func (i Interference) Millis() float64 {
	cost := pendingWeight * i.Own * i.PendingMillis
	if i.Slow {
		cost += slowMillis * i.Own
	}
	return cost + outsideMillis*i.Own*i.Outside + spreadMillis*i.Spread
}

// interferenceMillis returns the cost of interference for a request on an engine. It is zero
// for a request that is not sensitive to prefill.
func (b *Balancer) interferenceMillis(now boottime.Instant, p *pool, s *server, q *Query, load Load) float64 {
	own := sensitivity(q.TargetEventInterval)
	if own == 0 {
		return 0
	}
	i := Interference{Own: own, PendingMillis: float64(load.PendingPrefill) / b.prefillRate(now, s)}
	if own >= tightSensitivity {
		i.Outside, i.Slow, i.Spread = p.tightSet.outside(s), s.slow, s.spread
	}
	return i.Millis()
}

// spread returns Interference.Spread of a server for this instance.
func (b *Balancer) spread(id string) float64 {
	return float64(rendezvous(xxhash.Sum64String(b.options.Instance), id)) / math.MaxUint64
}

// observeTarget notes whether the service has tight streams.
func (p *pool) observeTarget(q *Query) {
	p.hasTight = p.hasTight || p.engine && isTight(q)
}

const (
	// tightStreamsPerServer is the number of tight streams for which one server is
	// preferred.
	tightStreamsPerServer = 3.0
	// maxTightShare is the largest share of the servers that is preferred for tight
	// streams, while no prefill is pending; at halvingPrefillMillis of mean pending prefill
	// it is half of that, since the other servers prefill the long prompts.
	maxTightShare        = 0.5
	halvingPrefillMillis = 300.0
	// tightSetInterval is the interval at which the set is computed, and tightSetTime the
	// time constant of the moving averages that it depends on: much longer than a stream,
	// so that prefixes rarely move between servers.
	tightSetInterval = 200 * time.Millisecond
	tightSetTime     = 5 * time.Second
	// tightSetEventInterval is the minimum time between two events about the set's size.
	tightSetEventInterval = 5 * time.Second
)

// tightSet is the set of a pool's servers that all instances prefer for tight streams. It
// consists of the servers with the
// lowest rank, which is a hash of the server's ID, so that instances agree on it without
// messages as far as their loads agree. Other servers may be chosen at any time: the set
// changes costs only.
type tightSet struct {
	count     int    // servers in the set
	limit     uint64 // rank of the last one
	updatedAt boottime.Instant
	// sensitivity and prefillMillis are moving averages of the total sensitivity of the
	// streams on all servers, and of the mean pending prefill time.
	sensitivity, prefillMillis float64

	nextEvent     boottime.Instant
	recordedCount int
}

func (t *tightSet) contains(s *server) bool { return t.count > 0 && !s.slow && s.tightRank <= t.limit }

// outside returns Interference.Outside for a tight stream. A set that is smaller than the
// streams need attracts them less, so that it is not overloaded by them.
func (t *tightSet) outside(s *server) float64 {
	if t.count == 0 || t.contains(s) {
		return 0
	}
	room := min(float64(t.count)*tightStreamsPerServer/t.sensitivity, 1)
	return room * room
}

// forAffinity returns the set of servers that may be the affinity server of the request, or
// nil if all may: tight streams keep to the set.
func (t *tightSet) forAffinity(q *Query) *tightSet {
	if t.count == 0 || !isTight(q) {
		return nil
	}
	return t
}

// allows reports whether the server may be the affinity server.
func (t *tightSet) allows(s *server) bool { return t == nil || t.contains(s) }

// tightSetKey is the key of the hash by which servers are ranked.
const tightSetKey = 0x7469676874

// updateTightSet computes the set from the loads of all instances, at most once per
// tightSetInterval. Services without tight streams have an empty set.
func (b *Balancer) updateTightSet(now boottime.Instant, p *pool) {
	t := &p.tightSet
	if !p.hasTight && t.count == 0 || !t.updatedAt.IsZero() && now.Sub(t.updatedAt) < tightSetInterval {
		return
	}
	b.updateSpeeds(now, p)
	total, usable := 0, p.usableServers()
	for _, s := range p.servers {
		total += s.load(now).Sensitivity
	}
	t.observe(now, float64(total)/loadSensitivityScale, b.meanPrefillMillis(now, p))
	t.resize(p, t.target(usable))
	b.recordTightSet(now, p, usable)
}

// observe updates the moving averages.
func (t *tightSet) observe(now boottime.Instant, sensitivity, prefillMillis float64) {
	weight := 1.0
	if !t.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(t.updatedAt).Seconds()/tightSetTime.Seconds())
	}
	t.sensitivity += weight * (sensitivity - t.sensitivity)
	t.prefillMillis += weight * (prefillMillis - t.prefillMillis)
	t.updatedAt = now
}

// target returns the number of servers in the set, of a number of usable ones.
func (t *tightSet) target(usable int) int {
	most := maxTightShare / (1 + t.prefillMillis/halvingPrefillMillis) * float64(usable)
	return max(int(math.Round(min(t.sensitivity/tightStreamsPerServer, most))), 0) // reports may be wrong
}

// resize puts the given number of usable servers with the lowest ranks into the set.
func (t *tightSet) resize(p *pool, count int) {
	t.count, t.limit = 0, 0
	for _, s := range p.byTightRank {
		if t.count == count {
			return
		}
		if s.usable() && !s.slow {
			t.count++
			t.limit = s.tightRank
		}
	}
}

// rankServers orders the servers for the set after the list of servers has changed.
func (p *pool) rankServers() {
	p.byTightRank = append(p.byTightRank[:0], p.servers...)
	slices.SortFunc(p.byTightRank, func(x, y *server) int { return cmp.Compare(x.tightRank, y.tightRank) })
	if t := &p.tightSet; t.count > 0 {
		t.resize(p, t.target(p.usableServers()))
	}
}

func (p *pool) usableServers() int {
	n := 0
	for _, s := range p.servers {
		if s.usable() {
			n++
		}
	}
	return n
}

func (b *Balancer) recordTightSet(now boottime.Instant, p *pool, usable int) {
	t := &p.tightSet
	if t.count == t.recordedCount || now.Before(t.nextEvent) {
		return
	}
	t.nextEvent, t.recordedCount = now.Add(tightSetEventInterval), t.count
	b.options.Recorder.Record(timeline.Event{
		Kind: timeline.TightSetChanged, Service: p.name, Count: int64(t.count),
		Detail: fmt.Sprintf("servers=%d sensitivity=%.1f unread_ms=%.0f averaged_over=%v", usable, t.sensitivity, t.prefillMillis, tightSetTime),
	})
}
