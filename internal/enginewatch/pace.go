package enginewatch

import "time"

// Budgets of one instance in a large fleet, in bytes per second, without the
// headers of TCP, UDP and IP.
const (
	readBudget    = 650  // requests to engines and their answers
	recordBudget  = 350  // load records to other instances
	messageBudget = 500  // envelopes and packets around the records
	cacheBudget   = 600  // cache records to other instances, up to cacheFleet
	totalBudget   = 1500 // of all in a fleet above cacheFleet
)

// Estimated sizes in bytes.
const (
	readBytes    = 280 // reading one load report
	recordBytes  = 22  // one load record in a digest
	messageBytes = 64  // one digest without its records
	prefixBytes  = 9   // one prefix in a digest
)

const (
	// smallFleetRead is the least time between two reads of one instance in a
	// small fleet, where no budget applies.
	smallFleetRead = 2 * time.Millisecond
	// cacheFleet is the number of instances up to which cache events are read.
	cacheFleet = 64

	minInterval = 500 * time.Millisecond
	maxInterval = time.Minute
)

// duties counts what one instance reads and sends.
type duties struct {
	members   int // instances in the fleet
	owned     int // engines that it reads first
	records   int // load records that it sends for each round of reads
	receivers int // instances that it sends them to
}

// pace is how often an instance reads and sends.
type pace struct {
	read  time.Duration // between two reads of one engine
	flush time.Duration // between two digests to one instance
	cache bool          // cache events are read
	// prefixes bounds the prefixes in the digests of one flush; 0 is unlimited.
	prefixes int
}

// paceOf keeps the instance within its budgets.
func paceOf(d duties) pace {
	if d.members <= smallFleet {
		return pace{
			read:  max(time.Duration(d.owned)*smallFleetRead, minInterval),
			flush: minInterval,
			cache: true,
		}
	}
	read := max(spread(d.owned*readBytes, readBudget), spread(d.records*recordBytes, recordBudget))
	flush := spread(d.receivers*messageBytes, messageBudget)
	p := pace{
		read:  min(max(read, minInterval), maxInterval),
		flush: min(max(flush, minInterval), maxInterval),
		cache: d.members <= cacheFleet,
	}
	p.prefixes = int(cacheBudget * p.flush.Seconds() / prefixBytes)
	return p
}

// spread returns the time in which a number of bytes fits a budget.
func spread(bytes, perSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(perSecond)
}

// every is the time between two records of one engine.
func (p pace) every() time.Duration { return p.read + p.flush }

// paces returns the pace of every member when all of them work.
func (p *Plan) paces() []pace {
	n := len(p.members)
	all := make([]duties, n)
	sends := make([]bool, n*n) // by sender and receiver
	for _, watchers := range p.watchers {
		if len(watchers) == 0 {
			continue
		}
		d := &all[watchers[0]]
		d.owned++
		d.records += len(watchers) - 1
		for _, to := range watchers[1:] {
			if at := int(watchers[0])*n + int(to); !sends[at] {
				sends[at] = true
				d.receivers++
			}
		}
	}
	list := make([]pace, n)
	for i, d := range all {
		d.members = n
		list[i] = paceOf(d)
	}
	return list
}
