package config

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// modelPunctuation are the characters that are allowed in model names in addition
// to those of all names.
const modelPunctuation = ":/"

var methodName = regexp.MustCompile(`^[A-Z]+$`)

// nameSet maps each name to the path of the field that defines it.
type nameSet map[string]string

// validator checks a decoded configuration and adds every fault to the document.
type validator struct {
	doc    *yamlfault.Document
	config *Config

	organisations, classes, zones nameSet
	pools                         nameSet // services and models share one namespace
}

func (v *validator) run() {
	v.collectNames()
	for i := range v.config.Organisations {
		v.checkOrganisation(elementPath("organisations", i), &v.config.Organisations[i])
	}
	for i := range v.config.Classes {
		v.checkClass(elementPath("classes", i), &v.config.Classes[i])
	}
	v.checkFloorSum()
	for i := range v.config.Models {
		v.checkModel(elementPath("models", i), &v.config.Models[i])
	}
	for i := range v.config.Services {
		v.checkService(elementPath("services", i), &v.config.Services[i])
	}
	v.checkDependencyCycles()
}

func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func (v *validator) collectNames() {
	v.organisations, v.classes, v.zones, v.pools = nameSet{}, nameSet{}, nameSet{}, nameSet{}
	for i, o := range v.config.Organisations {
		v.defineName(v.organisations, elementPath("organisations", i), o.Name, "")
	}
	for i, c := range v.config.Classes {
		v.defineName(v.classes, elementPath("classes", i), c.Name, "")
	}
	for i, m := range v.config.Models {
		v.defineName(v.pools, elementPath("models", i), m.Name, modelPunctuation)
	}
	for i, s := range v.config.Services {
		v.defineName(v.pools, elementPath("services", i), s.Name, "")
	}
	for i, z := range v.config.Zones {
		v.defineName(v.zones, elementPath("zones", i), z.Name, "")
		v.checkRegion(elementPath("zones", i)+".region", z.Region)
		v.checkPrice(elementPath("zones", i)+".price", z.Price)
		v.checkPrice(elementPath("zones", i)+".cheap-price", z.PreemptiblePrice)
	}
	v.checkNotEmpty("organisations", len(v.config.Organisations))
	v.checkNotEmpty("classes", len(v.config.Classes))
	v.checkNotEmpty("zones", len(v.config.Zones))
}

func (v *validator) checkRegion(path, name string) {
	if err := yamlfault.CheckName(name, ""); name != "" && err != nil {
		v.doc.AddFaultOnce(path, "%v", err)
	}
}

func (v *validator) checkPrice(path string, price float64) {
	if !(price >= 0) || math.IsInf(price, 0) {
		v.doc.AddFaultOnce(path, "%v is not a price of 0 or more", price)
	}
}

func (v *validator) checkNotEmpty(list string, length int) {
	if length == 0 {
		v.doc.AddFaultOnce(list, "at least one is required")
	}
}

// defineName checks a name and adds it to the set. The extra characters are allowed
// in addition to those of all names.
func (v *validator) defineName(names nameSet, path, name, extra string) {
	path += ".name"
	if err := yamlfault.CheckName(name, extra); err != nil {
		v.doc.AddFaultOnce(path, "%v", err)
		return
	}
	if names[name] != "" {
		v.doc.AddFaultOnce(path, "%q is already defined by %s", name, names[name])
		return
	}
	names[name] = path
}

// checkReference reports a reference to a name that is not defined. An empty name
// is valid.
func (v *validator) checkReference(names nameSet, path, kind, name string) {
	if name != "" && names[name] == "" {
		v.doc.AddFaultOnce(path, "%s %q does not exist", kind, name)
	}
}

func (v *validator) checkRequiredReference(names nameSet, path, kind, name string) {
	if name == "" {
		v.doc.AddFaultOnce(path, "required")
		return
	}
	v.checkReference(names, path, kind, name)
}

func (v *validator) checkOrganisation(path string, o *Organisation) {
	if !(o.Weight > 0) || math.IsInf(o.Weight, 0) {
		v.doc.AddFaultOnce(path+".weight", "%v is not a positive number", o.Weight)
	}
	v.checkReference(v.classes, path+".class", "class", o.Class)
}

func (v *validator) checkModel(path string, m *Model) {
	v.checkRequiredReference(v.classes, path+".class", "class", m.Class)
	v.checkMin(path+".cold-limit", m.ColdLimit, 1)
	v.checkMin(path+".warm-limit", m.WarmLimit, 1)
	v.checkMin(path+".min-servers", m.MinServers, 0)
	v.checkMin(path+".max-servers", m.MaxServers, 0)
	if m.ColdLimit > m.WarmLimit {
		v.doc.AddFaultOnce(path+".cold-limit", "%d exceeds the warm-limit of %d", m.ColdLimit, m.WarmLimit)
	}
	if m.MinServers > m.MaxServers {
		v.doc.AddFaultOnce(path+".min-servers", "%d exceeds the max-servers of %d", m.MinServers, m.MaxServers)
	}
}

func (v *validator) checkMin(path string, value, minimum int) {
	if value < minimum {
		v.doc.AddFaultOnce(path, "%d is below %d", value, minimum)
	}
}

func (v *validator) checkService(path string, s *Service) {
	v.checkRequiredReference(v.classes, path+".class", "class", s.Class)
	v.checkMin(path+".limit", s.Limit, 1)
	for i, name := range s.Organisations {
		v.checkReference(v.organisations, elementPath(path+".organisations", i), "organisation", name)
	}
	for i, name := range s.DependsOn {
		v.checkRequiredReference(v.pools, elementPath(path+".depends-on", i), "service or model", name)
	}
	if s.Route {
		v.checkRoute(path, s)
		return
	}
	for _, name := range []string{"servers", "open", "organisations", "idempotent-methods"} {
		if v.doc.Has(path + "." + name) {
			v.doc.AddFaultOnce(path+"."+name, "only allowed with route: true")
		}
	}
}

func (v *validator) checkRoute(path string, s *Service) {
	if s.Open && len(s.Organisations) > 0 {
		v.doc.AddFaultOnce(path+".open", "an open route cannot list organisations")
	}
	for i, method := range s.Idempotent {
		methodPath := elementPath(path+".idempotent-methods", i)
		if !methodName.MatchString(method) {
			v.doc.AddFaultOnce(methodPath, "%q is not an HTTP method in capitals", method)
		}
		if slices.Contains(s.Idempotent[:i], method) {
			v.doc.AddFaultOnce(methodPath, "%q appears twice", method)
		}
	}
	if len(s.Servers) == 0 {
		v.doc.AddFaultOnce(path+".servers", "a route needs at least one backend server")
	}
	addresses := make(nameSet)
	for i, e := range s.Servers {
		v.checkEndpoint(elementPath(path+".servers", i), e, addresses)
	}
}

func (v *validator) checkEndpoint(path string, e Endpoint, seen nameSet) {
	v.checkRequiredReference(v.zones, path+".zone", "zone", e.Zone)
	path += ".address"
	if e.Address == "" {
		v.doc.AddFaultOnce(path, "required")
		return
	}
	a, err := netip.ParseAddrPort(e.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		v.doc.AddFaultOnce(path, "%q is not an IP address and port such as 10.0.0.7:8080", e.Address)
		return
	}
	if seen[e.Address] != "" {
		v.doc.AddFaultOnce(path, "%q is already listed by %s", e.Address, seen[e.Address])
		return
	}
	seen[e.Address] = path
}
