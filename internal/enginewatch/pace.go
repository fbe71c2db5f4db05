package enginewatch

import "time"

// Budgets of one instance in a large fleet, in bytes per second, without the
// headers of TCP, UDP and IP.
const (
	readBudget      = 800 // requests to engines and their answers, without cache events
	recordBudget    = 400 // load records to other instances
	messageBudget   = 200 // envelopes and packets around the records
	cacheSendBudget = 100 // cache records to other instances
	cacheReadBudget = 300 // answers with cache events; more turns them off for a while
	totalBudget     = 1500
)

// Estimated sizes in bytes.
const (
	readBytes    = 320 // reading one load report
	recordBytes  = 22  // one load record in a digest
	messageBytes = 58  // one digest without its records
	prefixBytes  = 9   // one prefix in a digest
)

const (
	// smallFleet is the number of instances up to which no budget applies, and
	// smallFleetRead the time between two reads of an instance there at least.
	smallFleet     = 16
	smallFleetRead = 2 * time.Millisecond
	// cacheFleet is the number of instances up to which the reading of cache
	// events has no budget.
	cacheFleet = 64

	minInterval = 500 * time.Millisecond
	maxRead     = 30 * time.Second
	maxFlush    = 4 * time.Second // an idle connection between instances ends after 5 s
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
	// cacheRead and cacheSend are budgets in bytes per second; 0 is unlimited.
	cacheRead, cacheSend int
}

// paceOf keeps the instance within its budgets.
func paceOf(d duties) pace {
	if d.members <= smallFleet {
		return pace{
			read:  max(time.Duration(d.owned)*smallFleetRead, minInterval),
			flush: minInterval,
		}
	}
	p := pace{
		read: max(
			spread(d.owned*readBytes, readBudget),
			spread(d.records*recordBytes, recordBudget),
			minInterval,
		),
		flush:     max(spread(d.receivers*messageBytes, messageBudget), minInterval),
		cacheSend: cacheSendBudget,
	}
	if d.members > cacheFleet {
		p.cacheRead = cacheReadBudget
	}
	p.read = min(p.read, maxRead)
	p.flush = min(p.flush, max(maxFlush, p.read))
	return p
}

// spread returns the time in which a number of bytes fits a budget.
func spread(bytes, perSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(perSecond)
}

// takeover is how long an instance waits for each one before it in the order of
// readers before it reads an engine itself.
func (p pace) takeover() time.Duration { return max(p.read, p.flush) + minInterval }
