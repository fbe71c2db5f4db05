package admission

import "container/heap"

// Class describes one class to a Queue.
type Class struct {
	Name string
	// Tier is 1 for the highest.
	Tier int
	// Floor is the smallest share of starts while the class waits, 0 to below 1.
	// Zero means none.
	Floor float64
}

// class is the queue of one class.
type class[T any] struct {
	Class
	places  int // own places that the queue limit does not count
	length  int
	urgent  list[T]
	tenants map[string]*tenant[T]
	starts  byStart[T]
	tails   byTail[T]
	now     float64 // virtual time of the class: start of the latest dispatch
	end     float64 // largest virtual end of a dispatch
	weights float64 // sum of the weights of the tenants that wait
	idle    []*tenant[T]
	credit  float64 // starts owed by the floor
	turn    float64 // virtual time among the classes of one tier
	blocked bool    // the entry at the head fitted nowhere in this round
}

// excess is the number of entries beyond the class's own places.
func (c *class[T]) excess() int { return max(0, c.length-c.urgent.length-c.places) }

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
	t.cost += e.Cost
	if t.waiting.length > 1 {
		heap.Fix(&c.tails, t.tailIndex)
		return
	}
	t.start = max(t.start, c.now)
	c.weights += t.weight
	heap.Push(&c.starts, t)
	heap.Push(&c.tails, t)
}

// tenant returns the state of the entry's organisation and applies its weight.
func (c *class[T]) tenant(e *Entry[T]) *tenant[T] {
	t, ok := c.tenants[e.Organisation]
	if !ok {
		c.forgetIdle()
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
	if len(c.starts) == 0 {
		return nil
	}
	return c.starts[0].waiting.head
}

// start removes the entry at the head and charges its organisation.
func (c *class[T]) start(e *Entry[T]) {
	t := e.tenant
	if t != nil {
		c.now = max(c.now, t.start)
		t.start += t.charge(e)
		c.end = max(c.end, t.start)
	}
	c.remove(e)
	if c.length == 0 {
		c.now = c.end // what ended with nobody waiting is forgotten
	}
}

// remove takes an entry out without charging anyone.
func (c *class[T]) remove(e *Entry[T]) {
	c.length--
	t := e.tenant
	e.class, e.tenant = nil, nil
	if t == nil {
		c.urgent.remove(e)
		return
	}
	t.waiting.remove(e)
	t.cost -= e.Cost
	if t.waiting.length > 0 {
		c.fix(t)
		return
	}
	t.cost = 0
	c.weights -= t.weight
	heap.Remove(&c.starts, t.startIndex)
	heap.Remove(&c.tails, t.tailIndex)
	if !t.listed {
		t.listed = true
		c.idle = append(c.idle, t)
	}
}

func (c *class[T]) fix(t *tenant[T]) {
	if t.startIndex < 0 {
		return
	}
	heap.Fix(&c.starts, t.startIndex)
	heap.Fix(&c.tails, t.tailIndex)
}

// idleChecks is the number of idle tenants looked at for each new one, so that
// memory follows the organisations that are active.
const idleChecks = 2

// forgetIdle drops tenants that wait for nothing and owe no service.
func (c *class[T]) forgetIdle() {
	for range min(idleChecks, len(c.idle)) {
		t := c.idle[0]
		c.idle = c.idle[1:]
		switch {
		case t.waiting.length > 0:
			t.listed = false
		case t.start <= c.now:
			delete(c.tenants, t.name)
		default:
			c.idle = append(c.idle, t)
		}
	}
}

// victim returns the newest entry of the organisation furthest over its share.
func (c *class[T]) victim() *Entry[T] {
	if len(c.tails) == 0 {
		return nil
	}
	return c.tails[0].waiting.tail
}

// over is how far the organisation furthest over its share is ahead of the class.
func (c *class[T]) over() float64 {
	if len(c.tails) == 0 {
		return 0
	}
	return c.tails[0].tail() - c.now
}
