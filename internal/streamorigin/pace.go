package streamorigin

import "time"

const (
	// storeShare is the share of the store's calls that write, and partShare that of the
	// transactions of one part, that all instances together use for records.
	storeShare = 0.3
	partShare  = 0.75
)

// Rate returns the transactions a second that all instances together may use for records, where
// the store takes writes calls a second that write and parts parts take partWrites transactions
// a second each.
func Rate(writes, partWrites float64, parts int) float64 {
	return min(storeShare*writes, partShare*partWrites*float64(parts))
}

// writeInterval returns the least time between two transactions, or two resumptions, of one instance.
func writeInterval(instances int, rate float64) time.Duration {
	return time.Duration(float64(max(1, instances)) / rate * float64(time.Second))
}

const (
	baseReadPerInstance = 20 * time.Millisecond
	minBaseReadInterval = time.Second
	maxBaseReadInterval = 6 * time.Second
)

// baseReadInterval returns the time between two reads of the base rows by an instance that does
// not know all of them.
func baseReadInterval(instances int) time.Duration {
	return min(max(time.Duration(instances)*baseReadPerInstance, minBaseReadInterval), maxBaseReadInterval)
}
