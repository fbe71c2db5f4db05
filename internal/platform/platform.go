// Package platform defines what the router uses of the platform that runs it:
// a transactional table service, an object store, orders for backend
// servers, usage reports and the list of instances.
//
// Every call may fail with ErrUnavailable. Whether a write took effect is then
// unknown, so the caller must read the state back.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnavailable reports that the platform returned no usable response. A write may
// or may not have taken effect.
var ErrUnavailable = errors.New("platform did not answer")

// ErrNotFound reports that an object or order does not exist.
var ErrNotFound = errors.New("not found")

// ConflictError reports that a check of a transaction failed and nothing was written.
type ConflictError struct {
	Key string // key whose check failed
	// Current is its current version. Zero means that the row is absent, or that the check is
	// of a version of an earlier epoch.
	Current uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("check failed: row %q has version %d, another was expected", e.Key, e.Current)
}

// StaleTokenError reports that the receiver has already seen a higher fencing token.
type StaleTokenError struct{ Token, Seen uint64 }

// Error implements the error interface.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("stale fencing token %d: receiver has seen %d", e.Token, e.Seen)
}

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // increases with each write of the row, see NewVersion; zero means absent
}

// Check is a precondition on a row's version. Version zero requires that the row is absent.
type Check struct {
	Key     string
	Version uint64
}

// Write writes a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: its writes are applied atomically, and only if every check holds.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the transactional table service. Reads are linearizable.
type Table interface {
	// Get returns one row per key, in the order of keys. Absent rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns up to limit rows whose keys have the prefix and sort after after, in
	// key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the new versions of the rows, in
	// the order of Writes. It returns *ConflictError if a check fails.
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names with the prefix in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// ServerState is the platform's view of a backend server.
type ServerState string

// Values of ServerState.
const (
	ServerStarting ServerState = "starting"
	ServerRunning  ServerState = "running"
	ServerDraining ServerState = "leaving" // shutdown announced; accepts no new requests
	ServerRemoved  ServerState = "gone"
)

// Server is one backend server as the platform lists it.
type Server struct {
	Name               string      `json:"name"`
	Address            string      `json:"address"` // IP and port
	Zone               string      `json:"zone"`
	Model              string      `json:"model"`             // model that it serves; empty for a plain service
	Service            string      `json:"service,omitempty"` // plain service that it serves
	Preemptible        bool        `json:"cheap,omitempty"`   // preemptible: may be reclaimed at short notice
	RejectsStaleTokens bool        `json:"fences,omitempty"`  // rejects orders with a stale fencing token
	Epoch              uint64      `json:"epoch"`             // increases at each restart
	State              ServerState `json:"state"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// Values of OrderKind.
const (
	OrderStart  OrderKind = "start"
	OrderReturn OrderKind = "return"
)

// Order asks the platform to start or return a backend server.
type Order struct {
	ID          string    `json:"id"`    // idempotency key: the platform executes an order at most once per id
	Duty        string    `json:"duty"`  // duty on whose behalf the order is placed
	Token       uint64    `json:"token"` // fencing token of the duty's lease
	Kind        OrderKind `json:"kind"`
	Zone        string    `json:"zone,omitempty"`
	Model       string    `json:"model,omitempty"`
	Preemptible bool      `json:"cheap,omitempty"`
	Server      string    `json:"server,omitempty"` // backend server to return; OrderReturn only
}

// OrderOutcome is the result of an order.
type OrderOutcome struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Server   string `json:"server,omitempty"` // backend server that was started or returned
	Reason   string `json:"reason,omitempty"` // why it was not accepted
}

// Servers lists and orders backend servers.
type Servers interface {
	List(ctx context.Context) ([]Server, error)
	// Place executes an order at most once per order id. It returns *StaleTokenError
	// if the platform has seen a higher fencing token for the duty.
	Place(ctx context.Context, o Order) (OrderOutcome, error)
	// Lookup returns the outcome of an order, or ErrNotFound if it was never placed.
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
	// LateWindow is the id of an earlier window that the usage belongs to, if it arrived
	// after that window was frozen.
	LateWindow string `json:"late,omitempty"`
}

// UsageReport is the final usage of one window.
type UsageReport struct {
	Window string      `json:"window"` // window id; a retried report has the same figures
	Duty   string      `json:"duty"`
	Token  uint64      `json:"token"`
	Start  time.Time   `json:"start"`
	End    time.Time   `json:"end"`
	Lines  []UsageLine `json:"lines"`
}

// UsageSink receives usage reports.
type UsageSink interface {
	// Report is idempotent per window. It returns *StaleTokenError if the platform
	// has seen a higher fencing token for the duty.
	Report(ctx context.Context, r UsageReport) error
}

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Peer     string `json:"peer"` // IP and port of the peer listener
	Draining bool   `json:"leaving,omitempty"`
}

// Instances lists running and leaving instances. The list is eventually consistent.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
