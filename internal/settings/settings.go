// Package settings defines the settings that a process reads once at startup: its
// name, its listeners, the platform's endpoints and its limits. The configuration
// that operators change at run time is in package config.
package settings

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Duration is a time.Duration that is written with a unit in YAML, such as 250ms.
type Duration = yamlfault.Duration

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the unique name of the instance. Required.
	Instance string `yaml:"instance"`
	// Zone is the availability zone that the instance runs in. Required.
	Zone string `yaml:"zone"`
	// Region is the region of the availability zone. Zones with an empty region form
	// one region.
	Region string `yaml:"region"`
	// Callers is the listener for callers.
	Callers Callers `yaml:"callers"`
	// Operators is the listener for operators.
	Operators Operators `yaml:"operators"`
	// Peers is the listener for other instances.
	Peers Peers `yaml:"peers"`
	// Platform holds the endpoints of the platform.
	Platform Platform `yaml:"platform"`
	// Drain configures the planned stop of the instance.
	Drain Drain `yaml:"drain"`
	// Timeline configures the event ring of the instance.
	Timeline Timeline `yaml:"timeline"`
	// Log configures the log of the instance.
	Log Log `yaml:"log"`
}

// Callers are the settings of the listener for callers.
type Callers struct {
	// Address is the IP address and port to listen on. Port 0 means any free port.
	// Required.
	Address string `yaml:"address"`
	// TLS holds the certificate of the listener. If nil, the listener serves plain
	// HTTP.
	TLS *TLS `yaml:"tls"`
	// HeaderLimit bounds the size of a request's headers in bytes. Zero means 32768.
	HeaderLimit int `yaml:"header-limit-bytes"`
	// BodyLimit bounds the size of a request's body in bytes. Zero means 8388608.
	BodyLimit int64 `yaml:"body-limit-bytes"`
	// HeaderTimeout bounds the time to read the headers. Zero means 5s.
	HeaderTimeout Duration `yaml:"header-timeout"`
	// BodyTimeout bounds the time to read the body. Zero means 30s.
	BodyTimeout Duration `yaml:"body-timeout"`
	// IdleTimeout is the time after which a connection without requests is closed.
	// Zero means 2m.
	IdleTimeout Duration `yaml:"idle-timeout"`
	// MaxConnections bounds the number of open connections. Zero means 8192.
	MaxConnections int `yaml:"max-connections"`
}

// Operators are the settings of the listener for operators.
type Operators struct {
	// Address is the IP address and port to listen on. Port 0 means any free port.
	// Required.
	Address string `yaml:"address"`
	// TLS holds the certificate of the listener. If nil, the listener serves plain
	// HTTP.
	TLS *TLS `yaml:"tls"`
	// TokenDigest is the SHA-256 digest, in hexadecimal, of the operators' bearer
	// token. Empty means that no token is required, which is allowed on a loopback
	// address only.
	TokenDigest string `yaml:"token-digest"`
}

// Peers are the settings of the listener for other instances. Instances authenticate
// each other by certificate (mutual TLS); at least one of Authorities and PinnedKeys
// is required.
type Peers struct {
	// Address is the IP address and UDP port to listen on. It must be reachable from
	// other instances. Port 0 means any free port. Required.
	Address string `yaml:"address"`
	// Certificate is the path of the instance's certificate (PEM). Required.
	Certificate string `yaml:"certificate"`
	// Key is the path of the certificate's private key (PEM). Required.
	Key string `yaml:"key"`
	// Authorities is the path of the certificates (PEM) of the authorities that sign
	// the instances' certificates. Empty means that only PinnedKeys are accepted.
	Authorities string `yaml:"authorities"`
	// PinnedKeys are SHA-256 digests, in hexadecimal, of the public keys of
	// other instances. Empty means that only certificates signed by Authorities are
	// accepted.
	PinnedKeys []string `yaml:"pinned-keys"`
}

// TLS holds the paths of a listener's certificate and key.
type TLS struct {
	// Certificate is the path of the certificate chain (PEM). Required.
	Certificate string `yaml:"certificate"`
	// Key is the path of the private key (PEM). Required.
	Key string `yaml:"key"`
}

// Platform holds the base URLs of the platform's interfaces. Hosts must be IP
// addresses.
type Platform struct {
	// Table is the URL of the transactional table service. Required.
	Table string `yaml:"table"`
	// Objects is the URL of the object store. Required.
	Objects string `yaml:"objects"`
	// Servers is the URL of the interface that lists and orders backend servers.
	// Required.
	Servers string `yaml:"servers"`
	// Usage is the URL of the interface that receives usage reports. Required.
	Usage string `yaml:"usage"`
	// Instances is the URL of the interface that lists running and draining
	// instances. Required.
	Instances string `yaml:"instances"`
	// Timeout bounds one call to the platform. Zero means 2s.
	Timeout Duration `yaml:"timeout"`
}

// Drain configures the planned stop of the instance.
type Drain struct {
	// BalancerLag is the time for which the load balancer may still send new requests
	// after the instance reported not ready. Zero means 5s.
	BalancerLag Duration `yaml:"balancer-lag"`
	// Timeout bounds the wait for running requests; after that they are cut off. Zero
	// means no limit.
	Timeout Duration `yaml:"limit"`
}

// Timeline configures the ring in which the instance keeps its latest events.
type Timeline struct {
	// Events is the number of events in the ring. Zero means 32768.
	Events int `yaml:"events"`
}

// Log configures the log of the instance.
type Log struct {
	// Level is trace, debug, info, warn or error. Empty means info.
	Level string `yaml:"level"`
}

// Defaults of optional fields.
const (
	DefaultHeaderLimit     = 32 << 10 // bytes
	DefaultBodyLimit       = 8 << 20  // bytes
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyTimeout     = 30 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
	DefaultMaxConnections  = 8192
	DefaultPlatformTimeout = 2 * time.Second // per call to the platform
	DefaultBalancerLag     = 5 * time.Second
	DefaultTimelineEvents  = timeline.DefaultRingSize
	DefaultLogLevel        = "info"
)

// SetDefaults sets every zero field that has a default.
func (s *Settings) SetDefaults() {
	yamlfault.SetDefault(&s.Callers.HeaderLimit, DefaultHeaderLimit)
	yamlfault.SetDefault(&s.Callers.BodyLimit, DefaultBodyLimit)
	yamlfault.SetDefault(&s.Callers.HeaderTimeout, Duration(DefaultHeaderTimeout))
	yamlfault.SetDefault(&s.Callers.BodyTimeout, Duration(DefaultBodyTimeout))
	yamlfault.SetDefault(&s.Callers.IdleTimeout, Duration(DefaultIdleTimeout))
	yamlfault.SetDefault(&s.Callers.MaxConnections, DefaultMaxConnections)
	yamlfault.SetDefault(&s.Platform.Timeout, Duration(DefaultPlatformTimeout))
	yamlfault.SetDefault(&s.Drain.BalancerLag, Duration(DefaultBalancerLag))
	yamlfault.SetDefault(&s.Timeline.Events, DefaultTimelineEvents)
	yamlfault.SetDefault(&s.Log.Level, DefaultLogLevel)
}
