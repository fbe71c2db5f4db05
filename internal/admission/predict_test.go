package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHistoryQuantiles(t *testing.T) {
	is := is.New(t)
	var h History
	_, known := h.Quantile(epoch, 0.5)
	is.True(!known)
	for i := range 100 {
		h.Observe(epoch, time.Duration(i+1)*10*time.Millisecond)
	}
	median, known := h.Quantile(epoch, 0.5)
	is.True(known)
	is.True(median >= 500*time.Millisecond && median <= 625*time.Millisecond)
	_, known = h.Quantile(epoch.Add(3*historyWindow), 0.5)
	is.True(!known) // expired samples must not cause rejections
}

func TestAhead(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "high", Tier: 1}, {Name: "low", Tier: 2}})
	for n := range 10 {
		_, _ = q.Push(entry("high", "o", n))
		_, _ = q.Push(entry("low", "large", n))
	}
	small := entry("low", "small", 11)
	_, _ = q.Push(small)
	higher, own := q.EstimateAhead(small)
	is.Equal(higher, 10)
	is.True(own <= 2) // the backlog of the large organisation does not come first
	large := entry("low", "large", 12)
	_, _ = q.Push(large)
	_, own = q.EstimateAhead(large)
	is.True(own >= 10)
}

func TestLimitConverges(t *testing.T) {
	is := is.New(t)
	const sustainable = 9
	l := NewLimit(32)
	now := epoch
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		l.Observe(now, l.Value() > sustainable, l.Value())
	}
	is.True(l.Value() >= sustainable/2 && l.Value() <= sustainable+1)
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		l.Observe(now, false, l.Value())
	}
	is.Equal(l.Value(), 32) // recovers to the ceiling
}

func TestLimitNeedsUtilisationToRise(t *testing.T) {
	is := is.New(t)
	l := NewLimit(32)
	l.Observe(epoch, true, 32)
	low := l.Value()
	for i := range 1000 {
		l.Observe(epoch.Add(time.Duration(i)*time.Second), false, 1)
	}
	is.Equal(l.Value(), low)
}

func TestReserve(t *testing.T) {
	is := is.New(t)
	for slots := range 200 {
		is.Equal(Reserve(slots, 0), 0) // the highest tier may use every slot
		for above := range maxTier {
			r := Reserve(slots, above)
			is.True(r == 0 || r < slots)
			is.True(above == 0 || slots < minReserveSlots || r >= 1)
		}
	}
}
