// Package routes defines the operators' configuration of HTTP routes: which
// service serves a host and path, which requests may be retried, their time
// limits, and which keys belong to which organisation. A Table is one immutable
// version of the configuration, compiled for lookups.
package routes

import (
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// Kind states whether a route's answers are streams and whether its requests may be
// retried.
type Kind string

// Values of Kind.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Stream answers are server-sent events with ascending ids.
	Stream Kind = "stream"
)

// Config is one version of the operators' routes.
type Config struct {
	// Version increases with every change. Zero means that no version was read.
	Version uint64
	// Routes map requests to services.
	Routes []Route
	// Services are groups of interchangeable backend servers.
	Services []Service
	// Organisations hold the keys. Empty means that no request needs a key.
	Organisations []Organisation
	// Limits bound the size and duration of callers' requests.
	Limits Limits
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	// Name is unique. Required.
	Name string
	// Host is compared case-insensitively and without the port. Required.
	Host string
	// Prefix must begin and end with a slash. The longest matching prefix wins.
	// Required.
	Prefix string
	// Kind states whether requests may be retried and whether answers are streams.
	Kind Kind
	// Resumable streams can be continued on another server after the last
	// received event. Streams only.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Priority ranks the route's requests; 0 is the most urgent. See Table.Rank.
	Priority int
	// MaxAttempts bounds how often one request may run. Zero means 1.
	MaxAttempts int
	// Timeout bounds the time until the answer is complete. Zero means no limit.
	Timeout time.Duration
	// Target is the latency target for an answer or for a stream's first event.
	// Zero means none.
	Target time.Duration
	// TargetEventInterval is the latency target between two events of a stream. Zero means none.
	TargetEventInterval time.Duration
	// Split distributes the requests over services by weight. Required.
	Split []Share
}

// Share is one service's share of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the route's other shares. Zero means no requests.
	Weight float64
}

// Pattern names the requests that the route takes: those of two routes with equal patterns are the same.
func (r *Route) Pattern() string { return strings.ToLower(r.Host) + r.Prefix }

// Retryable reports whether a request of the route may be retried after a server
// may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name is unique. Required.
	Name string
	// MaxConnections is the number of connections that one server accepts in
	// total. Zero means unknown.
	MaxConnections int
	// ColdTime is how long a server stays cold after its start. Zero means that
	// servers are never cold.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold server can take
	// from all instances together. Zero means no limit.
	ColdRate float64
	// Engine describes model servers. Nil means that the servers run no model.
	Engine *Engine
	// Scaling bounds the number of servers to order. Nil means that none are
	// ordered.
	Scaling *Scaling
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// CacheTokens is the size of one server's KV cache, in tokens.
	CacheTokens int
}

// Scaling bounds the number of servers per availability zone.
type Scaling struct {
	// Min and Max bound the servers of a zone, preemptible ones included.
	Min, Max int
	// StartTime is the time from the order of a server until it serves requests.
	StartTime time.Duration
	// PreemptiblePrice is the price of a preemptible server relative to a regular
	// one. Zero means that none are offered.
	PreemptiblePrice float64
	// ZonePrices are the relative prices of a server by availability zone. Servers
	// are ordered only in zones that have a price.
	ZonePrices map[string]float64
}

// Organisation is a tenant with its keys.
type Organisation struct {
	// Name is unique. Required.
	Name string
	// Keys are the digests of the organisation's secret keys.
	Keys []config.KeyDigest
	// Priority ranks the organisation's requests and goes before the route's
	// priority; 0 is the most urgent. If nil, the route's stands in its place. See
	// Table.Rank.
	Priority *int
}

// Limits bound the size and duration of callers' requests. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
