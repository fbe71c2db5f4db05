package balanceexp

import "time"

// Day describes the disturbance in the middle third of a run. The zero value is a
// calm day.
type Day struct {
	Name string
	// BurstFactor multiplies the arrival rate. Zero means 1.
	BurstFactor float64
	// HotOrganisationFactor multiplies the arrival rate of the second smallest
	// organisation. Zero means no change.
	HotOrganisationFactor float64
	// HotPrefixShare is the share of long prompts that use one prefix.
	HotPrefixShare float64
	// RetryShare is the share of callers that retry a rejected request immediately,
	// up to five times. Other callers retry once, after the delay that they were
	// given.
	RetryShare float64
	// SlowShare is the share of servers that take SlowFactor times as long.
	SlowShare, SlowFactor float64
	// GreyShare is the share of servers that fail half of their requests.
	GreyShare float64
	// CrashedShare is the share of servers that crash. Instances learn of it after
	// a second.
	CrashedShare float64
	// LimitedShare is the share of servers that name a rate limit of Limit requests per
	// second. With LimitFalls the limit halves in steps.
	LimitedShare, Limit float64
	LimitFalls          bool
	// RestartEvery is the interval at which instances restart in turn. Zero means that
	// none does.
	RestartEvery time.Duration
	// MemoryFactor multiplies the engines' memory during the whole run. Zero means
	// 1.
	MemoryFactor float64

	from, to time.Duration
}

// hotKind is the kind of request that uses the hot prefix.
const hotKind = "long"

// Days returns all simulated days.
func Days() []Day {
	return append([]Day{
		{Name: "calm"},
		{Name: "burst", BurstFactor: 1.7},
		{Name: "hot organisation", HotOrganisationFactor: 7.5},
		{Name: "hot prefix", HotPrefixShare: 0.5},
		{Name: "repeat at once", BurstFactor: 1.7, RetryShare: 0.5},
		{Name: "slow servers", SlowShare: 0.2, SlowFactor: 5},
		{Name: "grey servers", GreyShare: 0.2},
		{Name: "lost servers", CrashedShare: 0.3},
		{Name: "small memory", MemoryFactor: 0.2},
	}, limitDays()...)
}

// DayNamed returns the day with the given name, and false if there is none.
func DayNamed(name string) (Day, bool) {
	for _, d := range Days() {
		if d.Name == name {
			return d, true
		}
	}
	return Day{}, false
}

// disturbed reports whether a time lies in the disturbed third.
func (d Day) disturbed(at time.Duration) bool { return at >= d.from && at < d.to }

// withWindow sets the window of the disturbance in a run of the given length, and
// the defaults.
func (d Day) withWindow(length time.Duration) Day {
	d.from, d.to = length/3, 2*length/3
	if d.BurstFactor == 0 {
		d.BurstFactor = 1
	}
	if d.MemoryFactor == 0 {
		d.MemoryFactor = 1
	}
	return d
}
