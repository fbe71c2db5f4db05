// Package settings holds what one process reads once at its start: its name,
// its listeners, the platform's endpoints and its limits. What operators change
// while traffic runs is in package config.
package settings

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Duration is a time.Duration that is written with a unit, such as 250ms.
type Duration = yamlfault.Duration

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the name of the instance, unique among all. Required.
	Instance string `yaml:"instance"`
	// Zone is the availability zone that the instance runs in. Required.
	Zone string `yaml:"zone"`
	// Region groups availability zones. Default "": one region.
	Region string `yaml:"region"`
	// Callers is the listener for callers.
	Callers Callers `yaml:"callers"`
	// Operators is the listener for operators.
	Operators Operators `yaml:"operators"`
	// Peers is the listener for other instances.
	Peers Peers `yaml:"peers"`
	// Platform says where the platform's interfaces are.
	Platform Platform `yaml:"platform"`
	// Drain says how the instance stops.
	Drain Drain `yaml:"drain"`
	// Timeline says how many events the instance keeps.
	Timeline Timeline `yaml:"timeline"`
	// Log says what the instance logs.
	Log Log `yaml:"log"`
}

// Callers are the settings of the listener for callers.
type Callers struct {
	// Address is the IP and port to listen on; port 0 takes a free one. Required.
	Address string `yaml:"address"`
	// TLS encrypts the listener. Absent means plain HTTP.
	TLS *TLS `yaml:"tls"`
	// HeaderLimit bounds a request's headers in bytes. Default 32768; zero means the default.
	HeaderLimit int `yaml:"header-limit-bytes"`
	// BodyLimit bounds a request's body in bytes. Default 8388608; zero means the default.
	BodyLimit int64 `yaml:"body-limit-bytes"`
	// HeaderTimeout bounds the time to read the headers. Default 5s; zero means the default.
	HeaderTimeout Duration `yaml:"header-timeout"`
	// BodyTimeout bounds the time to read the body. Default 30s; zero means the default.
	BodyTimeout Duration `yaml:"body-timeout"`
	// IdleTimeout closes a connection without requests. Default 2m; zero means the default.
	IdleTimeout Duration `yaml:"idle-timeout"`
	// MaxConnections bounds the open connections. Default 8192; zero means the default.
	MaxConnections int `yaml:"max-connections"`
}

// Operators are the settings of the listener for operators.
type Operators struct {
	// Address is the IP and port to listen on; port 0 takes a free one. Required.
	Address string `yaml:"address"`
	// TLS encrypts the listener. Absent means plain HTTP.
	TLS *TLS `yaml:"tls"`
	// TokenDigest is the SHA-256 digest, in hexadecimal, of the bearer token
	// that operators send. Default "": none is asked for, which is allowed on a
	// loopback address only.
	TokenDigest string `yaml:"token-digest"`
}

// Peers are the settings of the listener for other instances. Instances prove
// themselves to each other by certificate; at least one of Authorities and
// PinnedKeys is required.
type Peers struct {
	// Address is the IP and UDP port to listen on, as other instances reach it;
	// port 0 takes a free one. Required.
	Address string `yaml:"address"`
	// Certificate is the file of the instance's certificate (PEM). Required.
	Certificate string `yaml:"certificate"`
	// Key is the file of the certificate's private key (PEM). Required.
	Key string `yaml:"key"`
	// Authorities is the file of the certificates that sign the instances'
	// certificates (PEM). Default "": only PinnedKeys count.
	Authorities string `yaml:"authorities"`
	// PinnedKeys are SHA-256 digests, in hexadecimal, of the public keys of
	// other instances. Default none: only Authorities count.
	PinnedKeys []string `yaml:"pinned-keys"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	// Certificate is the file of the certificate chain (PEM). Required.
	Certificate string `yaml:"certificate"`
	// Key is the file of the private key (PEM). Required.
	Key string `yaml:"key"`
}

// Platform holds the base URLs of the platform's interfaces, with IP numbers.
type Platform struct {
	// Table is the transactional table service. Required.
	Table string `yaml:"table"`
	// Objects is the object store. Required.
	Objects string `yaml:"objects"`
	// Servers lists and orders backend servers. Required.
	Servers string `yaml:"servers"`
	// Usage takes usage reports. Required.
	Usage string `yaml:"usage"`
	// Instances lists live and leaving instances. Required.
	Instances string `yaml:"instances"`
	// Timeout bounds one call. Default 2s; zero means the default.
	Timeout Duration `yaml:"timeout"`
}

// Drain says how the instance stops.
type Drain struct {
	// BalancerLag is how long the balancer may send new requests after the
	// instance turned unready. Default 5s; zero means the default.
	BalancerLag Duration `yaml:"balancer-lag"`
	// Limit ends the wait for running requests and cuts them off. Default 0:
	// none, every request is finished.
	Limit Duration `yaml:"limit"`
}

// Timeline says how many events the instance keeps.
type Timeline struct {
	// Events is the size of the ring. Default 32768; zero means the default.
	Events int `yaml:"events"`
}

// Log says what the instance logs.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info; empty means the default.
	Level string `yaml:"level"`
}

// Defaults of optional fields.
const (
	DefaultHeaderLimit    = 32 << 10 // bytes
	DefaultBodyLimit      = 8 << 20  // bytes
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxConnections = 8192
	DefaultTimeout        = 2 * time.Second // of one call to the platform
	DefaultBalancerLag    = 5 * time.Second
	DefaultEvents         = timeline.DefaultRingSize
	DefaultLogLevel       = "info"
)

// SetDefaults fills in every field that is zero and has a default.
func (s *Settings) SetDefaults() {
	yamlfault.SetDefault(&s.Callers.HeaderLimit, DefaultHeaderLimit)
	yamlfault.SetDefault(&s.Callers.BodyLimit, DefaultBodyLimit)
	yamlfault.SetDefault(&s.Callers.HeaderTimeout, Duration(DefaultHeaderTimeout))
	yamlfault.SetDefault(&s.Callers.BodyTimeout, Duration(DefaultBodyTimeout))
	yamlfault.SetDefault(&s.Callers.IdleTimeout, Duration(DefaultIdleTimeout))
	yamlfault.SetDefault(&s.Callers.MaxConnections, DefaultMaxConnections)
	yamlfault.SetDefault(&s.Platform.Timeout, Duration(DefaultTimeout))
	yamlfault.SetDefault(&s.Drain.BalancerLag, Duration(DefaultBalancerLag))
	yamlfault.SetDefault(&s.Timeline.Events, DefaultEvents)
	yamlfault.SetDefault(&s.Log.Level, DefaultLogLevel)
}
