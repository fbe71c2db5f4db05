package bytebudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newBudget(limit int64) (*Budget, *time.Time) {
	now := time.Unix(1000, 0)
	b := New(limit)
	b.now = func() time.Time { return now }
	return b, &now
}

// TestGrowingHoldersAreNotEvicted checks that a sound answer that is still arriving is not
// dropped for another one.
func TestGrowingHoldersAreNotEvicted(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(100)
	large := b.Hold(100, func() { t.Error("evicted") })
	is.True(large.Grow(90))
	small := b.Hold(100, func() {})
	is.True(!small.Grow(11))
	is.True(small.Grow(10))
	large.Release()
	large.Release()
	is.True(small.Grow(90))
	small.Shrink(60)
	is.True(!b.Hold(100, nil).Grow(61))
	is.True(b.Hold(100, nil).Grow(60))
}

// TestLargestStalledHolderIsEvicted checks which holder makes room, and that it gets no
// further bytes.
func TestLargestStalledHolderIsEvicted(t *testing.T) {
	is := is.New(t)
	b, now := newBudget(100)
	evicted := ""
	hold := func(name string, n int64) *Holder {
		h := b.Hold(100, func() { evicted += name })
		is.True(h.Grow(n))
		return h
	}
	small, large := hold("small", 10), hold("large", 40)
	body := b.Hold(100, nil)
	is.True(body.Grow(45))
	*now = now.Add(stalledAfter)
	fresh := hold("fresh", 30)
	is.Equal(evicted, "large")
	is.True(!large.Grow(1))
	is.True(!fresh.Grow(30)) // the body is never evicted; small was, in vain
	is.Equal(evicted, "largesmall")
	small.Release()
	used, count := b.Usage()
	is.Equal(used, int64(75))
	is.Equal(count, int64(2))
}

func TestShareOfPurpose(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(100)
	is.True(!b.Hold(75, nil).Grow(76))
	is.True(b.Hold(75, nil).Grow(75))
	is.True(!b.Hold(75, nil).Grow(1))
	is.True(b.Hold(100, nil).Grow(25))
	unlimited, _ := newBudget(0)
	is.True(unlimited.Hold(75, nil).Grow(1 << 40))
}
