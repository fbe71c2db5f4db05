package quarantine

import "time"

// Suspected reports whether servers crashed while they ran the request or others that
// share a part of its prompt. Its failures say nothing about the server.
func (t *Tracker) Suspected(r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.assess(now)
	return current.crashes[r.Fingerprint] > 0 || current.parts.standing(r.Parts) != runsFreely
}
