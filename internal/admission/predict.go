package admission

import (
	"math"
	"time"
)

const (
	// historyWindow is how long a sample counts; it is dropped after at most two.
	historyWindow = 30 * time.Second
	historyBase   = time.Millisecond // upper bound of the first bucket
	historyGrowth = 1.25             // ratio of neighbouring buckets
	historyLen    = 64               // the last bucket holds everything above 20 min
	// minSamples is the number of samples below which nothing is predicted.
	minSamples = 20
)

// History keeps recent durations of a class and gives their quantiles. The zero
// History is empty.
type History struct {
	current, previous histogram
	since             time.Time
}

type histogram struct {
	buckets [historyLen]uint32
	count   uint32
}

// Add takes one sample.
func (h *History) Add(now time.Time, d time.Duration) {
	h.rotate(now)
	h.current.buckets[bucketOf(d)]++
	h.current.count++
}

// Quantile returns the duration that the share q of recent samples did not
// exceed; false when too few are known to predict.
func (h *History) Quantile(now time.Time, q float64) (time.Duration, bool) {
	h.rotate(now)
	total := h.current.count + h.previous.count
	if total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(q * float64(total)))
	seen := uint32(0)
	for i := range historyLen {
		seen += h.current.buckets[i] + h.previous.buckets[i]
		if seen >= rank {
			return bucketTop(i), true
		}
	}
	return bucketTop(historyLen - 1), true
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

var historyTops = func() (tops [historyLen]time.Duration) {
	top := float64(historyBase)
	for i := range tops {
		tops[i] = time.Duration(top)
		top *= historyGrowth
	}
	return tops
}()

func bucketTop(i int) time.Duration { return historyTops[i] }

func bucketOf(d time.Duration) int {
	if d <= historyBase {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(historyBase)) / math.Log(historyGrowth)))
	return min(i, historyLen-1)
}

// Ahead estimates how many waiting requests start before e, which waits: the
// entries of higher tiers, and in its own tier what fair sharing puts first.
func (q *Queue[T]) Ahead(e *Entry[T]) (higher, own int) {
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

// ahead is the number of the class's entries that start before the tenant's
// newest entry e.
func (c *class[T]) ahead(e *Entry[T]) int {
	t := e.tenant
	start := t.tail() - e.Cost/t.weight
	share := (start - c.now) * c.weights / e.Cost
	return min(max(int(share), t.waiting.length-1), c.length-1)
}
