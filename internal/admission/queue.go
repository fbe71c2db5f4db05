package admission

import (
	"fmt"
	"slices"
	"strings"
)

// DefaultLimit is the default of Options.Limit.
const DefaultLimit = 4096

// Options configures a Queue.
type Options struct {
	// Limit is the number of requests that may wait beyond the classes' guaranteed
	// places. Zero means DefaultLimit.
	Limit int
	// FIFO disables tiers, floors and shares. It is the baseline of measurements.
	FIFO bool
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue[T any] struct {
	options   Options
	classes   []*class[T] // by tier, then name
	byName    map[string]*class[T]
	length    int
	excess    int // entries beyond the classes' guaranteed places
	tierTimes [maxTier + 1]float64
}

// maxTier is the number of the lowest tier.
const maxTier = 7

// NewQueue returns an empty queue. SetClasses must be called before Push.
func NewQueue[T any](o Options) *Queue[T] {
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	return &Queue[T]{options: o, byName: map[string]*class[T]{}}
}

// SetClasses replaces the configuration of classes. A removed class is dropped once
// its last entry has left.
func (q *Queue[T]) SetClasses(classes []Class) {
	named := map[string]bool{}
	for _, spec := range classes {
		named[spec.Name] = true
		c, ok := q.byName[spec.Name]
		if !ok {
			c = &class[T]{tenants: map[string]*tenant[T]{}}
			q.byName[spec.Name] = c
			q.classes = append(q.classes, c)
		}
		c.Class = spec
		c.guaranteedPlaces = 1 + int(spec.Floor*float64(q.options.Limit))
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class[T]) bool {
		removed := !named[c.Name] && c.length == 0
		if removed {
			delete(q.byName, c.Name)
		}
		return removed
	})
	slices.SortFunc(q.classes, func(a, b *class[T]) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		return strings.Compare(a.Name, b.Name)
	})
	q.excess = 0
	for _, c := range q.classes {
		q.excess += c.excess()
	}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.length }

// ClassLen returns the number of waiting entries of a class, 0 for an unknown
// class.
func (q *Queue[T]) ClassLen(name string) int {
	if c := q.byName[name]; c != nil {
		return c.length
	}
	return 0
}

// Head returns the entry of a class that would start next, nil when none waits.
func (q *Queue[T]) Head(name string) *Entry[T] {
	c := q.byName[name]
	if c == nil {
		return nil
	}
	return c.head()
}

// Push adds an entry. If the queue then exceeds its limit, Push removes and returns
// the evicted entry, which may be e itself. It returns an error if the entry's
// class does not exist.
func (q *Queue[T]) Push(e *Entry[T]) (victim *Entry[T], err error) {
	c := q.byName[e.Class]
	if c == nil {
		return nil, fmt.Errorf("queue has no class %q", e.Class)
	}
	if e.Weight <= 0 {
		e.Weight = 1
	}
	if e.Cost <= 0 {
		e.Cost = 1
	}
	if c.length == 0 {
		c.tierTime = max(c.tierTime, q.tierTimes[c.Tier])
	}
	q.updateTotals(c, func() { c.push(e) })
	if q.excess <= q.options.Limit {
		return nil, nil
	}
	victim = q.victim(e)
	q.Remove(victim)
	return victim, nil
}

// victim returns the entry to evict; newest is the entry that was just added.
func (q *Queue[T]) victim(newest *Entry[T]) *Entry[T] {
	if q.options.FIFO {
		return newest
	}
	var worst *class[T]
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if worst != nil && c.Tier != worst.Tier {
			break
		}
		if c.excess() == 0 {
			continue
		}
		if worst == nil || c.overShare() > worst.overShare() {
			worst = c
		}
	}
	if worst == nil {
		return newest
	}
	return worst.victim()
}

// LowestTier returns the lowest tier with more entries waiting than its classes'
// guaranteed places, 0 when there is none. Entries of higher tiers are not evicted
// while such a tier exists.
func (q *Queue[T]) LowestTier() int {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].excess() > 0 {
			return q.classes[i].Tier
		}
	}
	return 0
}

// Remove removes a waiting entry. It has no effect on an entry that does not wait.
func (q *Queue[T]) Remove(e *Entry[T]) {
	c := e.class
	if c == nil {
		return
	}
	q.updateTotals(c, func() { c.remove(e) })
}

// updateTotals applies a change to one class and updates the queue's totals.
func (q *Queue[T]) updateTotals(c *class[T], change func()) {
	q.length -= c.length
	q.excess -= c.excess()
	change()
	q.length += c.length
	q.excess += c.excess()
}

// Fits reports whether a backend server can accept the entry now. due is true when
// the class's floor entitles it to the start, so that it may use reserved slots.
type Fits[T any] func(e *Entry[T], due bool) bool

// Next removes and returns the entry to start, nil when none waits or fits.
func (q *Queue[T]) Next(fits Fits[T]) *Entry[T] {
	for _, c := range q.classes {
		c.blocked = false
	}
	for {
		c, due := q.choose()
		if c == nil {
			return nil
		}
		e := c.head()
		if !fits(e, due) {
			c.blocked = true
			continue
		}
		if !e.Waiting() {
			continue // fits rejected the request and removed the entry
		}
		q.recordStart(c)
		q.updateTotals(c, func() { c.start(e) })
		return e
	}
}

// choose returns the class to try next among those that wait and are not blocked.
// due is true when its floor is the reason.
func (q *Queue[T]) choose() (best *class[T], due bool) {
	if q.options.FIFO {
		return q.oldest(), false
	}
	if c := q.mostDue(); c != nil {
		return c, true
	}
	for _, c := range q.classes {
		if c.blocked || c.length == 0 {
			continue
		}
		if best != nil && c.Tier != best.Tier {
			break
		}
		if best == nil || c.tierTime < best.tierTime {
			best = c
		}
	}
	return best, false
}

// oldest returns the class with the oldest head entry, for the FIFO baseline.
func (q *Queue[T]) oldest() *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if c.blocked || c.length == 0 {
			continue
		}
		if best == nil || c.head().Arrived.Before(best.head().Arrived) {
			best = c
		}
	}
	return best
}

// AdjustCost corrects an organisation's charges by the use of a completed request beyond
// its Cost, negative when it used less. The correction is a moving average that
// applies to the organisation's later requests. A single unusual request has little
// effect: its use cannot be predicted, and charging it at once would block a small
// organisation for a long time.
func (q *Queue[T]) AdjustCost(className, organisation string, beyond float64) {
	c := q.byName[className]
	if c == nil {
		return
	}
	if t := c.tenants[organisation]; t != nil {
		t.surcharge += surchargeWeight * (beyond - t.surcharge)
	}
}

// Each calls f for every waiting entry. f must not change the queue.
func (q *Queue[T]) Each(f func(*Entry[T])) {
	for _, c := range q.classes {
		for e := c.urgent.head; e != nil; e = e.next {
			f(e)
		}
		for _, t := range c.byStart {
			for e := t.waiting.head; e != nil; e = e.next {
				f(e)
			}
		}
	}
}
