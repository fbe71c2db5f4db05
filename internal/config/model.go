// Package config defines the configuration that operators change at run time: its
// YAML form, its validation, and the immutable snapshot that the request path
// reads.
package config

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Config is the decoded YAML text. Keys and drained zones are not part of it;
// they are changed by separate commands.
type Config struct {
	// Organisations may send requests. At least one is required.
	Organisations []Organisation `yaml:"organisations"`
	// Classes are the service classes that requests can select. At least one is
	// required.
	Classes []Class `yaml:"classes"`
	// Models are the models that engines serve through the OpenAI API.
	Models []Model `yaml:"models"`
	// Services are the operators' services: plain HTTP services with a route,
	// or services that only send requests to models.
	Services []Service `yaml:"services"`
	// Zones are the availability zones. At least one is required.
	Zones []Zone `yaml:"zones"`
}

// Organisation is one tenant.
type Organisation struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Weight is the organisation's share of a class relative to other organisations.
	// Zero means 1.
	Weight float64 `yaml:"weight"`
	// Class is the class of requests without a class header. Empty means the class
	// of the model or service.
	Class string `yaml:"class"`
}

// Class is one service class: a priority with latency targets and limits.
type Class struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Tier is the priority, 1 (highest) to 7. Required.
	Tier int `yaml:"tier"`
	// Floor is the share of dispatches, from 0 to below 1, that is guaranteed to the
	// class while it has queued requests. The floors of all classes must sum to
	// less than 1. Zero means 0.01.
	Floor float64 `yaml:"floor"`
	// FirstToken is the target for the time to first token. Zero means no target.
	FirstToken Duration `yaml:"first-token"`
	// BetweenTokens is the target for the time between two tokens. Zero means no
	// target.
	BetweenTokens Duration `yaml:"between-tokens"`
	// Deadline bounds the time to the complete answer. Zero means 2m.
	Deadline Duration `yaml:"deadline"`
	// QueueTimeout bounds the time in the admission queue. Zero means Deadline.
	QueueTimeout Duration `yaml:"queue-limit"`
	// RetryBudget is the number of retries allowed per first attempt, from 0 to 1.
	// If nil, 0.1 is used.
	RetryBudget *float64 `yaml:"retry-budget"`
	// HedgeAfter is the delay after which a second attempt of an idempotent request
	// is sent in parallel to the first. Zero means no hedging.
	HedgeAfter Duration `yaml:"hedge-after"`
	// AllowPreemptible allows the use of preemptible backend servers.
	AllowPreemptible bool `yaml:"cheap"`
	// NonIdempotent marks model requests that must run at most once.
	NonIdempotent bool `yaml:"non-idempotent"`
}

// Model is one model that engines serve.
type Model struct {
	// Name is the value of the "model" field of requests. Unique. Required.
	Name string `yaml:"name"`
	// Class is the class of requests without a class header. Required.
	Class string `yaml:"class"`
	// ColdLimit is the maximum number of requests in flight, over all instances, on
	// an engine that has just started. Zero means 1.
	ColdLimit int `yaml:"cold-limit"`
	// WarmLimit is the maximum number of requests in flight on a warm engine. Zero
	// means 32.
	WarmLimit int `yaml:"warm-limit"`
	// MinServers and MaxServers bound the number of servers that the scaler orders.
	// If MaxServers is zero, the model is not scaled.
	MinServers int `yaml:"min-servers"`
	MaxServers int `yaml:"max-servers"`
	// StartTime is the expected time from the order of a server until it is warm.
	// Zero means 2m.
	StartTime Duration `yaml:"start-time"`
}

// Service is one of the operators' services.
type Service struct {
	// Name is unique among services and models. Required.
	Name string `yaml:"name"`
	// Class is the class of its requests. Required.
	Class string `yaml:"class"`
	// Route exposes the service under /services/NAME/. If false, the service only
	// sends requests to models.
	Route bool `yaml:"route"`
	// Idempotent lists the HTTP methods that may be retried. If nil, GET, HEAD and
	// OPTIONS are used; an empty list means that no method may be retried.
	Idempotent []string `yaml:"idempotent-methods"`
	// Open allows requests without a key.
	Open bool `yaml:"open"`
	// Organisations lists the organisations that may use the route. Empty means all.
	Organisations []string `yaml:"organisations"`
	// DependsOn lists the services and models that must be available for this
	// service to work. Empty means none.
	DependsOn []string `yaml:"depends-on"`
	// Servers are the backend servers of the route. Required if Route is set.
	Servers []Endpoint `yaml:"servers"`
	// Limit is the maximum number of requests in flight on one backend server. Zero
	// means 64.
	Limit int `yaml:"limit"`
}

// Endpoint is one backend server of a plain service.
type Endpoint struct {
	// Address is an IP address and port. Required.
	Address string `yaml:"address"`
	// Zone is the name of the availability zone. Required.
	Zone string `yaml:"zone"`
}

// Zone is one availability zone.
type Zone struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Region is the region that the zone belongs to. Zones with an empty region form
	// one region.
	Region string `yaml:"region"`
	// Price is the cost of a server per hour. All prices must be in the same
	// currency. Zero means that prices are ignored.
	Price float64 `yaml:"price"`
	// PreemptiblePrice is the cost of a preemptible server per hour.
	PreemptiblePrice float64 `yaml:"cheap-price"`
}

// Defaults of optional fields.
const (
	DefaultDeadline     = 2 * time.Minute
	DefaultRetryBudget  = 0.1
	DefaultColdLimit    = 1
	DefaultWarmLimit    = 32
	DefaultStartTime    = 2 * time.Minute
	DefaultServiceLimit = 64
	// DefaultFloor is the floor of a class without a configured floor, as a share of
	// dispatches.
	DefaultFloor = 0.01
	// TierCount is the number of priority tiers. Tier 1 is the highest.
	TierCount = 7
)

// Duration is a time.Duration that is written with a unit in YAML, such as 250ms.
type Duration = yamlfault.Duration
