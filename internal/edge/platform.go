package edge

import (
	"context"
	"errors"
	"io"

	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/replicas"
	"github.com/hawthornwick/hawthornwick/internal/rollout"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/storeepoch"
	"github.com/hawthornwick/hawthornwick/internal/tablefeed"
	"github.com/hawthornwick/hawthornwick/internal/tally"
)

// OperatorRow is one decoded row of the operators' table. At most one of Config, Zone and
// RolloutOf is set. A zero OperatorRow has no effect.
type OperatorRow struct {
	// Config is a version of the configuration. May be nil.
	Config *routes.Config
	// Zone is an availability zone that operators drained or put back into use. May
	// be empty.
	Zone    string
	Drained bool // the zone is drained
	// RolloutOf is the service of an order to move its traffic to another version. May be
	// empty.
	RolloutOf string
	// Rollout is the order without its revision. Nil means that it was removed.
	Rollout *rollout.Order
}

// RolloutStatus is where the states of rollouts are written for the platform. The zero
// value disables rollouts.
type RolloutStatus struct {
	Table  platform.Table
	Key    func(service string) string
	Encode func(phase rollout.Phase, to string) ([]byte, error)
}

// Platform connects an Edge to a platform. All fields but Epochs, Streams, WriteMetrics and
// RolloutStatus are required.
type Platform struct {
	// Protocol reads and writes header fields.
	Protocol gateway.Protocol
	// Operators is the feed of the operators' table: configurations and drained
	// availability zones.
	Operators tablefeed.Feed
	// DecodeOperator decodes a row of the operators' table. It returns the zero
	// OperatorRow for a row that is of no concern. With an error, an earlier order of the
	// row's RolloutOf stays in force.
	DecodeOperator func(key string, value []byte, removed bool) (OperatorRow, error)
	// Servers is the feed of the table in which backend servers register.
	Servers tablefeed.Feed
	// DecodeServer decodes an entry of that table. Entries with an error are ignored.
	DecodeServer func(id string, value []byte) (*directory.Entry, error)
	// Instances is the feed of the table in which instances publish their rows, and
	// InstanceRows writes it.
	Instances    tablefeed.Feed
	InstanceRows platform.Table
	// Duties is the table of leases, usage counts and frozen usage windows.
	Duties platform.Table
	// RolloutStatus is where the states of rollouts are written. May be zero.
	RolloutStatus RolloutStatus
	// Streams are the tables with the origins of streams, best in different parts of the store.
	// All instances must have the same ones. If empty, streams are resumed at any version.
	Streams []platform.Table
	// Report sends the usage of one window. It must be idempotent for equal counts.
	Report tally.Report
	// Order orders a number of backend servers. token is the fencing token of the
	// lease under which it is placed. It returns ErrNoneAvailable if the zone
	// currently has no servers of the kind.
	Order func(ctx context.Context, token uint64, o replicas.Order) error
	// Epochs holds the store's epoch, which is part of the versions of all rows. If nil,
	// the store is never restored from an older copy.
	Epochs *storeepoch.Tracker
	// WriteMetrics writes the adapter's metrics in the Prometheus text format. May
	// be nil.
	WriteMetrics func(io.Writer)
}

// ErrNoneAvailable reports that a zone currently has no servers of the ordered kind.
var ErrNoneAvailable = errors.New("the zone currently has no servers of the ordered kind")
