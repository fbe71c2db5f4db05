package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHistoryGivesQuantilesAndForgets(t *testing.T) {
	is := is.New(t)
	var h History
	_, known := h.Quantile(epoch, 0.5)
	is.True(!known)
	for i := range 100 {
		h.Add(epoch, time.Duration(i+1)*10*time.Millisecond)
	}
	median, known := h.Quantile(epoch, 0.5)
	is.True(known)
	is.True(median >= 500*time.Millisecond && median <= 625*time.Millisecond)
	_, known = h.Quantile(epoch.Add(3*historyWindow), 0.5)
	is.True(!known) // old samples must not refuse new requests
}

func TestAheadCountsHigherTiersAndFairShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "high", Tier: 1}, {Name: "low", Tier: 2}})
	for n := range 10 {
		_, _ = q.Push(entry("high", "o", n))
		_, _ = q.Push(entry("low", "large", n))
	}
	small := entry("low", "small", 11)
	_, _ = q.Push(small)
	higher, own := q.Ahead(small)
	is.Equal(higher, 10)
	is.True(own <= 2) // the large organisation's backlog does not stand before it
	large := entry("low", "large", 12)
	_, _ = q.Push(large)
	_, own = q.Ahead(large)
	is.True(own >= 10)
}

func TestLimitFollowsWhatTheServerBears(t *testing.T) {
	is := is.New(t)
	const bears = 9
	l := NewLimit(32)
	now := epoch
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		l.Sample(now, l.Value() > bears, l.Value())
	}
	is.True(l.Value() >= bears/2 && l.Value() <= bears+1)
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		l.Sample(now, false, l.Value())
	}
	is.Equal(l.Value(), 32) // recovers to the ceiling
}

func TestLimitDoesNotRiseUnused(t *testing.T) {
	is := is.New(t)
	l := NewLimit(32)
	l.Sample(epoch, true, 32)
	low := l.Value()
	for i := range 1000 {
		l.Sample(epoch.Add(time.Duration(i)*time.Second), false, 1)
	}
	is.Equal(l.Value(), low)
}

func TestReserveLeavesRoomForEveryTier(t *testing.T) {
	is := is.New(t)
	for slots := range 200 {
		is.Equal(Reserve(slots, 0), 0) // the highest tier may use every slot
		for above := range maxTier {
			r := Reserve(slots, above)
			is.True(r == 0 || r < slots)
			is.True(above == 0 || slots < reserveFrom || r >= 1)
		}
	}
}
