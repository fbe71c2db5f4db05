// Package storeepoch tracks the epoch of the platform's store, which counts how often the
// store was restored from an older copy of itself. With a restore the store loses what it has
// acknowledged since the copy and gives its version numbers out again, so that nothing learned
// in an earlier epoch may be relied on without a look at the present one.
package storeepoch

import (
	"fmt"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// maxRise bounds by how much the epoch may rise between two answers. An instance that was
// cut off misses some restores; a larger step is no count of restores.
const maxRise = 1000

// StaleError reports an answer that must be discarded.
type StaleError struct {
	// Reason is one of the values below.
	Reason Reason
	// Epoch is that of the answer, and Known the highest one seen before.
	Epoch, Known uint64
}

// Reason is why an answer is discarded. It is a label in metrics.
type Reason string

// Values of Reason.
const (
	// Earlier: the answer is of an earlier epoch.
	Earlier Reason = "earlier"
	// Unstated: the answer states no epoch, or none that can be read, and others did.
	Unstated Reason = "unstated"
	// Implausible: the epoch has risen by more than restores explain.
	Implausible Reason = "implausible"
)

// Error implements the error interface.
func (e *StaleError) Error() string {
	switch e.Reason {
	case Earlier:
		return fmt.Sprintf("answer of the store's epoch %d discarded: epoch %d is known", e.Epoch, e.Known)
	case Implausible:
		return fmt.Sprintf("answer of the store's epoch %d discarded: it was %d", e.Epoch, e.Known)
	case Unstated:
	}
	return fmt.Sprintf("answer without the store's epoch discarded: epoch %d is known", e.Known)
}

// Epoch is an epoch of the store as one instance knows it.
type Epoch struct {
	// Number counts the restores of the store. Zero means none, or that the store does not
	// state its epoch.
	Number uint64
	// SeenAt is when the first answer of the epoch arrived. It is zero before the first
	// answer of the store.
	SeenAt boottime.Instant
	// Stated is true if the store states its epoch.
	Stated bool
}

// Tracker holds the highest epoch that was seen. The zero Tracker has seen none. It is safe for
// concurrent use.
type Tracker struct {
	mu       sync.Mutex
	current  Epoch
	restores uint64 // rises after the first answer
	stale    map[Reason]uint64
	onChange []func(old, now Epoch)
}

// Observe records the epoch that an answer states. The error is a *StaleError if the answer must
// be discarded.
func (t *Tracker) Observe(epoch uint64, at boottime.Instant) error {
	t.mu.Lock()
	old := t.current
	switch {
	case old.Stated && epoch < old.Number:
		defer t.mu.Unlock()
		return t.discard(&StaleError{Reason: Earlier, Epoch: epoch, Known: old.Number})
	case old.Stated && epoch-old.Number > maxRise:
		defer t.mu.Unlock()
		return t.discard(&StaleError{Reason: Implausible, Epoch: epoch, Known: old.Number})
	}
	first := old.SeenAt.IsZero()
	t.current.Stated = true
	if !first && epoch == old.Number {
		t.mu.Unlock()
		return nil
	}
	t.current = Epoch{Number: epoch, SeenAt: at, Stated: true}
	if !first {
		t.restores++
	}
	now, hooks := t.current, t.onChange
	t.mu.Unlock()
	if first {
		return nil
	}
	for _, f := range hooks {
		f(old, now)
	}
	return nil
}

// ObserveUnstated records an answer that states no epoch, or none that can be read. The error is
// a *StaleError if other answers did.
func (t *Tracker) ObserveUnstated(at boottime.Instant) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.Stated {
		return t.discard(&StaleError{Reason: Unstated, Known: t.current.Number})
	}
	if t.current.SeenAt.IsZero() {
		t.current.SeenAt = at
	}
	return nil
}

// discard counts a discarded answer. The caller must hold t.mu.
func (t *Tracker) discard(e *StaleError) error {
	if t.stale == nil {
		t.stale = map[Reason]uint64{}
	}
	t.stale[e.Reason]++
	return e
}

// Current returns the highest epoch seen.
func (t *Tracker) Current() Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// OnChange registers a function that is called after each rise of the epoch but the first one
// seen. Calls may overlap. It must be called before the first answer.
func (t *Tracker) OnChange(f func(old, now Epoch)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}
