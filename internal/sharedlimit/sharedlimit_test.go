package sharedlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var origin = time.Unix(1_700_000_000, 0)

func TestPerSecond(t *testing.T) {
	is := is.New(t)
	is.Equal(PerSecond(1), Limit{4, rateWindow})
	is.Equal(PerSecond(0.3), Limit{1, rateWindow})
	is.Equal(PerSecond(0.1), Limit{1, 10 * time.Second})
	is.Equal(PerSecond(2.6), Limit{10, rateWindow})
}

func TestShareSumAndMonotonicity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 40).Draw(t, "members")
		total := rapid.IntRange(0, 100).Draw(t, "total")
		sum := 0
		for rank := range members {
			n := Share(total, rank, members)
			if Share(total+1, rank, members) < n {
				t.Fatalf("rank %d of %d loses a slot when the total grows to %d", rank, members, total+1)
			}
			sum += n
		}
		if sum != total {
			t.Fatalf("shares of %d members sum to %d, want %d", members, sum, total)
		}
	})
}

// TestNoWindowExceedsShare sends whenever it is allowed and counts every window.
func TestNoWindowExceedsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 20).Draw(t, "share")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 900), 1, 200).Draw(t, "gaps in ms")
		var s Sends[time.Time]
		var sent []time.Time
		now := origin
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			allowed := s.Allow(now, rateWindow, share)
			if allowed != !s.AllowedAt(now, rateWindow, share).After(now) || allowed != (s.Free(now, rateWindow, share) > 0) {
				t.Fatal("Allow, AllowedAt and Free disagree")
			}
			if used := len(s.AppendRenewals(nil, now, rateWindow, share)); used+s.Free(now, rateWindow, share) != share {
				t.Fatalf("%d renewals and %d free of %d", used, s.Free(now, rateWindow, share), share)
			}
			if allowed {
				s.Add(now, share)
				sent = append(sent, now)
			}
		}
		for i := share; i < len(sent); i++ {
			if sent[i].Sub(sent[i-share]) < rateWindow {
				t.Fatalf("%d requests within a window", share+1)
			}
		}
	})
}

func TestSendsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Sends[time.Time]
	for n := range 10 * maxKept {
		s.Add(origin.Add(time.Duration(n)), 10*maxKept)
		is.True(len(s.times) <= 2*maxKept)
	}
	last, ok := s.latest(1)
	is.True(ok && last.Equal(origin.Add(10*maxKept-1)))
	is.True(!s.Allow(origin, time.Hour, maxKept))
	is.True(s.Allow(origin, time.Hour, 2*maxKept+1)) // not limited
}
