package config

import (
	"context"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Source provides the active configuration of this instance. Implementations must
// be safe for concurrent use.
type Source interface {
	// Current returns the active snapshot, or nil before the first one was read.
	Current() *Snapshot
	// Changed returns a channel that is closed once a snapshot newer than the given
	// version is active.
	Changed(version uint64) <-chan struct{}
	// Fresh reports whether the snapshot is confirmed to be recent enough to accept
	// new requests. It stays true during an outage of the table service alone.
	Fresh() bool
}

// Editor changes the configuration for all instances.
type Editor interface {
	// Apply commits the text if the current version is still base, and returns the
	// new version. It returns a *FaultsError if the text is invalid, and a
	// *result.Error with code ConfigConflict or StoreUnavailable if the text was not
	// committed.
	Apply(ctx context.Context, text string, base uint64) (uint64, error)
	// GrantKey allows the key with the digest to send requests for the organisation.
	GrantKey(ctx context.Context, d KeyDigest, organisation string) (uint64, error)
	// WithdrawKey revokes the key. During an outage of the table service the
	// withdrawal takes effect on all reachable instances at once and is stored
	// later; the returned version is then 0.
	WithdrawKey(ctx context.Context, d KeyDigest) (uint64, error)
	// SetZoneDrained drains an availability zone, or puts it back into service if out is
	// false.
	SetZoneDrained(ctx context.Context, zone string, out bool) (uint64, error)
	// InForce returns the active version of each known instance.
	InForce(ctx context.Context) ([]InstanceVersion, error)
}

// InstanceVersion is the active configuration version of one instance.
type InstanceVersion struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"` // 0 if the instance could not be reached
}

// Fault is one fault of a configuration text.
type Fault = yamlfault.Fault

// FaultsError lists all faults of a text in order of line and column.
type FaultsError = yamlfault.FaultsError
