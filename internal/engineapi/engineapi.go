// Package engineapi defines the protocol between the router and a model engine
// that extends the OpenAI HTTP API: attempt ids, load reports, cache events and
// orders.
package engineapi

// Headers between the router and a backend server.
const (
	// AttemptHeader carries the attempt id. The response must echo it.
	AttemptHeader = "Hawthornwick-Attempt"
	// PriorityHeader carries the tier; 1 is the highest.
	PriorityHeader = "Hawthornwick-Priority"
	// ResumeHeader requests that the engine continue a stream after the given
	// number of content events.
	ResumeHeader = "Hawthornwick-Resume-After"
	// ResumedHeader is set in the response of an engine that continues the stream.
	// Its first event is the next content event, without a role event before it. Without
	// the header, the stream starts from the beginning.
	ResumedHeader = "Hawthornwick-Resumed"
	// GenerationHeader carries the id of the generation, with which another engine can
	// continue or replay it with the same output.
	GenerationHeader = "Hawthornwick-Generation"
	// EpochHeader carries the engine's restart epoch in every response.
	EpochHeader = "Hawthornwick-Epoch"
	// DeadlineHeader carries the time until the caller's deadline, in milliseconds.
	DeadlineHeader = "Hawthornwick-Deadline-Ms"
	// RecordHeader carries the id of a non-idempotent request's idempotency record:
	// the digest of organisation and idempotency key.
	RecordHeader = "Hawthornwick-Record"
	// LeavingHeader is "1" in the responses of an engine that stops soon and wants no
	// further requests.
	LeavingHeader = "Hawthornwick-Leaving"
	// RateLimitHeader carries the requests per second that the engine takes from all
	// instances together, as a decimal number, for as long as responses carry it.
	RateLimitHeader = "Hawthornwick-Rate-Limit"
)

// Paths that engines serve in addition to the OpenAI API.
const (
	LoadPath        = "/engine/load"         // GET: LoadReport
	CacheEventsPath = "/engine/cache-events" // GET ?after=SEQ: CacheEvents
	OrderPath       = "/engine/orders"       // POST Order: OrderResult
	CancelPath      = "/engine/cancel"       // POST ?attempt=ID
	AttemptPath     = "/engine/attempts"     // GET ?attempt=ID: AttemptStatus
)

// LoadReport is an engine's report of its own load. It lags behind the actual load.
type LoadReport struct {
	Epoch         uint64  `json:"epoch"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	CacheUse      float64 `json:"cache_use"` // share of the KV cache in use, 0 to 1
	TokensPerSec  float64 `json:"tokens_per_second"`
	UnixMillis    int64   `json:"unix_ms"`        // time of the measurement
	ColdRemaining int     `json:"cold_remaining"` // warm limit minus current limit of requests in flight; 0 when warm
}

// AttemptStatus reports whether an attempt still runs on an engine. If it runs
// while the router receives nothing, then either the connection is broken or the
// attempt is not done yet. If it does not run, no response will follow.
type AttemptStatus struct {
	Running bool `json:"running"`
}

// CacheEvent reports that a prompt prefix was added to an engine's cache or evicted
// from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // digest of the prefix's blocks
	Stored   bool   `json:"stored"` // false if the prefix was evicted
}

// CacheEvents is a batch of cache events. A gap in the sequence means that events
// were lost.
type CacheEvents struct {
	Epoch  uint64       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Values of OrderKind.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is a request to an engine to change what it serves.
type Order struct {
	ID      string    `json:"id"`
	Token   uint64    `json:"token"` // fencing token
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderResult is an engine's response to an order.
type OrderResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Seen     uint64 `json:"seen"` // highest fencing token seen; 0 if the engine ignores tokens
	Reason   string `json:"reason,omitempty"`
}
