package enginesim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var spec = Spec{
	MaxBatch: 4, MinStep: 5 * time.Millisecond, StepPerRequest: time.Millisecond, StepPerContext: 0,
	PrefillRate: 50, AttentionTime: 0, Delay: 10 * time.Millisecond, MaxChunk: 1000, MemoryTokens: 20_000, TokensPerEvent: 2,
}

// runUntilIdle advances an engine until it is idle and returns the time.
func runUntilIdle(e *Engine) time.Duration {
	now := time.Duration(0)
	for {
		next, ok := e.Next()
		if !ok {
			return now
		}
		now = next
		e.Advance(now)
	}
}

// seen records the events of one request.
type seen struct {
	at   []time.Duration
	done bool
}

func (s *seen) request(output int, parts ...Part) *Request {
	return &Request{Parts: parts, Output: output, Event: func(at time.Duration, last bool) {
		s.at = append(s.at, at)
		s.done = s.done || last
	}}
}

func TestChunkedPrefill(t *testing.T) {
	is := is.New(t)
	e := New(spec)
	var s seen
	e.Add(0, s.request(4, Part{1, 2500}))
	runUntilIdle(e)
	is.True(s.done)
	// Delay, prefill of 1,000, 1,000 and 500 tokens, two decode steps to the first event.
	first := 10*time.Millisecond + 25*time.Millisecond + 25*time.Millisecond + 15*time.Millisecond + 2*6*time.Millisecond
	is.Equal(s.at, []time.Duration{first, first + 12*time.Millisecond})
	is.Equal(e.PrefilledTokens, 2500)
}

func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	e := New(spec)
	var first, second, third seen
	e.Add(0, first.request(1, Part{1, 3000}, Part{2, 100}))
	end := runUntilIdle(e)
	e.Add(end, second.request(1, Part{1, 3000}, Part{3, 100}))
	end = runUntilIdle(e)
	is.Equal(e.PrefilledTokens, 3100+100)
	e.Add(end, third.request(1, Part{4, 18_000})) // evicts the cached parts
	end = runUntilIdle(e)
	var fourth seen
	e.Add(end, fourth.request(1, Part{1, 3000}))
	runUntilIdle(e)
	is.Equal(e.PrefilledTokens, 3200+18_000+3000)
}

func TestPrefillDelaysDecode(t *testing.T) {
	is := is.New(t)
	longestGap := func(long bool) time.Duration {
		e := New(spec)
		var s, other seen
		e.Add(0, s.request(200, Part{1, 100}))
		if long {
			e.Add(0, other.request(1, Part{2, 10_000}))
		}
		runUntilIdle(e)
		longest := time.Duration(0)
		for i := 1; i < len(s.at); i++ {
			longest = max(longest, s.at[i]-s.at[i-1])
		}
		return longest
	}
	is.Equal(longestGap(false), 12*time.Millisecond)
	is.Equal(longestGap(true), 2*26*time.Millisecond) // two steps with a prefill chunk each
}

func TestPreemption(t *testing.T) {
	is := is.New(t)
	small := spec
	small.MemoryTokens = 1200
	e := New(small)
	var old, young seen
	e.Add(0, old.request(400, Part{1, 500}))
	e.Add(0, young.request(300, Part{2, 500}))
	runUntilIdle(e)
	is.True(old.done && young.done)
	is.True(e.Preempted > 0)
	is.True(young.at[len(young.at)-1] > old.at[len(old.at)-1])
	is.True(e.PrefilledTokens > 1000) // a prompt was prefilled again after the preemption
}

func TestSlowdownAndCrash(t *testing.T) {
	is := is.New(t)
	e := New(spec)
	var s seen
	e.Add(0, s.request(2, Part{1, 500}))
	is.Equal(runUntilIdle(e), 37*time.Millisecond) // 10 + 15 + 2*6
	e = New(spec)
	e.SetSlow(3)
	e.Add(0, s.request(2, Part{1, 500}))
	is.Equal(runUntilIdle(e), 10*time.Millisecond+3*27*time.Millisecond)
	e.Add(time.Second, s.request(2, Part{1, 500}))
	is.Equal(len(e.Crash()), 1)
	e.Add(2*time.Second, s.request(2, Part{1, 500}))
	runUntilIdle(e)
	is.Equal(e.PrefilledTokens, 1000)
}
