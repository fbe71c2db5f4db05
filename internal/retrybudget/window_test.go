package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWindowLimitsRetries(t *testing.T) {
	is := is.New(t)
	const span, ratio, slack = 10 * time.Second, 0.2, 5.0
	w := NewWindow(span, ratio, slack)
	type sample struct {
		at    time.Duration
		retry bool
	}
	var history []sample
	for now := time.Hour; now < time.Hour+time.Minute; now += 10 * time.Millisecond {
		if now%(50*time.Millisecond) == 0 {
			w.CountRequest(now)
			history = append(history, sample{now, false})
		}
		if w.Take(now) {
			history = append(history, sample{now, true})
		}
	}
	for _, end := range history {
		requests, retries := 0.0, 0.0
		for _, s := range history {
			if s.at > end.at-span && s.at <= end.at {
				if s.retry {
					retries++
				} else {
					requests++
				}
			}
		}
		if retries > ratio*requests+slack {
			t.Fatalf("%v retries for %v requests in the window that ends at %v", retries, requests, end.at)
		}
	}
	is.True(len(history) > 1200)
}

func TestWindowSlides(t *testing.T) {
	is := is.New(t)
	w := NewWindow(10*time.Second, 0, 5)
	now := time.Hour
	taken := 0
	for w.Take(now) {
		taken++
	}
	is.Equal(taken, 4) // four fifths of the limit
	is.True(!w.Take(now + 9*time.Second))
	is.True(w.Take(now + 12*time.Second))
}
