package admission

import "time"

// Entry is one waiting request. The caller sets the fields before Push and must not
// change them while the entry waits.
type Entry[T any] struct {
	// Value is the caller's own data.
	Value T
	// Class is the name of a class passed to SetClasses.
	Class string
	// Organisation is the tenant whose share the request uses.
	Organisation string
	// Weight is the organisation's share relative to others. Zero means 1.
	Weight float64
	// Cost is the expected use of the backend servers, in any unit common to all
	// entries. Zero means 1.
	Cost float64
	// Arrived is the request's arrival time.
	Arrived time.Time
	// Urgent entries start before others of their class and are never evicted: they
	// continue a request that was admitted earlier.
	Urgent bool

	tenant *tenant[T]
	class  *class[T]
	prev   *Entry[T]
	next   *Entry[T]
}

// Waiting reports whether the entry is in a queue.
func (e *Entry[T]) Waiting() bool { return e.class != nil }

// list is an intrusive list of entries, oldest first.
type list[T any] struct {
	head, tail *Entry[T]
	length     int
}

func (l *list[T]) append(e *Entry[T]) {
	e.prev, e.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = e
	} else {
		l.head = e
	}
	l.tail = e
	l.length++
}

func (l *list[T]) remove(e *Entry[T]) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.tail = e.prev
	}
	e.prev, e.next = nil, nil
	l.length--
}
