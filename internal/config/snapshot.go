package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of a caller's key, in hexadecimal. Keys
// themselves are never stored.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// KeyState says whether a key is in force.
type KeyState struct {
	Organisation string `json:"organisation" yaml:"organisation"`
	Withdrawn    bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Snapshot is one version of everything that operators decide: the text, the
// keys and the zones taken out. It is immutable; the request path loads it once
// per request through an atomic pointer.
type Snapshot struct {
	// Version rises with every accepted change. Zero means that none was read yet.
	Version uint64
	// Text is the operators' YAML that Config was decoded from.
	Text string
	// Config is the decoded text with defaults filled in.
	Config Config

	keys          map[KeyDigest]KeyState
	zonesOut      map[string]bool
	organisations map[string]*Organisation
	classes       map[string]*Class
	models        map[string]*Model
	services      map[string]*Service
}

// NewSnapshot compiles a decoded configuration. It takes ownership of the
// arguments; nil keys and zonesOut mean none.
func NewSnapshot(version uint64, text string, c Config, keys map[KeyDigest]KeyState, zonesOut map[string]bool) *Snapshot {
	s := &Snapshot{
		Version: version, Text: text, Config: c, keys: keys, zonesOut: zonesOut,
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

// Key returns the state of a key; false when it was never granted.
func (s *Snapshot) Key(d KeyDigest) (KeyState, bool) {
	k, ok := s.keys[d]
	return k, ok
}

// Keys calls f for each key until f returns false.
func (s *Snapshot) Keys(f func(KeyDigest, KeyState) bool) {
	for d, k := range s.keys {
		if !f(d, k) {
			return
		}
	}
}

// ZoneOut reports whether operators took the availability zone out.
func (s *Snapshot) ZoneOut(zone string) bool { return s.zonesOut[zone] }

// ZonesOut returns the availability zones taken out, in no order.
func (s *Snapshot) ZonesOut() []string {
	names := make([]string, 0, len(s.zonesOut))
	for name, out := range s.zonesOut {
		if out {
			names = append(names, name)
		}
	}
	return names
}

// Organisation returns the named organisation, nil when there is none.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// Class returns the named class, nil when there is none.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Model returns the named model, nil when there is none.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Service returns the named service, nil when there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }
