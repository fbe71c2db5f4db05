// Package gatewayfile serves HTTP routes from one YAML file, without a platform:
// the routes, the organisations and the backend servers are listed in it.
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

// File is the text after decoding.
type File struct {
	// Listen is the IP and port of the callers' listener. Required; read once.
	Listen string `yaml:"listen"`
	// Zone is the availability zone of the process. Empty: unknown.
	Zone string `yaml:"zone"`
	// Services are groups of backend servers. At least one is required.
	Services []Service `yaml:"services"`
	// Routes lead requests to services. At least one is required.
	Routes []Route `yaml:"routes"`
	// Organisations hold keys. Empty: no request needs a key.
	Organisations []Organisation `yaml:"organisations"`
	// BodyLimit bounds a request's body in bytes. Default 4 MiB; zero means the default.
	BodyLimit int64 `yaml:"body-limit"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Engine is true for model servers, which keep prompts in a cache.
	Engine bool `yaml:"engine"`
	// Servers are the backend servers. At least one is required.
	Servers []Server `yaml:"servers"`
}

// Server is one backend server.
type Server struct {
	// Name is unique in the file. Required.
	Name string `yaml:"name"`
	// Address is an IP and a port. Required.
	Address string `yaml:"address"`
	// Zone is its availability zone. Empty: unknown.
	Zone string `yaml:"zone"`
	// Slots is the number of requests that it runs at once. Default 16; zero means the default.
	Slots int `yaml:"slots"`
}

// Route leads the requests for a host and a path prefix to services.
type Route struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// Host is compared without regard to case and without a port. Required.
	Host string `yaml:"host"`
	// Prefix begins and ends with a slash. Required.
	Prefix string `yaml:"prefix"`
	// Kind is idempotent, non-idempotent or stream. Required.
	Kind string `yaml:"kind"`
	// Resumable streams can be continued by another server.
	Resumable bool `yaml:"resumable"`
	// Open routes need no key.
	Open bool `yaml:"open"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `yaml:"priority"`
	// Attempts is the number of servers that one request may run on. Default 1; zero means the default.
	Attempts int `yaml:"attempts"`
	// Timeout bounds the whole answer. Default 30s; zero means the default.
	Timeout yamlfault.Duration `yaml:"timeout"`
	// Target is the time within which an answer is worth most. Default 2s; zero means the default.
	Target yamlfault.Duration `yaml:"target"`
	// Pause is the longest time between two events that is still on time. Zero: none.
	Pause yamlfault.Duration `yaml:"pause"`
	// Split says which services take the requests. At least one is required.
	Split []Share `yaml:"split"`
}

// Share is one service's part of a route's requests.
type Share struct {
	// Service names the service. Required.
	Service string `yaml:"service"`
	// Weight is relative to the route's other shares. Default 1; zero means the default.
	Weight float64 `yaml:"weight"`
}

// Organisation is one tenant.
type Organisation struct {
	// Name is unique. Required.
	Name string `yaml:"name"`
	// KeyDigests are SHA-256 digests of its keys in hexadecimal.
	KeyDigests []string `yaml:"key-digests"`
	// Priority goes before the routes'. Absent: the routes' counts.
	Priority *int `yaml:"priority"`
}

// Defaults of optional fields.
const (
	DefaultBodyLimit = 4 << 20
	DefaultSlots     = 16
	DefaultTimeout   = 30 * time.Second
	DefaultTarget    = 2 * time.Second
)

const digestLength = 64

// Decode reads and checks a text. It returns a *yamlfault.FaultsError with every
// fault; the file must then not be used.
func Decode(name string, text []byte) (File, error) {
	var f File
	doc := yamlfault.Decode(name, text, &f)
	f.setDefaults()
	c := checker{doc: doc, names: map[string]bool{}}
	c.file(&f)
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

// checker adds every fault to the document.
type checker struct {
	doc   *yamlfault.Document
	names map[string]bool // "kind name" of what is defined
}

func (c *checker) file(f *File) {
	c.address("listen", f.Listen)
	c.atLeastOne("services", len(f.Services))
	c.atLeastOne("routes", len(f.Routes))
	for i := range f.Services {
		c.service(fmt.Sprintf("services[%d]", i), &f.Services[i])
	}
	for i := range f.Organisations {
		c.organisation(fmt.Sprintf("organisations[%d]", i), &f.Organisations[i])
	}
	for i := range f.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), &f.Routes[i])
	}
}

func (c *checker) atLeastOne(field string, n int) {
	if n == 0 {
		c.doc.AddFaultOnce(field, "at least one is required")
	}
}

func (c *checker) address(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.doc.AddFaultOnce(field, "%q is not an IP and a port", address)
	}
}

// define notes a name that must be unique among its kind.
func (c *checker) define(kind, field, name string) {
	if err := yamlfault.CheckName(name, ""); err != nil {
		c.doc.AddFaultOnce(field+".name", "%v", err)
		return
	}
	if c.names[kind+" "+name] {
		c.doc.AddFault(field+".name", "%s %q is defined twice", kind, name)
	}
	c.names[kind+" "+name] = true
}

func (c *checker) service(field string, s *Service) {
	c.define("service", field, s.Name)
	c.atLeastOne(field+".servers", len(s.Servers))
	for i := range s.Servers {
		at := fmt.Sprintf("%s.servers[%d]", field, i)
		c.define("server", at, s.Servers[i].Name)
		c.address(at+".address", s.Servers[i].Address)
		if s.Servers[i].Slots < 0 {
			c.doc.AddFault(at+".slots", "must not be negative")
		}
	}
}

func (c *checker) organisation(field string, o *Organisation) {
	c.define("organisation", field, o.Name)
	for i, digest := range o.KeyDigests {
		if len(digest) != digestLength || strings.Trim(digest, "0123456789abcdef") != "" {
			c.doc.AddFault(fmt.Sprintf("%s.key-digests[%d]", field, i), "is not a SHA-256 digest in hexadecimal")
		}
	}
}

func (c *checker) route(field string, r *Route) {
	c.define("route", field, r.Name)
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
	c.atLeastOne(field+".split", len(r.Split))
	for i, s := range r.Split {
		if !c.names["service "+s.Service] {
			c.doc.AddFaultOnce(fmt.Sprintf("%s.split[%d].service", field, i), "service %q does not exist", s.Service)
		}
	}
}

// Table compiles the file into a version of the routes.
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
		Pause: time.Duration(r.Pause),
	}
	for _, s := range r.Split {
		route.Split = append(route.Split, routes.Share{Service: s.Service, Weight: s.Weight})
	}
	return route
}

// Servers lists the backend servers.
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
