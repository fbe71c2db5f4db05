package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRetriesWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		now := time.Unix(0, 0)
		b := New(ratio, now)
		attempts, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "attempt") {
				b.CountAttempt()
				attempts++
			} else if b.Take(now) {
				retries++
			}
		}
		if float64(retries) > ratio*float64(attempts)+initialTokens {
			t.Fatalf("%d retries for %d attempts at ratio %v", retries, attempts, ratio)
		}
	})
}

func TestZeroRatioForbidsRetries(t *testing.T) {
	is := is.New(t)
	b := New(0, time.Unix(0, 0))
	b.CountAttempt()
	is.True(!b.Take(time.Unix(3600, 0)))
}

func TestEmptyBudgetRefills(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	b := New(0.1, start)
	for range initialTokens {
		is.True(b.Take(start))
	}
	is.True(!b.Take(start))
	is.True(b.Take(start.Add(refillInterval)))
}
