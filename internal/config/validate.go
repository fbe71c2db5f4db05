package config

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// modelPunctuation are the characters that models' names may hold beside those
// of other names.
const modelPunctuation = ":/"

var methodName = regexp.MustCompile(`^[A-Z]+$`)

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
		v.define(v.organisations, field("organisations", i), o.Name, "")
	}
	for i, c := range v.config.Classes {
		v.define(v.classes, field("classes", i), c.Name, "")
	}
	for i, m := range v.config.Models {
		v.define(v.pools, field("models", i), m.Name, modelPunctuation)
	}
	for i, s := range v.config.Services {
		v.define(v.pools, field("services", i), s.Name, "")
	}
	for i, z := range v.config.Zones {
		v.define(v.zones, field("zones", i), z.Name, "")
		v.region(field("zones", i)+".region", z.Region)
		v.price(field("zones", i)+".price", z.Price)
		v.price(field("zones", i)+".cheap-price", z.CheapPrice)
	}
	v.required("organisations", len(v.config.Organisations))
	v.required("classes", len(v.config.Classes))
	v.required("zones", len(v.config.Zones))
}

func (v *validator) region(path, name string) {
	if err := yamlfault.CheckName(name, ""); name != "" && err != nil {
		v.doc.FaultOnce(path, "%v", err)
	}
}

func (v *validator) price(path string, price float64) {
	if !(price >= 0) || math.IsInf(price, 0) {
		v.doc.FaultOnce(path, "%v is not a price of 0 or more", price)
	}
}

func (v *validator) required(list string, length int) {
	if length == 0 {
		v.doc.FaultOnce(list, "at least one is required")
	}
}

// define checks a name and adds it to its kind. Also holds characters that the
// kind allows beside the usual ones.
func (v *validator) define(names nameSet, path, name, also string) {
	path += ".name"
	if err := yamlfault.CheckName(name, also); err != nil {
		v.doc.FaultOnce(path, "%v", err)
		return
	}
	if names[name] != "" {
		v.doc.FaultOnce(path, "%q is already defined by %s", name, names[name])
		return
	}
	names[name] = path
}

// refer reports a name that is not defined. Empty names are not checked.
func (v *validator) refer(names nameSet, path, kind, name string) {
	if name != "" && names[name] == "" {
		v.doc.FaultOnce(path, "%s %q does not exist", kind, name)
	}
}

func (v *validator) referRequired(names nameSet, path, kind, name string) {
	if name == "" {
		v.doc.FaultOnce(path, "required")
		return
	}
	v.refer(names, path, kind, name)
}

func (v *validator) organisation(path string, o *Organisation) {
	if !(o.Weight > 0) || math.IsInf(o.Weight, 0) {
		v.doc.FaultOnce(path+".weight", "%v is not a positive number", o.Weight)
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
		v.doc.FaultOnce(path+".cold-limit", "%d exceeds the warm-limit of %d", m.ColdLimit, m.WarmLimit)
	}
	if m.MinServers > m.MaxServers {
		v.doc.FaultOnce(path+".min-servers", "%d exceeds the max-servers of %d", m.MinServers, m.MaxServers)
	}
}

func (v *validator) atLeast(path string, value, least int) {
	if value < least {
		v.doc.FaultOnce(path, "%d is below %d", value, least)
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
			v.doc.FaultOnce(path+"."+name, "only allowed with route: true")
		}
	}
}

func (v *validator) route(path string, s *Service) {
	if s.Open && len(s.Organisations) > 0 {
		v.doc.FaultOnce(path+".open", "an open route cannot list organisations")
	}
	for i, method := range s.Idempotent {
		at := field(path+".idempotent-methods", i)
		if !methodName.MatchString(method) {
			v.doc.FaultOnce(at, "%q is not an HTTP method in capitals", method)
		}
		if slices.Contains(s.Idempotent[:i], method) {
			v.doc.FaultOnce(at, "%q appears twice", method)
		}
	}
	if len(s.Servers) == 0 {
		v.doc.FaultOnce(path+".servers", "a route needs at least one backend server")
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
		v.doc.FaultOnce(path, "required")
		return
	}
	a, err := netip.ParseAddrPort(e.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		v.doc.FaultOnce(path, "%q is not an IP address and port such as 10.0.0.7:8080", e.Address)
		return
	}
	if seen[e.Address] != "" {
		v.doc.FaultOnce(path, "%q is already listed by %s", e.Address, seen[e.Address])
		return
	}
	seen[e.Address] = path
}
