package streamorigin

import "time"

const (
	// lifePerTimeout is how many times the longest timeout of a route the tries of one stream
	// may last together.
	lifePerTimeout = 2
	minQuiet       = 2 * time.Minute
	// closeAfter is the time without servers of the base version after which the base is closed.
	closeAfter = 10 * time.Second
	// settling is the time in which servers register at the first start of a system, and again
	// after a restore of the store.
	settling = 3 * time.Second
	// maxViewAge is the age of the list of servers from which the base is not decided any more,
	// and the time between two lists after which a base is not relied on any more.
	maxViewAge = 10 * time.Second
	// maxWatchGap is the time between two lists in which a version may come and go unseen. Servers
	// are listed for longer.
	maxWatchGap = 5 * time.Second
)

// times are the times that follow from the longest time that a stream may last.
type times struct {
	// life bounds the time from a stream's first event to the last try to take it up.
	life time.Duration
	// trust is how old the list of servers may be by which a stream begins at the base version
	// without a record.
	trust time.Duration
	// quiet is the time without servers of the base version after which the base moves. It is
	// at least trust, life and two maxViewAge together: then all streams without a record have
	// ended.
	quiet time.Duration
}

func timesFor(longestTimeout time.Duration) times {
	life := lifePerTimeout * longestTimeout
	quiet := max(minQuiet, 3*life)
	return times{life: life, trust: quiet*2/3 - 2*maxViewAge, quiet: quiet}
}

// recordLifetime is the time after which a record is deleted by who wrote it.
func (t times) recordLifetime() time.Duration { return t.quiet }
