package admission

import "container/heap"

// Class is the configuration of one class of a Queue.
type Class struct {
	Name string
	// Tier is 1 for the highest tier.
	Tier int
	// Floor is the minimum share of starts while the class waits, from 0 to below
	// 1. Zero means none.
	Floor float64
}

// class is the queue of one class.
type class[T any] struct {
	Class
	guaranteedPlaces int // waiting entries that do not count towards the queue's limit
	length           int
	urgent           list[T]
	tenants          map[string]*tenant[T]
	byStart          byStart[T]
	byTail           byTail[T]
	virtualTime      float64 // start tag of the latest dispatch
	virtualEnd       float64 // largest finish tag of a dispatch
	waitingWeight    float64 // sum of the weights of tenants with waiting entries
	idle             []*tenant[T]
	credit           float64 // starts that the floor entitles the class to
	tierTime         float64 // virtual time among the classes of one tier
	blocked          bool    // the head entry did not fit in this round
}

// excess returns the number of entries beyond the class's guaranteed places. Urgent
// entries do not count.
func (c *class[T]) excess() int { return max(0, c.length-c.urgent.length-c.guaranteedPlaces) }

func (c *class[T]) push(e *Entry[T]) {
	e.class = c
	c.length++
	if e.Urgent {
		c.urgent.append(e)
		return
	}
	t := c.tenant(e)
	e.tenant = t
	t.waiting.append(e)
	t.waitingCost += e.Cost
	if t.waiting.length > 1 {
		heap.Fix(&c.byTail, t.tailIndex)
		return
	}
	t.start = max(t.start, c.virtualTime)
	c.waitingWeight += t.weight
	heap.Push(&c.byStart, t)
	heap.Push(&c.byTail, t)
}

// tenant returns the state of the entry's organisation. A changed weight applies
// once the organisation has nothing waiting.
func (c *class[T]) tenant(e *Entry[T]) *tenant[T] {
	t, ok := c.tenants[e.Organisation]
	if !ok {
		c.evictIdle()
		t = &tenant[T]{name: e.Organisation, weight: e.Weight, startIndex: -1, tailIndex: -1}
		c.tenants[e.Organisation] = t
		return t
	}
	if t.waiting.length == 0 {
		t.weight = e.Weight
	}
	return t
}

// head returns the entry that the class would start next, nil when none waits.
func (c *class[T]) head() *Entry[T] {
	if c.urgent.head != nil {
		return c.urgent.head
	}
	if len(c.byStart) == 0 {
		return nil
	}
	return c.byStart[0].waiting.head
}

// start removes the head entry and charges its organisation.
func (c *class[T]) start(e *Entry[T]) {
	t := e.tenant
	if t != nil {
		c.virtualTime = max(c.virtualTime, t.start)
		t.start += t.charge(e)
		c.virtualEnd = max(c.virtualEnd, t.start)
	}
	c.remove(e)
	if c.length == 0 {
		c.virtualTime = c.virtualEnd // an idle class starts over: earlier use is not charged later
	}
}

// remove removes an entry without charging its organisation.
func (c *class[T]) remove(e *Entry[T]) {
	c.length--
	t := e.tenant
	e.class, e.tenant = nil, nil
	if t == nil {
		c.urgent.remove(e)
		return
	}
	t.waiting.remove(e)
	t.waitingCost -= e.Cost
	if t.waiting.length > 0 {
		c.fix(t)
		return
	}
	t.waitingCost = 0
	c.waitingWeight -= t.weight
	heap.Remove(&c.byStart, t.startIndex)
	heap.Remove(&c.byTail, t.tailIndex)
	if !t.inIdleList {
		t.inIdleList = true
		c.idle = append(c.idle, t)
	}
}

func (c *class[T]) fix(t *tenant[T]) {
	if t.startIndex < 0 {
		return
	}
	heap.Fix(&c.byStart, t.startIndex)
	heap.Fix(&c.byTail, t.tailIndex)
}

// idleChecksPerTenant is the number of idle tenants checked for each new one, so
// that memory use follows the number of active organisations.
const idleChecksPerTenant = 2

// evictIdle removes tenants that have no waiting entries and whose virtual start is
// not ahead of the class, so that no charge is forgotten.
func (c *class[T]) evictIdle() {
	for range min(idleChecksPerTenant, len(c.idle)) {
		t := c.idle[0]
		c.idle = c.idle[1:]
		switch {
		case t.waiting.length > 0:
			t.inIdleList = false
		case t.start <= c.virtualTime:
			delete(c.tenants, t.name)
		default:
			c.idle = append(c.idle, t)
		}
	}
}

// victim returns the newest entry of the organisation furthest over its share.
func (c *class[T]) victim() *Entry[T] {
	if len(c.byTail) == 0 {
		return nil
	}
	return c.byTail[0].waiting.tail
}

// overShare returns how far, in virtual time, the organisation furthest over its
// share is ahead of the class.
func (c *class[T]) overShare() float64 {
	if len(c.byTail) == 0 {
		return 0
	}
	return c.byTail[0].tail() - c.virtualTime
}
