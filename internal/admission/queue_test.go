package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func entry(class, organisation string, n int) *Entry[int] {
	return &Entry[int]{
		Value: n, Class: class, Organisation: organisation,
		Arrived: epoch.Add(time.Duration(n) * time.Millisecond),
	}
}

func fitsAlways(*Entry[int], bool) bool { return true }

// drawClasses returns classes on random tiers whose floors sum to less than 1.
func drawClasses(t *rapid.T) []Class {
	n := rapid.IntRange(2, 8).Draw(t, "classes")
	left := 0.95
	classes := make([]Class, n)
	for i := range classes {
		floor := rapid.Float64Range(0, left/2).Draw(t, "floor")
		left -= floor
		classes[i] = Class{
			Name:  fmt.Sprintf("c%d", i),
			Tier:  rapid.IntRange(1, maxTier).Draw(t, "tier"),
			Floor: floor,
		}
	}
	return classes
}

func TestEvictsLowestTierFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := drawClasses(t)
		q := NewQueue[int](Options{Limit: rapid.IntRange(1, 20).Draw(t, "limit")})
		q.SetClasses(classes)
		waiting := map[*Entry[int]]bool{}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "start") == 0 {
				delete(waiting, q.Next(fitsAlways))
				continue
			}
			c := rapid.SampledFrom(classes).Draw(t, "class")
			e := entry(c.Name, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")), n)
			victim, err := q.Push(e)
			if err != nil {
				t.Fatal(err)
			}
			waiting[e] = true
			delete(waiting, victim)
			if victim != nil {
				checkVictim(t, q, classes, victim)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("queue holds %d entries, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// checkVictim fails if a class of a lower tier than the victim's has more entries
// waiting than its guaranteed places.
func checkVictim(t *rapid.T, q *Queue[int], classes []Class, victim *Entry[int]) {
	tier := q.byName[victim.Class].Tier
	for _, c := range classes {
		places := 1 + int(c.Floor*float64(q.options.Limit))
		if c.Tier > tier && q.ClassLen(c.Name) > places {
			t.Fatalf("tier %d was evicted while %d requests of tier %d wait", tier, q.ClassLen(c.Name), c.Tier)
		}
	}
}

func TestClassFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := drawClasses(t)
		q := NewQueue[int](Options{Limit: 1 << 20})
		q.SetClasses(classes)
		for _, c := range classes {
			for n := range 3 {
				_, _ = q.Push(entry(c.Name, "o", n))
			}
		}
		got := map[string]int{}
		starts := rapid.IntRange(1, 2000).Draw(t, "starts")
		for n := range starts {
			e := q.Next(fitsAlways)
			got[e.Class]++
			_, _ = q.Push(entry(e.Class, "o", n))
		}
		for _, c := range classes {
			minStarts := c.Floor*float64(starts) - float64(len(classes)+1)
			if float64(got[c.Name]) < minStarts {
				t.Fatalf("class %s with floor %.3f got %d of %d starts", c.Name, c.Floor, got[c.Name], starts)
			}
		}
	})
}

func TestHighestTierStartsFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "low", Tier: 5}, {Name: "high", Tier: 1}})
	_, _ = q.Push(entry("low", "o", 1))
	for n := range 5 {
		_, _ = q.Push(entry("high", "o", 2+n))
	}
	for range 5 {
		is.Equal(q.Next(fitsAlways).Class, "high")
	}
	is.Equal(q.Next(fitsAlways).Class, "low")
	is.Equal(q.Next(fitsAlways), nil)
}

func TestBlockedClassIsSkipped(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "low", Tier: 5}, {Name: "high", Tier: 1, Floor: 0.9}})
	_, _ = q.Push(entry("high", "o", 1))
	for n := range 10 {
		_, _ = q.Push(entry("low", "o", n))
		e := q.Next(func(e *Entry[int], _ bool) bool { return e.Class == "low" })
		is.Equal(e.Class, "low")
	}
	is.True(q.byName["high"].credit == 0) // it could not use those slots, so it gains no credit for them
}

func TestFairShareOfSmallOrganisation(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "c", Tier: 1}})
	for n := range 1000 {
		_, _ = q.Push(entry("c", "large", n))
	}
	for n := range 5 {
		_, _ = q.Push(entry("c", "small", 1000+n))
	}
	small := 0
	for range 10 {
		if q.Next(fitsAlways).Organisation == "small" {
			small++
		}
	}
	is.Equal(small, 5)
}

func TestSharesFollowWeightsAndCost(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "c", Tier: 1}})
	for n := range 400 {
		double := entry("c", "double", n)
		double.Weight = 2
		_, _ = q.Push(double)
		costly := entry("c", "costly", n)
		costly.Cost = 4
		_, _ = q.Push(costly)
	}
	got := map[string]int{}
	for range 180 {
		got[q.Next(fitsAlways).Organisation]++
	}
	is.Equal(got["double"], 160) // eight of nine: twice the weight, a quarter of the cost
	is.Equal(got["costly"], 20)
}

func TestSurchargeConverges(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{Limit: 1 << 20})
	q.SetClasses([]Class{{Name: "c", Tier: 1}})
	for n := range 4000 {
		_, _ = q.Push(entry("c", "long", n))
		_, _ = q.Push(entry("c", "short", n))
	}
	got := map[string]int{}
	for n := range 3000 {
		e := q.Next(fitsAlways)
		if n >= 2400 {
			got[e.Organisation]++
		}
		if e.Organisation == "long" {
			q.AdjustCost("c", "long", 4)
		}
	}
	is.True(got["long"] >= 95 && got["long"] <= 105) // a sixth of the starts once the surcharge has converged
}

func TestSingleOutlierBarelyCharged(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "c", Tier: 1}})
	for n := range 100 {
		_, _ = q.Push(entry("c", "a", n))
		_, _ = q.Push(entry("c", "b", n))
	}
	q.AdjustCost("c", "a", 20)
	got := 0
	for range 20 {
		if q.Next(fitsAlways).Organisation == "a" {
			got++
		}
	}
	is.True(got >= 6)
}

func TestEvictsNewestOfLargestOverShare(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{Limit: 4})
	q.SetClasses([]Class{{Name: "c", Tier: 3}})
	var last *Entry[int]
	for n := range 4 {
		last = entry("c", "large", n)
		_, _ = q.Push(last)
	}
	_, _ = q.Push(entry("c", "small", 5))
	victim, err := q.Push(entry("c", "small", 6))
	is.NoErr(err)
	is.Equal(victim, last)
}

func TestUrgentEntries(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{Limit: 1})
	q.SetClasses([]Class{{Name: "c", Tier: 3}})
	for n := range 5 {
		_, _ = q.Push(entry("c", "o", n))
	}
	urgent := entry("c", "o", 9)
	urgent.Urgent = true
	victim, _ := q.Push(urgent)
	is.Equal(victim, nil)
	is.Equal(q.Next(fitsAlways), urgent)
}

func TestIdleOrganisationsAreEvicted(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "c", Tier: 1}})
	for n := range 10_000 {
		_, _ = q.Push(entry("c", fmt.Sprint(n), n))
		q.Next(fitsAlways)
	}
	is.True(len(q.byName["c"].tenants) < 100)
}

func TestRemovedClassDrains(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	q.SetClasses([]Class{{Name: "old", Tier: 1}})
	_, _ = q.Push(entry("old", "o", 1))
	q.SetClasses([]Class{{Name: "new", Tier: 1}})
	is.Equal(q.Next(fitsAlways).Class, "old")
	q.SetClasses([]Class{{Name: "new", Tier: 1}})
	_, err := q.Push(entry("old", "o", 2))
	is.True(err != nil)
}
