package invariant

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// keyState is the state of one key at the current event.
type keyState struct {
	organisation string
	withdrawn    time.Time // zero while in force
	version      uint64
}

// checkKeyScope reads key.granted, key.withdrawn, key.accepted, attempt.sent
// (KeyDigest, Organisation; both empty on an open route), request.answered and
// backend.received.
func checkKeyScope(h *history, report reportFunc) {
	keys := make(map[string]*keyState)
	for _, e := range h.events {
		switch e.Kind {
		case timeline.KeyGranted, timeline.KeyWithdrawn:
			applyKeyChange(keys, e)
		case timeline.KeyAccepted:
			checkKeyUse(h, keys, e, e.KeyDigest, report)
		case timeline.AttemptSent:
			checkAttemptKey(h, keys, e, report)
		case timeline.RequestAnswered:
			if r, ok := h.requests[e.Request]; ok && r.key != nil {
				checkKeyInForce(h, keys, e, r.key.KeyDigest, report)
			}
		case timeline.BackendReceived:
			if e.KeyDigest != "" {
				report(e, "backend server %q received a caller's key in attempt %q", e.Server, e.Attempt)
			}
		}
	}
}

// applyKeyChange applies a grant or withdrawal. A late event of another instance
// with an older version is ignored.
func applyKeyChange(keys map[string]*keyState, e timeline.Event) {
	k, ok := keys[e.KeyDigest]
	if !ok {
		k = &keyState{organisation: e.Organisation}
		keys[e.KeyDigest] = k
	}
	if e.Version != 0 && e.Version < k.version {
		return
	}
	k.version = max(k.version, e.Version)
	if e.Kind == timeline.KeyGranted {
		*k = keyState{organisation: e.Organisation, version: k.version}
		return
	}
	if k.withdrawn.IsZero() {
		k.withdrawn = e.Time
	}
}

func checkAttemptKey(h *history, keys map[string]*keyState, e timeline.Event, report reportFunc) {
	if e.KeyDigest == "" {
		if e.Organisation != "" {
			report(e, "attempt %q runs for organisation %q without a key", e.Attempt, e.Organisation)
		}
		return
	}
	r, ok := h.requests[e.Request]
	if ok && r.key != nil && r.key.Organisation != e.Organisation {
		report(e, "attempt %q runs for organisation %q, but its key belongs to %q", e.Attempt, e.Organisation, r.key.Organisation)
		return
	}
	checkKeyUse(h, keys, e, e.KeyDigest, report)
}

// checkKeyUse reports use of a key for another organisation or after KeyBound.
func checkKeyUse(h *history, keys map[string]*keyState, e timeline.Event, digest string, report reportFunc) {
	k, ok := keys[digest]
	if !ok {
		keys[digest] = &keyState{organisation: e.Organisation}
		return
	}
	if k.organisation != "" && k.organisation != e.Organisation {
		report(e, "key of organisation %q was used for organisation %q", k.organisation, e.Organisation)
	}
	checkKeyInForce(h, keys, e, digest, report)
}

func checkKeyInForce(h *history, keys map[string]*keyState, e timeline.Event, digest string, report reportFunc) {
	k, ok := keys[digest]
	if !ok || k.withdrawn.IsZero() {
		return
	}
	if h.definitelyAfter(e.Time, k.withdrawn.Add(h.KeyBound)) {
		report(e, "key withdrawn at %s is still accepted %v later", k.withdrawn.Format(time.RFC3339Nano), e.Time.Sub(k.withdrawn))
	}
}
