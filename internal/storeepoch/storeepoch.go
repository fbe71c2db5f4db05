// Package storeepoch tracks the epoch of the platform's store, which counts how often the
// store was restored from an older copy of itself. With a restore the store loses what it has
// acknowledged since the copy and gives its version numbers out again, so that nothing learned
// in an earlier epoch may be relied on without a look at the present one.
package storeepoch

import (
	"errors"
	"fmt"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

// maxRise bounds by how much the epoch may rise between two answers. An instance that was
// cut off misses some restores; a larger step is no count of restores.
const maxRise = 1000

// maxQuestions bounds the calls that Confirm makes for one answer. One is enough unless the store
// is restored again or gives odd answers meanwhile.
const maxQuestions = 3

// StaleError reports an answer that must be discarded.
type StaleError struct {
	// Reason is one of the values below.
	Reason Reason
	// Epoch is that of the answer, and Known the highest one that was confirmed before.
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
	// Unconfirmed: an answer has stated a new epoch that no later one has confirmed or refuted yet.
	Unconfirmed Reason = "unconfirmed"
)

// Error implements the error interface.
func (e *StaleError) Error() string {
	switch e.Reason {
	case Earlier:
		return fmt.Sprintf("answer of the store's epoch %d discarded: epoch %d is known", e.Epoch, e.Known)
	case Implausible:
		return fmt.Sprintf("answer of the store's epoch %d discarded: it was %d", e.Epoch, e.Known)
	case Unconfirmed:
		return fmt.Sprintf("answer of the store's epoch %d discarded: epoch %d is known, and a change is not confirmed", e.Epoch, e.Known)
	case Unstated:
	}
	return fmt.Sprintf("answer without the store's epoch discarded: epoch %d is known", e.Known)
}

// isUnconfirmed reports whether err is a *StaleError with the reason Unconfirmed.
func isUnconfirmed(err error) bool {
	var stale *StaleError
	return errors.As(err, &stale) && stale.Reason == Unconfirmed
}

// Epoch is an epoch of the store as one instance knows it.
type Epoch struct {
	// Number counts the restores of the store. Zero means none, or that the store does not
	// state its epoch.
	Number uint64
	// SeenAt is when the answer arrived that confirmed the epoch. It is zero before the first
	// answer of the store.
	SeenAt boottime.Instant
	// Stated is true if the store states its epoch.
	Stated bool
}

// doubt is a new epoch that one answer has stated.
type doubt struct {
	epoch uint64
	at    boottime.Instant // when the answer arrived
}

// Tracker holds the highest epoch that was confirmed. A new epoch, the first one included, is
// believed once an answer to a later call has stated it too, since versions never go back: one
// odd answer that was believed would make all true ones be discarded. The zero Tracker has seen
// none. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	current   Epoch
	doubt     *doubt // nil if there is none
	restores  uint64 // rises after the first epoch
	stale     map[Reason]uint64
	onChange  []func(old, now Epoch)
	onDiscard func(Discards)
	report    report
}

// Observe is ObserveAnswer for a call that takes no time.
func (t *Tracker) Observe(epoch uint64, at boottime.Instant) error {
	return t.ObserveAnswer(epoch, at, at)
}

// ObserveAnswer records the epoch that the answer to a call states, with the instants at which the
// call was sent and its answer arrived. The error is a *StaleError if the answer must be discarded.
// While a new epoch is in doubt, answers to earlier calls are Unconfirmed, also those of the known
// epoch. Unconfirmed answers are not counted as discarded, see Confirm.
func (t *Tracker) ObserveAnswer(epoch uint64, sent, arrived boottime.Instant) error {
	t.mu.Lock()
	reason := t.reasonAgainst(epoch, sent)
	stale := &StaleError{Reason: reason, Epoch: epoch, Known: t.current.Number}
	switch reason {
	case "":
		notify := t.adopt(epoch, arrived)
		t.mu.Unlock()
		notify()
		return nil
	case Unconfirmed:
		if t.doubt == nil || !sent.Before(t.doubt.at) {
			t.doubt = &doubt{epoch: epoch, at: arrived}
		}
		t.mu.Unlock()
		return stale
	case Earlier, Implausible, Unstated:
	}
	tell := t.discard(stale, arrived)
	t.mu.Unlock()
	tell()
	return stale
}

// reasonAgainst returns why an answer to a call that was sent at an instant must be discarded.
// Empty means that it can be believed. The caller must hold t.mu.
func (t *Tracker) reasonAgainst(epoch uint64, sent boottime.Instant) Reason {
	known := t.current
	switch {
	case known.Stated && epoch < known.Number:
		return Earlier
	case known.Stated && epoch-known.Number > maxRise:
		return Implausible
	case t.doubt != nil && sent.Before(t.doubt.at):
		return Unconfirmed
	case known.Stated && epoch == known.Number, t.doubt != nil && epoch == t.doubt.epoch:
		return ""
	}
	return Unconfirmed
}

// Confirm is ObserveAnswer for a caller that can ask the store again if the answer is Unconfirmed.
// ask makes a call and returns what ObserveAnswer says of its answer, or another error. It is
// called at most maxQuestions times.
func (t *Tracker) Confirm(epoch uint64, sent, arrived boottime.Instant, ask func() error) error {
	err := t.ObserveAnswer(epoch, sent, arrived)
	if !isUnconfirmed(err) {
		return err
	}
	for range maxQuestions {
		err = ask()
		if t.settled(epoch) {
			return nil
		}
		if !isUnconfirmed(err) {
			break
		}
	}
	t.mu.Lock()
	stale := &StaleError{Reason: Unconfirmed, Epoch: epoch, Known: t.current.Number}
	tell := t.discard(stale, boottime.Now())
	t.mu.Unlock()
	tell()
	return stale
}

// settled reports whether an epoch is the current one, without a doubt.
func (t *Tracker) settled(epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doubt == nil && t.current.Stated && t.current.Number == epoch
}

// Adopt records an epoch that another instance has confirmed. The error is a *StaleError if it is
// not believed.
func (t *Tracker) Adopt(epoch uint64, at boottime.Instant) error {
	t.mu.Lock()
	if t.current.Stated && epoch == t.current.Number {
		t.mu.Unlock()
		return nil // it may be older than a doubt
	}
	reason := t.reasonAgainst(epoch, at)
	if reason == "" || reason == Unconfirmed {
		notify := t.adopt(epoch, at)
		t.mu.Unlock()
		notify()
		return nil
	}
	stale := &StaleError{Reason: reason, Epoch: epoch, Known: t.current.Number}
	tell := t.discard(stale, at)
	t.mu.Unlock()
	tell()
	return stale
}

// adopt makes epoch the current one and ends a doubt. The result calls the hooks; it must be called
// without t.mu, which the caller must hold now.
func (t *Tracker) adopt(epoch uint64, at boottime.Instant) (notify func()) {
	old := t.current
	first := old.SeenAt.IsZero()
	t.doubt = nil
	t.current.Stated = true
	if !first && epoch == old.Number {
		return func() {}
	}
	t.current = Epoch{Number: epoch, SeenAt: at, Stated: true}
	if first {
		return func() {}
	}
	t.restores++
	now, hooks := t.current, t.onChange
	return func() {
		for _, f := range hooks {
			f(old, now)
		}
	}
}

// ObserveUnstated records an answer that states no epoch, or none that can be read. The error is
// a *StaleError if other answers did, or the one before.
func (t *Tracker) ObserveUnstated(at boottime.Instant) error {
	t.mu.Lock()
	stale := &StaleError{Reason: Unstated, Known: t.current.Number}
	switch {
	case t.current.Stated:
	case t.doubt != nil:
		t.doubt, stale.Reason = nil, Unconfirmed
	default:
		if t.current.SeenAt.IsZero() {
			t.current.SeenAt = at
		}
		t.mu.Unlock()
		return nil
	}
	tell := t.discard(stale, at)
	t.mu.Unlock()
	tell()
	return stale
}

// Current returns the highest epoch that was confirmed.
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
