package enginewatch

import "time"

// Bandwidth budgets of one instance in a large fleet, in bytes per second,
// excluding TCP, UDP and IP headers.
const (
	readBudget    = 650  // requests to engines and their responses
	recordBudget  = 350  // load records to other instances
	messageBudget = 500  // message envelopes and packet overhead
	cacheBudget   = 600  // cache records to other instances, up to maxCacheFleet instances
	totalBudget   = 1500 // all of the above except cache records, above maxCacheFleet instances
)

// Estimated sizes in bytes.
const (
	readBytes    = 280 // reading one load report
	recordBytes  = 22  // one load record in a digest
	messageBytes = 64  // one digest without its records
	prefixBytes  = 9   // one prefix in a digest
)

const (
	// smallFleetReadSpacing is the minimum time between two reads by one
	// instance in a small fleet, to which no budget applies.
	smallFleetReadSpacing = 2 * time.Millisecond
	// maxCacheFleet is the number of instances above which cache events are no
	// longer read.
	maxCacheFleet = 64

	minInterval = 500 * time.Millisecond
	maxInterval = time.Minute
)

// workload counts what one instance reads and sends.
type workload struct {
	members   int // instances in the fleet
	engines   int // engines of which it is the reader
	records   int // load records that it sends per round of reads
	receivers int // instances that it sends them to
}

// intervals says how often an instance reads and sends.
type intervals struct {
	read        time.Duration // between two reads of one engine
	flush       time.Duration // between two digests to one instance
	cacheEvents bool          // whether cache events are read
	// flushPrefixes bounds the prefixes in all digests of one flush. Zero means
	// no limit.
	flushPrefixes int
}

// intervalsFor returns the shortest intervals that keep a workload within the
// budgets, between minInterval and maxInterval.
func intervalsFor(w workload) intervals {
	if w.members <= maxSmallFleet {
		return intervals{
			read:        max(time.Duration(w.engines)*smallFleetReadSpacing, minInterval),
			flush:       minInterval,
			cacheEvents: true,
		}
	}
	read := max(transferTime(w.engines*readBytes, readBudget), transferTime(w.records*recordBytes, recordBudget))
	flush := transferTime(w.receivers*messageBytes, messageBudget)
	iv := intervals{
		read:        min(max(read, minInterval), maxInterval),
		flush:       min(max(flush, minInterval), maxInterval),
		cacheEvents: w.members <= maxCacheFleet,
	}
	iv.flushPrefixes = int(cacheBudget * iv.flush.Seconds() / prefixBytes)
	return iv
}

// transferTime returns the time over which a number of bytes stays within a
// budget.
func transferTime(bytes, perSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(perSecond)
}

// recordInterval is the longest time between two records of one engine.
func (iv intervals) recordInterval() time.Duration { return iv.read + iv.flush }

// memberIntervals returns the intervals of every member while all members are
// running.
func (p *Plan) memberIntervals() []intervals {
	n := len(p.members)
	all := make([]workload, n)
	sends := make([]bool, n*n) // by sender and receiver
	for _, watchers := range p.watchers {
		if len(watchers) == 0 {
			continue
		}
		w := &all[watchers[0]]
		w.engines++
		w.records += len(watchers) - 1
		for _, to := range watchers[1:] {
			if at := int(watchers[0])*n + int(to); !sends[at] {
				sends[at] = true
				w.receivers++
			}
		}
	}
	list := make([]intervals, n)
	for i, w := range all {
		w.members = n
		list[i] = intervalsFor(w)
	}
	return list
}
