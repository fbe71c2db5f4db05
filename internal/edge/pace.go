package edge

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/fanout"
)

// What all instances together ask of the store must grow less than their number.
// The more of them share it, the rarer each one speaks; what each one adds to a
// sum then matters less too.
const (
	operatorsWaitEach  = 50 * time.Millisecond
	operatorsWaitLeast = 1500 * time.Millisecond
	operatorsWaitMost  = 3 * time.Second
	// operatorsWaitShare is the part of the revocation bound that the age of the
	// proof may reach while all is well.
	operatorsWaitShare = 0.6

	// In an outage of the store one table finds out that it is back, the more rarely
	// the more instances ask, and the others wait for that.
	retryEach   = 10 * time.Millisecond
	retryLeast  = 500 * time.Millisecond
	retryMost   = 1500 * time.Millisecond
	retryOthers = 3 * time.Second

	serversWaitAlone  = 3 * time.Second
	serversPauseEach  = 20 * time.Millisecond
	serversPauseLeast = 400 * time.Millisecond
	// serversPauseShare is the part of the time within which a leaving server must
	// get nothing new that may pass before its entry is read.
	serversPauseShare = 0.6

	// sourceWait is short, since others rely on a source to notice that it has lost
	// the store.
	sourceWait = 800 * time.Millisecond
	// followPause joins changes that a source passes on.
	followPause = 200 * time.Millisecond

	// sourceReadInterval is the time between two reads of the instances' rows by a
	// source.
	sourceReadInterval = 2 * time.Second
	// earlyReads is the number of reads after a start that follow each other soon.
	earlyReads        = 2
	earlyReadInterval = 1500 * time.Millisecond
	// planningReadInterval is the time between two reads of them by the instance
	// that orders backend servers, and demandInterval how often each one looks
	// whether its demand has grown.
	planningReadInterval = time.Second
	demandInterval       = time.Second

	// The loads of backend servers are told among the instances themselves.
	loadsEach  = 2 * time.Millisecond
	loadsLeast = 200 * time.Millisecond
	loadsMost  = time.Second

	presenceEach  = 70 * time.Millisecond
	presenceLeast = 3 * time.Second
	presenceMost  = 6 * time.Second

	saveEach  = 60 * time.Millisecond
	saveLeast = time.Second
)

// operatorsWait is how long the store holds a call for the configuration back. It
// bounds the age of the proof that a key is in force, so that in an outage of the
// store requests are refused the sooner the longer it is.
func operatorsWait(p part, instances int, revocation time.Duration) time.Duration {
	switch p {
	case partSource:
		return sourceWait
	case partFollows:
		return fanout.FollowWait
	}
	wait := clamp(time.Duration(instances)*operatorsWaitEach, operatorsWaitLeast, operatorsWaitMost)
	if revocation <= 0 {
		return wait
	}
	return min(wait, time.Duration(operatorsWaitShare*float64(revocation-revocationMargin)))
}

// operatorsRetry is the longest wait before a call for the configuration after
// failed ones.
func operatorsRetry(instances int) time.Duration {
	return clamp(time.Duration(instances)*retryEach, retryLeast, retryMost)
}

// othersRetry is the same for tables that hear from the operators' that the store
// is back.
func othersRetry() time.Duration { return retryOthers }

// serversWait is how long a call for the servers' entries is held back.
func serversWait(p part) time.Duration {
	switch p {
	case partSource:
		return sourceWait
	case partFollows:
		return fanout.FollowWait
	}
	return serversWaitAlone
}

// serversPause is the time between two reads of the backend servers' entries; it
// joins the changes of several servers.
func serversPause(p part, instances int, leaving time.Duration) time.Duration {
	if p == partFollows {
		return followPause
	}
	most := time.Duration(serversPauseShare * float64(leaving))
	return clamp(time.Duration(instances)*serversPauseEach, serversPauseLeast, max(most, serversPauseLeast))
}

// presenceInterval is the time between two writes of the own row, and between two
// reads of the others'.
func presenceInterval(instances int) time.Duration {
	return clamp(time.Duration(instances)*presenceEach, presenceLeast, presenceMost)
}

// loadsInterval is the time between two reports of loads to another instance.
func loadsInterval(instances int) time.Duration {
	return clamp(time.Duration(instances)*loadsEach, loadsLeast, loadsMost)
}

// saveInterval is the time between two writes of the own counts, at most a window.
func saveInterval(instances int, window time.Duration) time.Duration {
	return clamp(time.Duration(instances)*saveEach, saveLeast, max(window, saveLeast))
}

func clamp(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }
