package order

import (
	"sync"
	"time"
)

const (
	recentBucket  = 5 * time.Second
	recentBuckets = 12 // 12 buckets of 5 s cover one minute
)

// Recent counts the requests that ended within the last minute by model and class, and
// how many of them met the target of their class. It is safe for concurrent use.
type Recent struct {
	mu      sync.Mutex
	windows map[recentKey]*recentWindow
}

type recentKey struct{ model, class string }

// recentWindow is a ring buffer of counts. newest is the absolute number of its newest
// bucket.
type recentWindow struct {
	newest  int64
	buckets [recentBuckets]recentCount
}

type recentCount struct{ met, missed int }

// NewRecent returns a Recent without counts.
func NewRecent() *Recent { return &Recent{windows: make(map[recentKey]*recentWindow)} }

// Ended counts a request that ended at now. inTime tells whether it met its class's
// target.
func (r *Recent) Ended(now time.Time, model, class string, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := recentKey{model, class}
	w := r.windows[key]
	if w == nil {
		w = new(recentWindow)
		r.windows[key] = w
	}
	w.advance(bucketNumber(now))
	c := &w.buckets[w.newest%recentBuckets]
	if inTime {
		c.met++
		return
	}
	c.missed++
}

// Loads returns the counts of the last minute; Queued and Running are zero. Entries
// without requests are removed.
func (r *Recent) Loads(now time.Time) []ClassLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []ClassLoad
	for key, w := range r.windows {
		w.advance(bucketNumber(now))
		l := ClassLoad{Model: key.model, Class: key.class}
		for _, c := range w.buckets {
			l.Met += c.met
			l.Missed += c.missed
		}
		if l.Met+l.Missed == 0 {
			delete(r.windows, key)
			continue
		}
		loads = append(loads, l)
	}
	return loads
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(recentBucket) }

// advance clears the buckets after the newest one, up to the given one.
func (w *recentWindow) advance(number int64) {
	if number <= w.newest {
		return
	}
	for i := max(w.newest+1, number-recentBuckets+1); i <= number; i++ {
		w.buckets[i%recentBuckets] = recentCount{}
	}
	w.newest = number
}
