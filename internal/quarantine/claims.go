package quarantine

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

const (
	// ClaimTimeout bounds Acquire of TableClaims.
	ClaimTimeout = 500 * time.Millisecond
	// maxTrialTime is the time after which a claim expires, so that a trial that is lost
	// with its instance does not hold up others.
	maxTrialTime = 10 * time.Second
	// claimReleaseDelay is the time from the end of a trial until others may start one.
	// They know its outcome by then.
	claimReleaseDelay = partSettleTime
	// maxClaimSkew bounds the difference between the clocks of two instances.
	maxClaimSkew = 2 * time.Second
	claimKey     = "quarantine/trial"
)

// claimRow is the row of the trial that runs.
type claimRow struct {
	Holder string `json:"holder"`
	// UntilMillis is the end of the claim in the time that all instances agree on.
	UntilMillis int64 `json:"until_ms"`
}

// TableClaimsOptions configure TableClaims. All fields but EpochAge are required.
type TableClaimsOptions struct {
	Instance string
	Table    platform.Table
	// Now returns the time. A claim of a clock that is ahead by more than maxClaimSkew is
	// ignored.
	Now    func() time.Time
	Logger hclog.Logger
	// EpochAge returns the time since this instance learned of the store's epoch, and false
	// if the store is never restored from an older copy. If nil, it is never restored.
	EpochAge func() (time.Duration, bool)
}

// TableClaims are claims in a row of the table service. While it cannot be reached, there
// are no trials.
type TableClaims struct {
	options TableClaimsOptions
	version atomic.Uint64 // of the row that this instance wrote last
}

var _ Claims = (*TableClaims)(nil)

// NewTableClaims returns claims that hold none.
func NewTableClaims(o TableClaimsOptions) *TableClaims {
	return &TableClaims{options: o}
}

// Acquire implements Claims.
func (c *TableClaims) Acquire() bool {
	if c.mayBeLost() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), ClaimTimeout)
	defer cancel()
	began := time.Now()
	rows, err := c.options.Table.Get(ctx, claimKey)
	if err != nil {
		c.options.Logger.Warn("reading the claim of trials failed; not trying the request", "error", err, "after", time.Since(began))
		return false
	}
	if c.isHeld(rows[0]) {
		return false
	}
	version, err := c.write(ctx, rows[0].Version, maxTrialTime)
	if err != nil {
		c.options.Logger.Info("claiming a trial failed; not trying the request", "error", err, "after", time.Since(began))
		return false
	}
	c.version.Store(version)
	return true
}

// mayBeLost reports whether a restored store may have lost the claim of a trial that still runs.
func (c *TableClaims) mayBeLost() bool {
	if c.options.EpochAge == nil {
		return false
	}
	age, restored := c.options.EpochAge()
	return restored && age < maxTrialTime
}

// isHeld reports whether a trial may run under the row. A row that cannot be read is not
// held.
func (c *TableClaims) isHeld(row platform.Row) bool {
	var held claimRow
	if row.Version == 0 || json.Unmarshal(row.Value, &held) != nil {
		return false
	}
	left := time.UnixMilli(held.UntilMillis).Sub(c.options.Now())
	return left > 0 && left <= maxTrialTime+maxClaimSkew // a longer claim is of a clock that was wrong
}

// write writes the row if its version is still the given one, 0 for no row. It returns the
// new version.
func (c *TableClaims) write(ctx context.Context, version uint64, length time.Duration) (uint64, error) {
	value, err := json.Marshal(claimRow{Holder: c.options.Instance, UntilMillis: c.options.Now().Add(length).UnixMilli()})
	if err != nil {
		return 0, err
	}
	versions, err := c.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: claimKey, Version: version}},
		Writes: []platform.Write{{Key: claimKey, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// Release implements Claims. It shortens the claim in the background; if that fails, the
// claim expires.
func (c *TableClaims) Release() {
	version := c.version.Load()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ClaimTimeout)
		defer cancel()
		if _, err := c.write(ctx, version, claimReleaseDelay); err != nil {
			c.options.Logger.Info("releasing the claim of a trial failed; it will expire", "error", err, "within", maxTrialTime)
		}
	}()
}
