package routes

import (
	"fmt"
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// Table is one version of the configuration, compiled for lookups. It is immutable
// and safe for concurrent use.
type Table struct {
	Config

	hosts         map[string]map[string]*Route // by host in lower case, then prefix
	services      map[string]*Service
	organisations map[config.KeyDigest]*Organisation
	ranks         map[rankKey]int
}

// Compile validates a configuration and compiles it. The caller must not change c
// afterwards.
func Compile(c Config) (*Table, error) {
	t := &Table{
		Config:        c,
		hosts:         make(map[string]map[string]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		organisations: make(map[config.KeyDigest]*Organisation),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisations[key] = &c.Organisations[i]
		}
	}
	t.compileRanks()
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("route %q has no service in its split", r.Name)
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return fmt.Errorf("route %q refers to service %q, which is not configured", r.Name, s.Service)
		}
	}
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][r.Prefix] = r
	return nil
}

// Match returns the route with the longest prefix that matches a host and an escaped
// path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the named service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// KeyOwner returns the organisation that a key belongs to, or nil if the key is
// unknown.
func (t *Table) KeyOwner(key config.KeyDigest) *Organisation { return t.organisations[key] }

// RevokedKeys returns the keys of t that do not belong to the same organisation in
// next, mapped to the name of the organisation in t.
func (t *Table) RevokedKeys(next *Table) map[config.KeyDigest]string {
	revoked := map[config.KeyDigest]string{}
	for key, organisation := range t.organisations {
		if owner := next.organisations[key]; owner == nil || owner.Name != organisation.Name {
			revoked[key] = organisation.Name
		}
	}
	return revoked
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Open }

// Choose selects the service for a request by the weights of the route's shares. It
// is deterministic: equal seeds give the same service.
func (r *Route) Choose(seed string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	const scale = 1 << 32
	point := float64(xxhash.Sum64String(seed)%scale) / scale * total
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
