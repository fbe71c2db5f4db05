// Package platform defines what the router uses of the platform that runs it:
// a transactional table service, an object store, the ordering of backend
// servers, usage reports and the list of instances.
//
// Every call may fail with ErrUnavailable; the effect of a write is then
// unknown and must be read back.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnavailable reports that the platform did not answer. A write may or may
// not have taken effect.
var ErrUnavailable = errors.New("platform did not answer")

// ErrNotFound reports that an object or an order does not exist.
var ErrNotFound = errors.New("not found")

// ConflictError reports that a transaction's check failed; nothing was written.
type ConflictError struct {
	Key     string // key whose check failed
	Current uint64 // its current version; zero means that the row is absent
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, not the expected one", e.Key, e.Current)
}

// StaleTokenError reports that the receiver has seen a higher fencing number.
type StaleTokenError struct{ Token, Seen uint64 }

// Error implements the error interface.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Token, e.Seen)
}

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // rises with each write of the row; zero means absent
}

// Check demands that a row has a version; zero demands that it is absent.
type Check struct {
	Key     string
	Version uint64
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied whole or not at all.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the transactional table service. Reads are linearizable.
type Table interface {
	// Get returns the rows in the order of the keys; absent rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows with the prefix and keys above after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It returns *ConflictError when a check
	// fails, and the new versions of the written rows in the order of Writes.
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names with the prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// ServerState is the platform's view of a backend server.
type ServerState string

// Values of ServerState.
const (
	ServerStarting ServerState = "starting"
	ServerRunning  ServerState = "running"
	ServerLeaving  ServerState = "leaving" // announced to go; takes no new work
	ServerGone     ServerState = "gone"
)

// Server is one backend server as the platform lists it.
type Server struct {
	Name    string      `json:"name"`
	Address string      `json:"address"` // IP and port
	Zone    string      `json:"zone"`
	Model   string      `json:"model"`             // model it serves; empty for a plain service
	Service string      `json:"service,omitempty"` // plain service it serves
	Cheap   bool        `json:"cheap,omitempty"`   // may be reclaimed at short notice
	Fences  bool        `json:"fences,omitempty"`  // refuses orders with an old fencing number
	Epoch   uint64      `json:"epoch"`             // rises at each restart
	State   ServerState `json:"state"`
}

// OrderKind tells what an order asks for.
type OrderKind string

// Values of OrderKind.
const (
	OrderStart  OrderKind = "start"
	OrderReturn OrderKind = "return"
)

// Order asks the platform to start or return a backend server.
type Order struct {
	ID     string    `json:"id"`    // idempotency id: the platform acts once per id
	Duty   string    `json:"duty"`  // shard in whose name it is placed
	Token  uint64    `json:"token"` // fencing number of the duty's lease
	Kind   OrderKind `json:"kind"`
	Zone   string    `json:"zone,omitempty"`
	Model  string    `json:"model,omitempty"`
	Cheap  bool      `json:"cheap,omitempty"`
	Server string    `json:"server,omitempty"` // for OrderReturn
}

// OrderOutcome is what became of an order.
type OrderOutcome struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Server   string `json:"server,omitempty"` // the server started or returned
	Reason   string `json:"reason,omitempty"` // why it was not accepted
}

// Servers lists and orders backend servers.
type Servers interface {
	List(ctx context.Context) ([]Server, error)
	// Place acts at most once per order id. It returns *StaleTokenError when a
	// higher fencing number was seen for the duty.
	Place(ctx context.Context, o Order) (OrderOutcome, error)
	// Lookup returns the outcome of an order, ErrNotFound if it was never placed.
	Lookup(ctx context.Context, id string) (OrderOutcome, error)
}

// UsageLine is the usage of one organisation, class and model in one window.
type UsageLine struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Model        string `json:"model"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"input_tokens"`
	OutputTokens int64  `json:"output_tokens"`
	// Late marks usage of an earlier window that arrived after that was frozen.
	Late string `json:"late,omitempty"`
}

// UsageReport is the frozen usage of one window.
type UsageReport struct {
	Window string      `json:"window"` // window id; resends bear the same figures
	Duty   string      `json:"duty"`
	Token  uint64      `json:"token"`
	Start  time.Time   `json:"start"`
	End    time.Time   `json:"end"`
	Lines  []UsageLine `json:"lines"`
}

// UsageSink takes usage reports.
type UsageSink interface {
	// Report is idempotent per window. It returns *StaleTokenError when a
	// higher fencing number was seen for the duty.
	Report(ctx context.Context, r UsageReport) error
}

// Instance is one entry of the platform's lagging list of instances.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"` // IP and port of the peer listener
	Leaving bool   `json:"leaving,omitempty"`
}

// Instances lists live and leaving instances; the list lags.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
