package demand

import (
	"sync"
	"time"
)

const (
	bucketLength = 5 * time.Second
	buckets      = 12 // one minute in all
)

// Recent counts the requests that ended within the last minute, by model and
// class, and how many of them met their class's target. It is safe for
// concurrent use. The zero value is not usable; see NewRecent.
type Recent struct {
	mu     sync.Mutex
	counts map[lineKey]*window
}

// window is a ring of counts; index is the absolute number of the newest bucket.
type window struct {
	index   int64
	buckets [buckets]count
}

type count struct{ answered, inTime int64 }

// NewRecent returns empty counts.
func NewRecent() *Recent { return &Recent{counts: make(map[lineKey]*window)} }

// Ended counts one request.
func (r *Recent) Ended(now time.Time, model, class string, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := lineKey{model, class}
	w := r.counts[key]
	if w == nil {
		w = new(window)
		r.counts[key] = w
	}
	w.advance(bucketOf(now))
	c := &w.buckets[w.index%buckets]
	c.answered++
	if inTime {
		c.inTime++
	}
}

// Lines returns the counts as lines without queued and running requests.
// Counts that have become empty are forgotten.
func (r *Recent) Lines(now time.Time) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []Line
	for key, w := range r.counts {
		w.advance(bucketOf(now))
		line := Line{Model: key.model, Class: key.class}
		for _, c := range w.buckets {
			line.Answered += c.answered
			line.InTime += c.inTime
		}
		if line.Answered == 0 {
			delete(r.counts, key)
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// advance empties the buckets between the newest one and the given one.
func (w *window) advance(index int64) {
	if index <= w.index {
		return
	}
	for i := max(w.index+1, index-buckets+1); i <= index; i++ {
		w.buckets[i%buckets] = count{}
	}
	w.index = index
}
