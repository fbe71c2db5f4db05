package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

const bearerScheme = "Bearer "

// bearerKey returns the caller's key, empty when the request bears none.
func bearerKey(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerScheme):])
}

// caller is who sends a request. The zero caller is anonymous.
type caller struct {
	organisation *config.Organisation
	key          config.KeyDigest
}

// authenticate maps the request's key to its organisation.
func authenticate(snap *config.Snapshot, h http.Header, gate *result.Gate) (caller, *result.Error) {
	key := bearerKey(h)
	if key == "" {
		return caller{}, gate.Refuse(result.KeyMissing, "the request bears no key; send Authorization: Bearer KEY")
	}
	digest := config.DigestKey(key)
	state, ok := snap.Key(digest)
	if !ok {
		return caller{}, gate.Refuse(result.KeyUnknown, "the key was never granted")
	}
	if state.Withdrawn {
		return caller{}, gate.Refuse(result.KeyWithdrawn, "the key was withdrawn")
	}
	org := snap.Organisation(state.Organisation)
	if org == nil {
		return caller{}, gate.Refuse(result.NotPermitted, "the organisation %q is not in the configuration", state.Organisation)
	}
	return caller{organisation: org, key: digest}, nil
}

// withdrawals ends running requests whose key is withdrawn.
type withdrawals struct {
	mu      sync.Mutex
	running map[config.KeyDigest]map[*watch]struct{}
}

// watch is one running request under a key.
type watch struct {
	key    config.KeyDigest
	gate   *result.Gate
	cancel context.CancelCauseFunc
}

func newWithdrawals() *withdrawals {
	return &withdrawals{running: make(map[config.KeyDigest]map[*watch]struct{})}
}

// add registers a request until the returned function is called.
func (w *withdrawals) add(t *watch) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set := w.running[t.key]
	if set == nil {
		set = make(map[*watch]struct{})
		w.running[t.key] = set
	}
	set[t] = struct{}{}
	return func() { w.remove(t) }
}

func (w *withdrawals) remove(t *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set := w.running[t.key]
	delete(set, t)
	if len(set) == 0 {
		delete(w.running, t.key)
	}
}

// apply cancels every running request whose key the snapshot does not grant.
func (w *withdrawals) apply(snap *config.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, set := range w.running {
		if state, ok := snap.Key(key); ok && !state.Withdrawn {
			continue
		}
		for t := range set {
			t.cancel(withdrawalError(t.gate))
		}
	}
}

// withdrawalError tells a queued request that it was not run and a started one
// that its stream ends.
func withdrawalError(gate *result.Gate) *result.Error {
	proof, ok := gate.Seal()
	if ok {
		return result.NotRun(result.KeyWithdrawn, proof, "the key was withdrawn while the request waited")
	}
	return result.MayHaveRun(result.StreamKeyLapsed, "the key was withdrawn while the request ran")
}
