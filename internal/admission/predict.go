package admission

import (
	"math"
	"time"
)

const (
	// historyWindow is how long a sample counts at least. It is dropped after at
	// most twice that time.
	historyWindow  = 30 * time.Second
	minBucketBound = time.Millisecond // upper bound of the first bucket
	historyGrowth  = 1.25             // ratio between the bounds of neighbouring buckets
	historyBuckets = 64               // the last bucket holds everything above 20 min
	// minSamples is the number of samples needed for a prediction.
	minSamples = 20
)

// History estimates quantiles of recent durations with exponential histogram
// buckets. The zero value is an empty history. It is not safe for concurrent use.
type History struct {
	current, previous histogram
	since             time.Time
}

type histogram struct {
	buckets [historyBuckets]uint32
	count   uint32
}

// Observe records a duration.
func (h *History) Observe(now time.Time, d time.Duration) {
	h.rotate(now)
	h.current.buckets[bucketIndex(d)]++
	h.current.count++
}

// Quantile returns an upper bound for the quantile q of recent durations. It
// returns false when there are too few samples.
func (h *History) Quantile(now time.Time, q float64) (time.Duration, bool) {
	h.rotate(now)
	total := h.current.count + h.previous.count
	if total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(q * float64(total)))
	seen := uint32(0)
	for i := range historyBuckets {
		seen += h.current.buckets[i] + h.previous.buckets[i]
		if seen >= rank {
			return bucketBound(i), true
		}
	}
	return bucketBound(historyBuckets - 1), true
}

func (h *History) rotate(now time.Time) {
	age := now.Sub(h.since)
	if age < historyWindow {
		return
	}
	if age < 2*historyWindow {
		h.previous = h.current
	} else {
		h.previous = histogram{}
	}
	h.current = histogram{}
	h.since = now
}

var bucketBounds = func() (bounds [historyBuckets]time.Duration) {
	bound := float64(minBucketBound)
	for i := range bounds {
		bounds[i] = time.Duration(bound)
		bound *= historyGrowth
	}
	return bounds
}()

func bucketBound(i int) time.Duration { return bucketBounds[i] }

func bucketIndex(d time.Duration) int {
	if d <= minBucketBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(minBucketBound)) / math.Log(historyGrowth)))
	return min(i, historyBuckets-1)
}

// EstimateAhead estimates how many waiting requests will start before the waiting entry e:
// higher counts the entries of higher tiers, and own those of its own tier that
// fair sharing puts first. Both are 0 for urgent entries and for entries that do
// not wait.
func (q *Queue[T]) EstimateAhead(e *Entry[T]) (higher, own int) {
	mine := e.class
	if mine == nil || e.Urgent {
		return 0, 0
	}
	inClass := mine.ahead(e)
	own = inClass
	for _, c := range q.classes {
		switch {
		case c.Tier > mine.Tier:
			return higher, own
		case c == mine:
		case c.Tier < mine.Tier:
			higher += c.length
		default:
			own += min(c.length, inClass+1)
		}
	}
	return higher, own
}

// ahead estimates the number of the class's entries that start before e, the newest
// entry of its tenant.
func (c *class[T]) ahead(e *Entry[T]) int {
	t := e.tenant
	start := t.tail() - e.Cost/t.weight
	share := (start - c.virtualTime) * c.waitingWeight / e.Cost
	return min(max(int(share), t.waiting.length-1), c.length-1)
}
