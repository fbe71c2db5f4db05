package admission

// A class's floor is kept by a credit. Each start adds floor to the credit of
// every class that waited and could have taken the slot; a class's own start
// takes one off. A class whose credit reaches one is due and goes first, the one
// owed most before others. docs/design/0020-admission.md proves that a class that
// waits through N starts gets at least floor*N - (classes+1) of them.

// mostOwed returns the due class with the largest credit, nil when none is due.
func (q *Queue[T]) mostOwed() *class[T] {
	var best *class[T]
	for _, c := range q.classes {
		if c.blocked || c.length == 0 || c.credit < 1 {
			continue
		}
		if best == nil || c.credit > best.credit {
			best = c
		}
	}
	return best
}

// started moves the credits and turns for a start of class c.
func (q *Queue[T]) started(c *class[T]) {
	for _, other := range q.classes {
		if other.length > 0 && !other.blocked {
			other.credit += other.Floor
		}
	}
	c.credit = max(c.credit-1, 0)
	q.turns[c.Tier] = max(q.turns[c.Tier], c.turn)
	c.turn++
}
