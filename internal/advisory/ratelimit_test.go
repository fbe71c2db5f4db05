package advisory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRateLimitOrder guards against a limit that ends, or rises, by an answer that may have
// been written before the newest one that states it.
func TestRateLimitOrder(t *testing.T) {
	base := time.Unix(1_700_000_000, 0)
	type answer struct {
		from, to int // ms
		rate     float64
		partial  bool
	}
	for name, c := range map[string]struct {
		answers []answer
		want    float64
	}{
		"stated":                       {[]answer{{0, 10, 2, false}}, 2},
		"ends":                         {[]answer{{0, 10, 2, false}, {11, 20, 0, false}}, 0},
		"falls":                        {[]answer{{0, 10, 2, false}, {11, 20, 1, false}}, 1},
		"rises":                        {[]answer{{0, 10, 1, false}, {11, 20, 2, false}}, 2},
		"answer of a request before":   {[]answer{{0, 10, 2, false}, {5, 20, 0, false}}, 2},
		"late answer":                  {[]answer{{20, 30, 2, false}, {0, 10, 0, false}}, 2},
		"long answer with another":     {[]answer{{0, 100, 2, false}, {50, 60, 3, false}}, 2},
		"lower of two":                 {[]answer{{0, 100, 3, false}, {50, 60, 2, false}}, 2},
		"begins while another runs":    {[]answer{{0, 100, 0, false}, {50, 60, 2, false}}, 2},
		"informational ends nothing":   {[]answer{{0, 10, 2, false}, {11, 20, 0, true}}, 2},
		"informational states a limit": {[]answer{{0, 10, 2, true}}, 2},
		"ends after an overlap":        {[]answer{{0, 10, 2, false}, {5, 20, 0, false}, {21, 30, 0, false}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s State[time.Time]
			for _, a := range c.answers {
				s.Observe(Heard[time.Time]{
					Advisory: Advisory{RateLimit: a.rate}, Partial: a.partial,
					From: base.Add(time.Duration(a.from) * time.Millisecond), To: base.Add(time.Duration(a.to) * time.Millisecond),
				})
			}
			is.Equal(s.RateLimit(base.Add(time.Minute)), c.want)
		})
	}
}

// TestLimitEndsWithoutHerd guards against all instances sending at once when a limit ends.
func TestLimitEndsWithoutHerd(t *testing.T) {
	is := is.New(t)
	base := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return base.Add(time.Duration(seconds * float64(time.Second))) }
	var s State[time.Time]
	s.Observe(Heard[time.Time]{Advisory: Advisory{RateLimit: 2}, From: at(0), To: at(1)})
	is.Equal(s.RateLimit(at(100)), 2.0) // it does not end by time
	is.True(s.NamesLimit(at(2)))
	is.True(!s.NamesLimit(at(100)))
	s.Observe(Heard[time.Time]{From: at(2), To: at(3)})
	is.Equal(s.RateLimit(at(3)), 2.0)
	is.Equal(s.RateLimit(at(5)), 8.0)
	is.Equal(s.RateLimit(at(3).Add(recoveryTime)), 0.0)
	s.Observe(Heard[time.Time]{Advisory: Advisory{RateLimit: 1}, From: at(4), To: at(5)})
	is.Equal(s.RateLimit(at(5)), 1.0)
}
