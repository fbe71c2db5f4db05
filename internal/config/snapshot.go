package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of a caller's key in lower-case hexadecimal. The
// keys themselves are never stored.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// KeyState is the owner of a key and whether the key has been withdrawn.
type KeyState struct {
	Organisation string `json:"organisation" yaml:"organisation"`
	Withdrawn    bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Snapshot is one version of the operators' configuration: the text, the keys and
// the drained zones. It is immutable and safe for concurrent use; the request path
// loads it once per request through an atomic pointer.
type Snapshot struct {
	// Version increases with every accepted change. Zero means that no
	// configuration has been read yet.
	Version uint64
	// Text is the YAML text that Config was decoded from.
	Text string
	// Config is the decoded text with the defaults set.
	Config Config

	keys          map[KeyDigest]KeyState
	drainedZones  map[string]bool
	organisations map[string]*Organisation
	classes       map[string]*Class
	models        map[string]*Model
	services      map[string]*Service
}

// NewSnapshot builds the snapshot of a decoded configuration and indexes it by
// name. It takes ownership of its arguments. Keys and drainedZones may be nil.
func NewSnapshot(version uint64, text string, c Config, keys map[KeyDigest]KeyState, drainedZones map[string]bool) *Snapshot {
	s := &Snapshot{
		Version: version, Text: text, Config: c, keys: keys, drainedZones: drainedZones,
		organisations: make(map[string]*Organisation, len(c.Organisations)),
		classes:       make(map[string]*Class, len(c.Classes)),
		models:        make(map[string]*Model, len(c.Models)),
		services:      make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Organisations {
		s.organisations[c.Organisations[i].Name] = &c.Organisations[i]
	}
	for i := range c.Classes {
		s.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Models {
		s.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	return s
}

// Key returns the state of a key, and false if the key was never granted.
func (s *Snapshot) Key(d KeyDigest) (KeyState, bool) {
	k, ok := s.keys[d]
	return k, ok
}

// Keys calls f for each key, in no particular order, until f returns false.
func (s *Snapshot) Keys(f func(KeyDigest, KeyState) bool) {
	for d, k := range s.keys {
		if !f(d, k) {
			return
		}
	}
}

// ZoneDrained reports whether operators drained the availability zone.
func (s *Snapshot) ZoneDrained(zone string) bool { return s.drainedZones[zone] }

// DrainedZones returns the drained availability zones in no particular order.
func (s *Snapshot) DrainedZones() []string {
	names := make([]string, 0, len(s.drainedZones))
	for name, out := range s.drainedZones {
		if out {
			names = append(names, name)
		}
	}
	return names
}

// Organisation returns the organisation with the name, or nil if there is none.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// Class returns the class with the name, or nil if there is none.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Model returns the model with the name, or nil if there is none.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Service returns the service with the name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }
