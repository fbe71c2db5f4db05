package admission

// Floors are enforced by credits. Each start adds a class's floor to its credit if
// the class was waiting and could have used the slot. A start of the class itself
// subtracts one. A class whose credit reaches one is due and starts before classes
// that are not; among due classes the one with the largest credit goes first.
// docs/design/0020-admission.md proves that a class that waits through N starts
// gets at least floor*N - (classes+1) of them.

// mostDue returns the due class with the largest credit, nil when none is due.
func (q *Queue[T]) mostDue() *class[T] {
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

// recordStart updates the credits and tier times for a start of class c.
func (q *Queue[T]) recordStart(c *class[T]) {
	for _, other := range q.classes {
		if other.length > 0 && !other.blocked {
			other.credit += other.Floor
		}
	}
	c.credit = max(c.credit-1, 0)
	q.tierTimes[c.Tier] = max(q.tierTimes[c.Tier], c.tierTime)
	c.tierTime++
}
