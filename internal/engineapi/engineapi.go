// Package engineapi defines what the router and a model engine exchange beside
// the OpenAI HTTP API: attempt identity, load reports, cache events and orders.
package engineapi

// Headers between the router and a backend server.
const (
	// AttemptHeader carries the attempt id; the answer must echo it.
	AttemptHeader = "Hawthornwick-Attempt"
	// PriorityHeader carries the tier, 1 being the highest.
	PriorityHeader = "Hawthornwick-Priority"
	// ResumeHeader asks an engine to continue a stream after that many content events.
	ResumeHeader = "Hawthornwick-Resume-After"
	// ResumedHeader is echoed by an engine that continues instead of starting anew.
	ResumedHeader = "Hawthornwick-Resumed"
	// SeedHeader names the generation, so that another engine can continue or
	// replay it with the same output.
	SeedHeader = "Hawthornwick-Generation"
	// EpochHeader carries the engine's restart epoch in every answer.
	EpochHeader = "Hawthornwick-Epoch"
	// DeadlineHeader carries the remaining milliseconds of the caller's deadline.
	DeadlineHeader = "Hawthornwick-Deadline-Ms"
	// RecordHeader carries the digest of organisation and idempotency key of a
	// non-idempotent request.
	RecordHeader = "Hawthornwick-Record"
)

// Paths that engines serve beside the OpenAI API.
const (
	LoadPath        = "/engine/load"         // GET: LoadReport
	CacheEventsPath = "/engine/cache-events" // GET ?after=SEQ: CacheEvents
	OrderPath       = "/engine/orders"       // POST: Order, answers OrderResult
	CancelPath      = "/engine/cancel"       // POST ?attempt=ID
	AttemptPath     = "/engine/attempts"     // GET ?attempt=ID: AttemptStatus
)

// LoadReport is an engine's view of itself; it lags.
type LoadReport struct {
	Epoch         uint64  `json:"epoch"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	CacheUse      float64 `json:"cache_use"` // share of the KV cache in use, 0 to 1
	TokensPerSec  float64 `json:"tokens_per_second"`
	UnixMillis    int64   `json:"unix_ms"` // when it was measured
	ColdRemaining int     `json:"cold_remaining"`
}

// AttemptStatus tells whether an engine still works on an attempt. An engine
// that runs it while the router hears nothing has lost the connection, or is
// not done yet; one that does not run it will not answer any more.
type AttemptStatus struct {
	Running bool `json:"running"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // digest of the prefix's blocks
	Stored   bool   `json:"stored"` // false: evicted
}

// CacheEvents is a batch; a gap in the sequence means that events were lost.
type CacheEvents struct {
	Epoch  uint64       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// OrderKind tells what an engine is asked to do.
type OrderKind string

// Values of OrderKind.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order asks an engine to change what it serves.
type Order struct {
	ID      string    `json:"id"`
	Token   uint64    `json:"token"` // fencing number
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Seen     uint64 `json:"seen"` // highest fencing number seen; 0 if the engine ignores them
	Reason   string `json:"reason,omitempty"`
}
