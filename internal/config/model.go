// Package config holds the operators' live configuration: its text form, its
// validation, and the immutable snapshot that the request path reads.
package config

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Config is the operators' text after decoding. It says nothing about keys and
// zone outages, which change by commands of their own.
type Config struct {
	// Organisations may send requests. At least one is required.
	Organisations []Organisation `yaml:"organisations"`
	// Classes are the promises that requests may ask for. At least one is required.
	Classes []Class `yaml:"classes"`
	// Models are served by engines through the OpenAI API.
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
	// Weight is its share within a class relative to others. Default 1; zero means the default.
	Weight float64 `yaml:"weight"`
	// Class is the class of requests that name none. Empty means the model's or service's class.
	Class string `yaml:"class"`
}

// Class is one promise about answers.
type Class struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Tier is the priority, 1 (highest) to 7. Required.
	Tier int `yaml:"tier"`
	// Floor is the smallest share of dispatches while work waits, 0 to below 1.
	// Floors of all classes sum to less than 1. Default 0: MinimumFloor applies.
	Floor float64 `yaml:"floor"`
	// FirstToken is the target until the first token. Default 0: none.
	FirstToken Duration `yaml:"first-token"`
	// BetweenTokens is the target between tokens. Default 0: none.
	BetweenTokens Duration `yaml:"between-tokens"`
	// Deadline bounds the whole answer. Default 2m; zero means the default.
	Deadline Duration `yaml:"deadline"`
	// QueueLimit bounds the wait for admission. Default: Deadline; zero means the default.
	QueueLimit Duration `yaml:"queue-limit"`
	// RetryBudget is the number of retries per first attempt, 0 to 1. Default 0.1; absent means the default.
	RetryBudget *float64 `yaml:"retry-budget"`
	// HedgeAfter sends a second attempt of an idempotent request that long
	// after the first. Default 0: never.
	HedgeAfter Duration `yaml:"hedge-after"`
	// Cheap allows cheap backend servers. Default false.
	Cheap bool `yaml:"cheap"`
	// NonIdempotent marks model requests that must run at most once. Default false.
	NonIdempotent bool `yaml:"non-idempotent"`
}

// Model is one model that engines serve.
type Model struct {
	// Name is what callers send in "model". Unique. Required.
	Name string `yaml:"name"`
	// Class is the class of requests that name none. Required.
	Class string `yaml:"class"`
	// ColdLimit is the number of requests in flight, over all instances, that a
	// cold engine bears at first. Default 1; zero means the default.
	ColdLimit int `yaml:"cold-limit"`
	// WarmLimit is the number of requests in flight that a warm engine bears.
	// Default 32; zero means the default.
	WarmLimit int `yaml:"warm-limit"`
	// MinServers and MaxServers bound what the scaler orders. Default 0: no
	// scaling when MaxServers is zero.
	MinServers int `yaml:"min-servers"`
	MaxServers int `yaml:"max-servers"`
	// StartTime is how long a server takes from its order until it is warm.
	// Default 2m; zero means the default.
	StartTime Duration `yaml:"start-time"`
}

// Service is one of the operators' services.
type Service struct {
	// Name is unique among services and models. Required.
	Name string `yaml:"name"`
	// Class is the class of its requests. Required.
	Class string `yaml:"class"`
	// Route serves the service under /services/NAME/. Default false: the
	// service only sends requests to models.
	Route bool `yaml:"route"`
	// Idempotent lists the methods that may be repeated. Default GET, HEAD and
	// OPTIONS; absent means the default.
	Idempotent []string `yaml:"idempotent-methods"`
	// Open lets callers without a key use the route. Default false.
	Open bool `yaml:"open"`
	// Organisations that may use the route. Empty means all.
	Organisations []string `yaml:"organisations"`
	// DependsOn names the services and models that must be up. Default none.
	DependsOn []string `yaml:"depends-on"`
	// Servers are the addresses of a route's backend servers. Required with Route.
	Servers []Endpoint `yaml:"servers"`
	// Limit is the number of requests in flight that one backend server bears.
	// Default 64; zero means the default.
	Limit int `yaml:"limit"`
}

// Endpoint is one backend server of a plain service.
type Endpoint struct {
	// Address is an IP and a port. Required.
	Address string `yaml:"address"`
	// Zone names the availability zone. Required.
	Zone string `yaml:"zone"`
}

// Zone is one availability zone.
type Zone struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Region groups zones. Default "": one region.
	Region string `yaml:"region"`
	// Price is what a server costs per hour, in any one currency. Default 0:
	// prices do not matter.
	Price float64 `yaml:"price"`
	// CheapPrice is what a cheap server costs per hour. Default 0.
	CheapPrice float64 `yaml:"cheap-price"`
}

// Defaults of optional fields.
const (
	DefaultDeadline    = 2 * time.Minute
	DefaultRetryBudget = 0.1
	DefaultColdLimit   = 1
	DefaultWarmLimit   = 32
	DefaultStartTime   = 2 * time.Minute
	DefaultLimit       = 64
	// MinimumFloor is the floor of a class that states none, as a share of dispatches.
	MinimumFloor = 0.01
	// Tiers is the number of tiers; tier 1 is the highest.
	Tiers = 7
)

// Duration is a time.Duration that is written with a unit, such as 250ms.
type Duration = yamlfault.Duration
