package config

import (
	"context"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Source gives the configuration in force on this instance.
type Source interface {
	// Current returns the newest snapshot, nil before the first one was read.
	Current() *Snapshot
	// Changed returns a channel that is closed when a newer snapshot than the
	// given version is in force.
	Changed(version uint64) <-chan struct{}
	// Fresh reports whether the snapshot is known to be current enough to take
	// new work. An outage of the table service alone does not end it.
	Fresh() bool
}

// Editor changes the configuration for all instances.
type Editor interface {
	// Apply commits a text if the version is still base. It returns the new
	// version, or *FaultsError, *result.Error with ConfigConflict or StoreUnavailable.
	Apply(ctx context.Context, text string, base uint64) (uint64, error)
	// GrantKey lets the key with the digest act for the organisation.
	GrantKey(ctx context.Context, d KeyDigest, organisation string) (uint64, error)
	// WithdrawKey ends the key. During an outage of the table service it takes
	// effect on all reachable instances at once and is written later; the
	// returned version is then 0.
	WithdrawKey(ctx context.Context, d KeyDigest) (uint64, error)
	// SetZone takes an availability zone out or back in.
	SetZone(ctx context.Context, zone string, out bool) (uint64, error)
	// InForce returns the version that each known instance has in force.
	InForce(ctx context.Context) ([]InstanceVersion, error)
}

// InstanceVersion is the configuration version in force on one instance.
type InstanceVersion struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"` // 0: not reached
}

// Fault is one fault of an operators' text.
type Fault = yamlfault.Fault

// FaultsError lists every fault of a text, in order of line.
type FaultsError = yamlfault.FaultsError
