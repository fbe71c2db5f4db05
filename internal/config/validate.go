package config

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

const maxNameBytes = 64

var (
	plainName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	methodName = regexp.MustCompile(`^[A-Z]+$`)
)

// nameSet maps the names of one kind to the field that first defines them.
type nameSet map[string]string

// validator adds every fault of a decoded configuration to the document.
type validator struct {
	doc    *yamlfault.Document
	config *Config

	organisations, classes, zones nameSet
	pools                         nameSet // services and models share their names
}

func (v *validator) run() {
	v.collectNames()
	for i := range v.config.Organisations {
		v.organisation(field("organisations", i), &v.config.Organisations[i])
	}
	for i := range v.config.Classes {
		v.class(field("classes", i), &v.config.Classes[i])
	}
	v.floorSum()
	for i := range v.config.Models {
		v.model(field("models", i), &v.config.Models[i])
	}
	for i := range v.config.Services {
		v.service(field("services", i), &v.config.Services[i])
	}
	v.dependencyCycles()
}

func field(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func (v *validator) collectNames() {
	v.organisations, v.classes, v.zones, v.pools = nameSet{}, nameSet{}, nameSet{}, nameSet{}
	for i, o := range v.config.Organisations {
		v.define(v.organisations, field("organisations", i), o.Name, plainName)
	}
	for i, c := range v.config.Classes {
		v.define(v.classes, field("classes", i), c.Name, plainName)
	}
	for i, m := range v.config.Models {
		v.define(v.pools, field("models", i), m.Name, modelName)
	}
	for i, s := range v.config.Services {
		v.define(v.pools, field("services", i), s.Name, plainName)
	}
	for i, z := range v.config.Zones {
		v.define(v.zones, field("zones", i), z.Name, plainName)
		if z.Region != "" && !plainName.MatchString(z.Region) {
			v.fault(field("zones", i)+".region", "%q is not a name of letters, digits, '.', '_' and '-'", z.Region)
		}
	}
	v.required("organisations", len(v.config.Organisations))
	v.required("classes", len(v.config.Classes))
	v.required("zones", len(v.config.Zones))
}

func (v *validator) required(list string, length int) {
	if length == 0 {
		v.fault(list, "at least one is required")
	}
}

func (v *validator) define(names nameSet, path, name string, pattern *regexp.Regexp) {
	path += ".name"
	switch {
	case name == "":
		v.fault(path, "required")
	case len(name) > maxNameBytes:
		v.fault(path, "%q is longer than %d bytes", name, maxNameBytes)
	case !pattern.MatchString(name):
		v.fault(path, "%q is not a name of letters, digits, '.', '_' and '-'", name)
	case names[name] != "":
		v.fault(path, "%q is already defined by %s", name, names[name])
	default:
		names[name] = path
	}
}

// fault reports a fault unless decoding already found one in the field.
func (v *validator) fault(path, format string, args ...any) {
	if !v.doc.Faulty(path) {
		v.doc.Fault(path, format, args...)
	}
}

// refer reports a name that is not defined. Empty names are not checked.
func (v *validator) refer(names nameSet, path, kind, name string) {
	if name != "" && names[name] == "" {
		v.fault(path, "%s %q does not exist", kind, name)
	}
}

func (v *validator) referRequired(names nameSet, path, kind, name string) {
	if name == "" {
		v.fault(path, "required")
		return
	}
	v.refer(names, path, kind, name)
}

func (v *validator) organisation(path string, o *Organisation) {
	if !(o.Weight > 0) || math.IsInf(o.Weight, 0) {
		v.fault(path+".weight", "%v is not a positive number", o.Weight)
	}
	v.refer(v.classes, path+".class", "class", o.Class)
}

func (v *validator) model(path string, m *Model) {
	v.referRequired(v.classes, path+".class", "class", m.Class)
	v.atLeast(path+".cold-limit", m.ColdLimit, 1)
	v.atLeast(path+".warm-limit", m.WarmLimit, 1)
	v.atLeast(path+".min-servers", m.MinServers, 0)
	v.atLeast(path+".max-servers", m.MaxServers, 0)
	if m.ColdLimit > m.WarmLimit {
		v.fault(path+".cold-limit", "%d exceeds the warm-limit of %d", m.ColdLimit, m.WarmLimit)
	}
	if m.MinServers > m.MaxServers {
		v.fault(path+".min-servers", "%d exceeds the max-servers of %d", m.MinServers, m.MaxServers)
	}
}

func (v *validator) atLeast(path string, value, least int) {
	if value < least {
		v.fault(path, "%d is below %d", value, least)
	}
}

func (v *validator) service(path string, s *Service) {
	v.referRequired(v.classes, path+".class", "class", s.Class)
	v.atLeast(path+".limit", s.Limit, 1)
	for i, name := range s.Organisations {
		v.refer(v.organisations, field(path+".organisations", i), "organisation", name)
	}
	for i, name := range s.DependsOn {
		v.referRequired(v.pools, field(path+".depends-on", i), "service or model", name)
	}
	if s.Route {
		v.route(path, s)
		return
	}
	for _, name := range []string{"servers", "open", "organisations", "idempotent-methods"} {
		if v.doc.Has(path + "." + name) {
			v.fault(path+"."+name, "only allowed with route: true")
		}
	}
}

func (v *validator) route(path string, s *Service) {
	if s.Open && len(s.Organisations) > 0 {
		v.fault(path+".open", "an open route cannot list organisations")
	}
	for i, method := range s.Idempotent {
		at := field(path+".idempotent-methods", i)
		if !methodName.MatchString(method) {
			v.fault(at, "%q is not an HTTP method in capitals", method)
		}
		if slices.Contains(s.Idempotent[:i], method) {
			v.fault(at, "%q appears twice", method)
		}
	}
	if len(s.Servers) == 0 {
		v.fault(path+".servers", "a route needs at least one backend server")
	}
	addresses := make(nameSet)
	for i, e := range s.Servers {
		v.endpoint(field(path+".servers", i), e, addresses)
	}
}

func (v *validator) endpoint(path string, e Endpoint, seen nameSet) {
	v.referRequired(v.zones, path+".zone", "zone", e.Zone)
	path += ".address"
	if e.Address == "" {
		v.fault(path, "required")
		return
	}
	a, err := netip.ParseAddrPort(e.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		v.fault(path, "%q is not an IP address and port such as 10.0.0.7:8080", e.Address)
		return
	}
	if seen[e.Address] != "" {
		v.fault(path, "%q is already listed by %s", e.Address, seen[e.Address])
		return
	}
	seen[e.Address] = path
}
