package retrybudget

import "time"

const (
	windowBuckets = 20
	// windowUtilisation is the part of the limit that is used. The margin is needed
	// because arrivals are counted slightly later than retries are permitted here.
	windowUtilisation = 0.8
)

// Window limits the retries in any sliding window to a share of the requests in it
// plus a fixed number. It counts in buckets. It is pure: callers pass the time
// since any fixed moment. It is not safe for concurrent use.
type Window struct {
	ratio        float64
	slack        float64
	bucketWidth  time.Duration
	newestBucket int64 // number of the newest bucket since time zero
	requests     [windowBuckets]float64
	retries      [windowBuckets]float64
}

// NewWindow returns a window of length span that allows ratio retries per request
// plus slack.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucketWidth: span / (windowBuckets - 1)}
}

// SetSlack changes the fixed number of retries.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// CountRequest counts one request.
func (w *Window) CountRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.newestBucket%windowBuckets]++
}

// Take counts one retry if the limit allows it, and reports whether it does.
func (w *Window) Take(now time.Duration) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.retries[w.newestBucket%windowBuckets]++
	return true
}

// Remaining returns how many more retries the limit allows now. It is negative when
// requests that permitted earlier retries have left the window.
func (w *Window) Remaining(now time.Duration) float64 {
	w.advance(now)
	requests, retries := 0.0, 0.0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return windowUtilisation*(w.ratio*requests+w.slack) - retries
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Duration) {
	current := int64(now / w.bucketWidth)
	for n := max(w.newestBucket+1, current-windowBuckets+1); n <= current; n++ {
		w.requests[n%windowBuckets] = 0
		w.retries[n%windowBuckets] = 0
	}
	w.newestBucket = max(w.newestBucket, current)
}
