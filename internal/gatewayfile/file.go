// Package gatewayfile serves HTTP routes without a platform. The routes, the
// organisations and the backend servers are defined in one YAML file.
package gatewayfile

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/directory"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// File is the decoded file.
type File struct {
	// Listen is the IP address and port of the callers' listener. Required. A change takes
	// effect only after a restart.
	Listen string `yaml:"listen"`
	// Zone is the availability zone of the process. Empty means unknown.
	Zone string `yaml:"zone"`
	// Services are the groups of backend servers. At least one is required.
	Services []Service `yaml:"services"`
	// Routes map requests to services. At least one is required.
	Routes []Route `yaml:"routes"`
	// Organisations are the tenants and their keys. Empty means that no request needs a
	// key.
	Organisations []Organisation `yaml:"organisations"`
	// BodyLimit bounds the size of a request's body in bytes. Zero means 4 MiB.
	BodyLimit int64 `yaml:"body-limit"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Engine is true for model engines, which cache prompt prefixes.
	Engine bool `yaml:"engine"`
	// Servers are the backend servers. At least one is required.
	Servers []Server `yaml:"servers"`
}

// Server is one backend server.
type Server struct {
	// Name is unique in the file. Required.
	Name string `yaml:"name"`
	// Address is an IP address and port. Required.
	Address string `yaml:"address"`
	// Zone is the availability zone of the server. Empty means unknown.
	Zone string `yaml:"zone"`
	// Slots is the maximum number of requests in flight. Zero means 16.
	Slots int `yaml:"slots"`
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Host is the host of the requests, without a port. It is case-insensitive. Required.
	Host string `yaml:"host"`
	// Prefix is the path prefix of the requests. It must begin and end with a slash.
	// Required.
	Prefix string `yaml:"prefix"`
	// Kind is idempotent, non-idempotent or stream. Required.
	Kind string `yaml:"kind"`
	// Resumable is true if another backend server can continue an interrupted stream.
	Resumable bool `yaml:"resumable"`
	// Open allows requests without a key.
	Open bool `yaml:"open"`
	// Priority is the priority of the requests. 0 is the highest.
	Priority int `yaml:"priority"`
	// Attempts is the maximum number of attempts per request. Zero means 1.
	Attempts int `yaml:"attempts"`
	// Timeout bounds the time to the complete answer. Zero means 30s.
	Timeout yamlfault.Duration `yaml:"timeout"`
	// Target is the target latency. An answer within it has its full value. Zero means 2s.
	Target yamlfault.Duration `yaml:"target"`
	// Pause is the target for the time between two events of a stream. Zero means no
	// target.
	Pause yamlfault.Duration `yaml:"pause"`
	// Split divides the requests among services. At least one is required.
	Split []Share `yaml:"split"`
}

// Share is the share of a route's requests that one service receives.
type Share struct {
	// Service is the name of the service. Required.
	Service string `yaml:"service"`
	// Weight is relative to the other shares of the route. Zero means 1.
	Weight float64 `yaml:"weight"`
}

// Organisation is one tenant.
type Organisation struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// KeyDigests are the SHA-256 digests of the organisation's keys in lower-case
	// hexadecimal.
	KeyDigests []string `yaml:"key-digests"`
	// Priority goes before the priority of the routes, which decides among requests of
	// organisations with equal priority. If nil, the priority of the route stands in
	// its place.
	Priority *int `yaml:"priority"`
}

// Defaults of optional fields.
const (
	DefaultBodyLimit = 4 << 20 // bytes
	DefaultSlots     = 16
	DefaultTimeout   = 30 * time.Second
	DefaultTarget    = 2 * time.Second
)

const digestHexLength = 64 // of a SHA-256 digest

// Decode parses and validates the text of a file. The name is used in error messages
// only. If the text has faults, Decode returns a *yamlfault.FaultsError that lists all of
// them, and the file must not be used.
func Decode(name string, text []byte) (File, error) {
	var f File
	doc := yamlfault.Decode(name, text, &f)
	f.setDefaults()
	c := checker{doc: doc, names: map[string]bool{}}
	c.checkFile(&f)
	return f, doc.Err()
}

func (f *File) setDefaults() {
	yamlfault.SetDefault(&f.BodyLimit, DefaultBodyLimit)
	for i := range f.Services {
		for j := range f.Services[i].Servers {
			yamlfault.SetDefault(&f.Services[i].Servers[j].Slots, DefaultSlots)
		}
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		yamlfault.SetDefault(&r.Attempts, 1)
		yamlfault.SetDefault(&r.Timeout, yamlfault.Duration(DefaultTimeout))
		yamlfault.SetDefault(&r.Target, yamlfault.Duration(DefaultTarget))
		for j := range r.Split {
			yamlfault.SetDefault(&r.Split[j].Weight, 1)
		}
	}
}

// checker validates a file and adds every fault to the document.
type checker struct {
	doc   *yamlfault.Document
	names map[string]bool // defined names, as "kind name"
}

func (c *checker) checkFile(f *File) {
	c.checkAddress("listen", f.Listen)
	c.checkNotEmpty("services", len(f.Services))
	c.checkNotEmpty("routes", len(f.Routes))
	for i := range f.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), &f.Services[i])
	}
	for i := range f.Organisations {
		c.checkOrganisation(fmt.Sprintf("organisations[%d]", i), &f.Organisations[i])
	}
	for i := range f.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), &f.Routes[i])
	}
}

func (c *checker) checkNotEmpty(field string, n int) {
	if n == 0 {
		c.doc.AddFaultOnce(field, "at least one is required")
	}
}

func (c *checker) checkAddress(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.doc.AddFaultOnce(field, "%q is not an IP address and port", address)
	}
}

// define notes a name that must be unique among its kind.
func (c *checker) defineName(kind, field, name string) {
	if err := yamlfault.CheckName(name, ""); err != nil {
		c.doc.AddFaultOnce(field+".name", "%v", err)
		return
	}
	if c.names[kind+" "+name] {
		c.doc.AddFault(field+".name", "%s %q is defined twice", kind, name)
	}
	c.names[kind+" "+name] = true
}

func (c *checker) checkService(field string, s *Service) {
	c.defineName("service", field, s.Name)
	c.checkNotEmpty(field+".servers", len(s.Servers))
	for i := range s.Servers {
		at := fmt.Sprintf("%s.servers[%d]", field, i)
		c.defineName("server", at, s.Servers[i].Name)
		c.checkAddress(at+".address", s.Servers[i].Address)
		if s.Servers[i].Slots < 0 {
			c.doc.AddFault(at+".slots", "must not be negative")
		}
	}
}

func (c *checker) checkOrganisation(field string, o *Organisation) {
	c.defineName("organisation", field, o.Name)
	for i, digest := range o.KeyDigests {
		if len(digest) != digestHexLength || strings.Trim(digest, "0123456789abcdef") != "" {
			c.doc.AddFault(fmt.Sprintf("%s.key-digests[%d]", field, i), "is not a SHA-256 digest in hexadecimal")
		}
	}
}

func (c *checker) checkRoute(field string, r *Route) {
	c.defineName("route", field, r.Name)
	if r.Host == "" {
		c.doc.AddFaultOnce(field+".host", "required")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.doc.AddFaultOnce(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	switch kind := routes.Kind(r.Kind); {
	case kind != routes.Idempotent && kind != routes.NonIdempotent && kind != routes.Stream:
		c.doc.AddFaultOnce(field+".kind", "%q is none of idempotent, non-idempotent and stream", r.Kind)
	case r.Resumable && kind != routes.Stream:
		c.doc.AddFault(field+".resumable", "only streams are resumed")
	}
	if r.Priority < 0 {
		c.doc.AddFault(field+".priority", "must not be negative")
	}
	c.checkNotEmpty(field+".split", len(r.Split))
	for i, s := range r.Split {
		if !c.names["service "+s.Service] {
			c.doc.AddFaultOnce(fmt.Sprintf("%s.split[%d].service", field, i), "service %q does not exist", s.Service)
		}
	}
}

// Table compiles the file into a routing table with the given version.
func (f *File) Table(version uint64) (*routes.Table, error) {
	c := routes.Config{Version: version, Limits: routes.Limits{BodyBytes: f.BodyLimit}}
	for _, s := range f.Services {
		service := routes.Service{Name: s.Name}
		if s.Engine {
			service.Engine = &routes.Engine{}
		}
		c.Services = append(c.Services, service)
	}
	for _, o := range f.Organisations {
		organisation := routes.Organisation{Name: o.Name, Priority: o.Priority}
		for _, digest := range o.KeyDigests {
			organisation.Keys = append(organisation.Keys, config.KeyDigest(digest))
		}
		c.Organisations = append(c.Organisations, organisation)
	}
	for _, r := range f.Routes {
		c.Routes = append(c.Routes, r.route())
	}
	return routes.Compile(c)
}

func (r *Route) route() routes.Route {
	route := routes.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: routes.Kind(r.Kind), Resumable: r.Resumable, Open: r.Open,
		Priority: r.Priority, MaxAttempts: r.Attempts, Timeout: time.Duration(r.Timeout), Target: time.Duration(r.Target),
		TargetEventInterval: time.Duration(r.Pause),
	}
	for _, s := range r.Split {
		route.Split = append(route.Split, routes.Share{Service: s.Service, Weight: s.Weight})
	}
	return route
}

// Servers returns the backend servers of all services.
func (f *File) Servers() []directory.Server {
	var list []directory.Server
	for _, service := range f.Services {
		for _, s := range service.Servers {
			list = append(list, directory.Server{Entry: directory.Entry{
				ID: s.Name, Service: service.Name, Address: s.Address, Zone: s.Zone, Capacity: s.Slots,
			}})
		}
	}
	return list
}
