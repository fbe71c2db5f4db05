package edge

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/fanout"
)

// The load on the store must grow more slowly than the number of instances. The
// intervals therefore increase with that number, within bounds. Less frequent updates
// are acceptable because each instance then contributes less to the totals.
const (
	operatorsWaitPerInstance = 50 * time.Millisecond
	minOperatorsWait         = 1500 * time.Millisecond
	maxOperatorsWait         = 3 * time.Second
	// operatorsWaitFraction is the fraction of the revocation bound that the age of
	// the configuration may reach in normal operation.
	operatorsWaitFraction = 0.6

	// During an outage of the store, the follower of the operators' table retries,
	// with a delay that grows with the number of instances. The other followers wait
	// for its first answer, at most maxOtherTablesRetryDelay.
	retryPerInstance         = 10 * time.Millisecond
	minRetryDelay            = 500 * time.Millisecond
	maxRetryDelay            = 1500 * time.Millisecond
	maxOtherTablesRetryDelay = 3 * time.Second

	standaloneServersWait   = 3 * time.Second
	serversPausePerInstance = 20 * time.Millisecond
	minServersPause         = 400 * time.Millisecond
	// serversPauseFraction is the fraction of Bounds.Leaving that may pass before a
	// draining server's entry is read.
	serversPauseFraction = 0.6

	// sourceWait is short because followers depend on their source to detect an
	// outage of the store.
	sourceWait = 800 * time.Millisecond
	// followerPause batches the changes that a source serves.
	followerPause = 200 * time.Millisecond

	// sourceReadInterval is the interval at which a source reads the instances' rows.
	sourceReadInterval = 2 * time.Second
	// startupReads is the number of reads after a start with the shorter
	// startupReadInterval.
	startupReads        = 2
	startupReadInterval = 1500 * time.Millisecond
	// planningReadInterval is the interval at which the instance that orders backend
	// servers reads the instances' rows. demandCheckInterval is the interval at which
	// each instance checks whether its demand has grown.
	planningReadInterval = time.Second
	demandCheckInterval  = time.Second

	// Load reports are sent between the instances, not through the store.
	loadsPerInstance = 2 * time.Millisecond
	minLoadsInterval = 200 * time.Millisecond
	maxLoadsInterval = time.Second

	presencePerInstance = 70 * time.Millisecond
	minPresenceInterval = 3 * time.Second
	maxPresenceInterval = 6 * time.Second

	savePerInstance = 60 * time.Millisecond
	minSaveInterval = time.Second
)

// operatorsWait returns how long the store may hold a call for the operators' table.
// It bounds the age of the keys in normal operation. The longer it is, the older the
// keys may be when an outage of the store begins, and the sooner requests are refused.
func operatorsWait(role readRole, instances int, revocation time.Duration) time.Duration {
	switch role {
	case roleSource:
		return sourceWait
	case roleFollower:
		return fanout.LongPollWait
	}
	wait := clamp(time.Duration(instances)*operatorsWaitPerInstance, minOperatorsWait, maxOperatorsWait)
	if revocation <= 0 {
		return wait
	}
	return min(wait, time.Duration(operatorsWaitFraction*float64(revocation-revocationMargin)))
}

// operatorsRetryDelay returns the maximum backoff for the operators' table.
func operatorsRetryDelay(instances int) time.Duration {
	return clamp(time.Duration(instances)*retryPerInstance, minRetryDelay, maxRetryDelay)
}

// otherTablesRetryDelay returns the maximum backoff for the tables whose backoff ends
// with an answer for the operators' table.
func otherTablesRetryDelay() time.Duration { return maxOtherTablesRetryDelay }

// serversWait returns how long the store may hold a call for the servers' table.
func serversWait(role readRole) time.Duration {
	switch role {
	case roleSource:
		return sourceWait
	case roleFollower:
		return fanout.LongPollWait
	}
	return standaloneServersWait
}

// serversPause returns the minimum interval between two reads of the servers' table. It
// batches the changes of several servers.
func serversPause(role readRole, instances int, leaving time.Duration) time.Duration {
	if role == roleFollower {
		return followerPause
	}
	maxPause := time.Duration(serversPauseFraction * float64(leaving))
	return clamp(time.Duration(instances)*serversPausePerInstance, minServersPause, max(maxPause, minServersPause))
}

// presenceInterval returns the interval between two writes of this instance's row, and
// between two reads of the others' rows.
func presenceInterval(instances int) time.Duration {
	return clamp(time.Duration(instances)*presencePerInstance, minPresenceInterval, maxPresenceInterval)
}

// loadsInterval returns the interval between two load reports to another instance.
func loadsInterval(instances int) time.Duration {
	return clamp(time.Duration(instances)*loadsPerInstance, minLoadsInterval, maxLoadsInterval)
}

// saveInterval returns the interval between two writes of this instance's usage counts.
// It is at most a window, or minSaveInterval if that is longer.
func saveInterval(instances int, window time.Duration) time.Duration {
	return clamp(time.Duration(instances)*savePerInstance, minSaveInterval, max(window, minSaveInterval))
}

func clamp(d, lowest, highest time.Duration) time.Duration { return min(max(d, lowest), highest) }
